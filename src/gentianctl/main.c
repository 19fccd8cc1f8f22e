/* gentianctl: command-line client of the administration API, which every daemon serves. */
#include <argp.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "../gentian/access/key_digest.h"
#include "../gentian/config/settings.h"
#include "../gentian/config/tables.h"
#include "../gentian/http/admin.h"
#include "../gentian/store/service_client.h"

enum
{
  EXIT_USAGE = 1,
  EXIT_REFUSED = 2,   /* invalid tables or settings, or no such workspace, pool or route */
  EXIT_CONFLICT = 3,  /* another edit came first, or another workspace has the route */
  EXIT_NO_ANSWER = 4, /* the daemon or the log does not answer */
  EXIT_DENIED = 5,    /* the credential is missing, invalid or for another workspace */
  CTL_TIMEOUT_MS = 30000,
  CTL_POSITIONAL_MAX = 4,
};

typedef struct
{
  const char *url;
  const char *workspace;
  const char *credential_file;
  const char *submission;
  const char *base;
  int json;
  char *positional[CTL_POSITIONAL_MAX]; /* the command and its arguments */
  int n_positional;
} Arguments;

typedef struct
{
  const char *name;
  int n_arguments;
  const char *usage;
  int (*run) (const Arguments *arguments);
} Command;

static char *
read_file (const char *path)
{
  char *text = NULL;
  g_autoptr (GError) error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    fprintf (stderr, "gentianctl: %s\n", error->message);
  return text;
}

static int
status_to_exit (long status)
{
  if (status == 200)
    return EXIT_SUCCESS;
  if (status == 401 || status == 403)
    return EXIT_DENIED;
  if (status == 409)
    return EXIT_CONFLICT;
  return status == 422 || status == 404 ? EXIT_REFUSED : EXIT_NO_ANSWER;
}

/* RETURN VALUE: value of the header that authorizes a call, or NULL. */
static char *
read_authorization (const Arguments *arguments)
{
  g_autofree char *credential
      = arguments->credential_file != NULL ? read_file (arguments->credential_file) : NULL;

  return credential != NULL ? g_strconcat ("Bearer ", g_strstrip (credential), NULL) : NULL;
}

/* Calls the API; with BODY, the method is POST. RETURN VALUE: the body of the answer, or NULL. Sets
 * EXIT_CODE to the exit code of gentianctl. */
static json_t *
call (const Arguments *arguments, const char *path, const char *body, int *exit_code)
{
  GsServiceClientOptions options
      = { .base_url = arguments->url, .connect_timeout_ms = CTL_TIMEOUT_MS, .allow_proxy = true };
  GsServiceClient *client = gs_service_client_new (&options);
  g_autofree char *authorization = read_authorization (arguments);
  g_autoptr (GBytes) bytes = body != NULL ? g_bytes_new (body, strlen (body)) : NULL;
  GsServiceCall service_call = {
    .path = path, .body = bytes, .authorization = authorization, .timeout_ms = CTL_TIMEOUT_MS
  };
  GsServiceAnswer answer = gs_service_client_call (client, &service_call);
  json_t *parsed = json_loadb (answer.body, answer.length, 0, NULL);

  *exit_code = status_to_exit (answer.status);
  if (answer.status == 0 || (*exit_code == EXIT_SUCCESS && parsed == NULL))
    {
      *exit_code = EXIT_NO_ANSWER;
      fprintf (stderr, "gentianctl: no whole answer from %s\n", arguments->url);
    }
  gs_service_client_free (client);
  return parsed;
}

/* Turns the success of a call whose answer lacks a field into a failure. */
static void
check_field (const json_t *answer, const char *field, json_type type, int *exit_code)
{
  const json_t *value = json_object_get (answer, field);

  if (*exit_code != EXIT_SUCCESS || (value != NULL && json_typeof (value) == type))
    return;
  *exit_code = EXIT_NO_ANSWER;
  fprintf (stderr, "gentianctl: the answer has no valid field %s\n", field);
}

static void
print_json (json_t *body)
{
  g_autofree char *text = json_dumps (body, JSON_INDENT (2));

  printf ("%s\n", text);
}

static void
print_api_error (const json_t *body)
{
  const char *message = json_string_value (json_object_get (body, "message"));
  const char *rows = json_string_value (json_object_get (body, "rows"));

  if (message != NULL)
    fprintf (stderr, "gentianctl: %s (GSA%d)\n", message,
             (int)json_integer_value (json_object_get (body, "code")));
  if (rows != NULL)
    fprintf (stderr, "rows that differ (- in force, + yours):\n%s", rows);
}

static char *
escape_uri (const char *text)
{
  return g_uri_escape_string (text, NULL, FALSE);
}

static int
get_and_print (const Arguments *arguments, const char *path)
{
  int exit_code;
  json_t *answer = call (arguments, path, NULL, &exit_code);

  if (exit_code != EXIT_SUCCESS)
    print_api_error (answer);
  else
    print_json (answer);
  json_decref (answer);
  return exit_code;
}

static json_t *
get_tables (const Arguments *arguments, int *exit_code)
{
  g_autofree char *path = g_strdup_printf ("/v1/admin/tables?workspace=%s", arguments->workspace);
  json_t *answer = call (arguments, path, NULL, exit_code);

  if (*exit_code != EXIT_SUCCESS)
    print_api_error (answer);
  check_field (answer, "revision", JSON_INTEGER, exit_code);
  check_field (answer, "tables", JSON_STRING, exit_code);
  return answer;
}

static GsDocument *
parse_file (const Arguments *arguments, const char *file, char **text)
{
  g_autoptr (GError) error = NULL;
  GsDocument *document = NULL;

  *text = read_file (file);
  if (*text != NULL)
    document = gs_tables_parse (arguments->workspace, file, *text, strlen (*text), &error);
  if (error != NULL)
    fprintf (stderr, "gentianctl: %s\n", error->message);
  return document;
}

static int
run_validate (const Arguments *arguments)
{
  g_autofree char *text = NULL;
  GsDocument *document = parse_file (arguments, arguments->positional[1], &text);

  if (document == NULL)
    return EXIT_REFUSED;
  printf ("%s: %u routes, %u pools\n", arguments->positional[1], document->n_routes,
          document->n_pools);
  gs_document_free (document);
  return EXIT_SUCCESS;
}

static int
run_show (const Arguments *arguments)
{
  int exit_code;
  json_t *answer = get_tables (arguments, &exit_code);

  if (exit_code == EXIT_SUCCESS && arguments->json)
    print_json (answer);
  else if (exit_code == EXIT_SUCCESS)
    printf ("# workspace %s, revision %" JSON_INTEGER_FORMAT "\n%s", arguments->workspace,
            json_integer_value (json_object_get (answer, "revision")),
            json_string_value (json_object_get (answer, "tables")));
  json_decref (answer);
  return exit_code;
}

static int
run_diff (const Arguments *arguments)
{
  g_autofree char *text = NULL;
  g_autofree char *rows = NULL;
  int exit_code;
  GsDocument *mine = parse_file (arguments, arguments->positional[1], &text);
  GsDocument *in_force;
  json_t *answer;
  const char *tables;

  if (mine == NULL)
    return EXIT_REFUSED;
  answer = get_tables (arguments, &exit_code);
  if (exit_code == EXIT_SUCCESS)
    {
      tables = json_string_value (json_object_get (answer, "tables"));
      in_force = gs_tables_parse (arguments->workspace, "in force", tables, strlen (tables), NULL);
      rows = gs_tables_diff (in_force, mine);
      printf ("%s", rows);
      gs_document_free (in_force);
    }
  gs_document_free (mine);
  json_decref (answer);
  return exit_code;
}

static int
submit_text (const Arguments *arguments, const char *text, json_int_t base)
{
  g_autofree char *generated = g_uuid_string_random ();
  const char *submission = arguments->submission != NULL ? arguments->submission : generated;
  g_autofree char *path = g_strdup_printf (
      "/v1/admin/tables?workspace=%s&base=%" JSON_INTEGER_FORMAT "&submission=%s",
      arguments->workspace, base, submission);
  int exit_code;
  json_t *answer = call (arguments, path, text, &exit_code);

  check_field (answer, "revision", JSON_INTEGER, &exit_code);
  if (exit_code != EXIT_SUCCESS)
    {
      print_api_error (answer);
      fprintf (stderr, "gentianctl: submission %s was not accepted\n", submission);
    }
  else if (arguments->json)
    print_json (answer);
  else
    printf ("accepted: workspace %s, revision %" JSON_INTEGER_FORMAT "\n", arguments->workspace,
            json_integer_value (json_object_get (answer, "revision")));
  json_decref (answer);
  return exit_code;
}

static int
run_submit (const Arguments *arguments)
{
  g_autofree char *text = NULL;
  int exit_code = EXIT_SUCCESS;
  GsDocument *document = parse_file (arguments, arguments->positional[1], &text);
  json_int_t base = 0;

  if (document == NULL)
    return EXIT_REFUSED;
  gs_document_free (document);
  if (arguments->base != NULL)
    base = g_ascii_strtoll (arguments->base, NULL, 10);
  else
    {
      json_t *answer = get_tables (arguments, &exit_code);
      base = json_integer_value (json_object_get (answer, "revision"));
      json_decref (answer);
    }
  return exit_code == EXIT_SUCCESS ? submit_text (arguments, text, base) : exit_code;
}

/* Prints each new revision until a signal or an error ends the program. */
static int
run_watch (const Arguments *arguments)
{
  json_int_t last_revision = 0;
  int exit_code = EXIT_SUCCESS;

  while (exit_code == EXIT_SUCCESS)
    {
      g_autofree char *path
          = g_strdup_printf ("/v1/admin/tables?workspace=%s&after=%" JSON_INTEGER_FORMAT,
                             arguments->workspace, last_revision);
      json_t *answer = call (arguments, path, NULL, &exit_code);
      json_int_t revision = json_integer_value (json_object_get (answer, "revision"));
      check_field (answer, "revision", JSON_INTEGER, &exit_code);
      if (exit_code != EXIT_SUCCESS)
        print_api_error (answer);
      else if (revision > last_revision)
        {
          printf ("workspace %s, revision %" JSON_INTEGER_FORMAT "\n", arguments->workspace,
                  revision);
          fflush (stdout);
          last_revision = revision;
        }
      json_decref (answer);
    }
  return exit_code;
}

static int
run_explain (const Arguments *arguments)
{
  g_autofree char *host = escape_uri (arguments->positional[1]);
  g_autofree char *target = escape_uri (arguments->positional[2]);
  g_autofree char *path = g_strdup_printf ("/v1/admin/explain?workspace=%s&host=%s&path=%s",
                                           arguments->workspace, host, target);

  return get_and_print (arguments, path);
}

static int
run_pools (const Arguments *arguments)
{
  g_autofree char *path = g_strdup_printf ("/v1/admin/pools?workspace=%s", arguments->workspace);

  return get_and_print (arguments, path);
}

static int
run_members (const Arguments *arguments)
{
  return get_and_print (arguments, "/v1/admin/members");
}

static int
run_streams (const Arguments *arguments)
{
  return get_and_print (arguments, "/v1/admin/streams");
}

static int
run_credential (const Arguments *arguments)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *credential = NULL;
  GsSettings *settings = gs_settings_load (arguments->positional[1], &error);

  if (settings == NULL)
    {
      fprintf (stderr, "gentianctl: %s\n", error->message);
      return EXIT_REFUSED;
    }
  credential = gs_admin_credential (settings->admin_key, arguments->workspace);
  printf ("%s\n", credential);
  gs_settings_free (settings);
  return EXIT_SUCCESS;
}

static int
run_keys (const Arguments *arguments)
{
  char public_key[41];
  char secret_key[41];
  uint8_t bytes[GS_SETTINGS_KEY_BYTES];
  char hex[2 * GS_SETTINGS_KEY_BYTES + 1];
  static const char *const names[] = { "fleet_key", "admin_key" };

  (void)arguments;
  if (zmq_curve_keypair (public_key, secret_key) != 0)
    return EXIT_REFUSED;
  printf ("peer_public_key: '%s'\npeer_secret_key: '%s'\n", public_key, secret_key);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      randombytes_buf (bytes, sizeof bytes);
      sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes);
      printf ("%s: '%s'\n", names[i], hex);
    }
  return EXIT_SUCCESS;
}

/* Reads one key from standard input, as an argument would be visible in the list of processes. The
 * line break at its end is no part of it. */
static int
run_digest (const Arguments *arguments)
{
  char key[GS_KEY_BYTES_MAX + 3];
  size_t length = fread (key, 1, sizeof key, stdin);
  char hex[GS_KEY_DIGEST_HEX + 1];
  GsKeyDigest digest;

  (void)arguments;
  if (length > 0 && key[length - 1] == '\n')
    length--;
  if (length > 0 && key[length - 1] == '\r')
    length--;
  if (!gs_key_is_valid (key, length) || memchr (key, '\n', length) != NULL)
    {
      fprintf (stderr, "gentianctl: allowed is one key of 1 to %d bytes of ASCII\n",
               GS_KEY_BYTES_MAX);
      return EXIT_REFUSED;
    }
  digest = gs_key_digest (key, length);
  gs_key_digest_format (&digest, hex);
  printf ("%s\n", hex);
  return EXIT_SUCCESS;
}

static int
run_reference (const Arguments *arguments)
{
  g_autofree char *text = strcmp (arguments->positional[1], "settings") == 0
                              ? gs_settings_reference ()
                              : gs_tables_reference ();

  printf ("%s", text);
  return EXIT_SUCCESS;
}

static const Command commands[] = {
  { "submit", 1, "submit FILE", run_submit },
  { "validate", 1, "validate FILE", run_validate },
  { "show", 0, "show", run_show },
  { "diff", 1, "diff FILE", run_diff },
  { "watch", 0, "watch", run_watch },
  { "explain", 2, "explain HOST PATH", run_explain },
  { "pools", 0, "pools", run_pools },
  { "members", 0, "members", run_members },
  { "streams", 0, "streams", run_streams },
  { "credential", 1, "credential SETTINGS", run_credential },
  { "keys", 0, "keys", run_keys },
  { "digest", 0, "digest < KEY", run_digest },
  { "reference", 1, "reference settings|tables", run_reference },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Arguments *arguments = state->input;

  switch (key)
    {
    case 'u':
      arguments->url = argument;
      return 0;
    case 'w':
      arguments->workspace = argument;
      return 0;
    case 'c':
      arguments->credential_file = argument;
      return 0;
    case 's':
      arguments->submission = argument;
      return 0;
    case 'b':
      arguments->base = argument;
      return 0;
    case 'j':
      arguments->json = 1;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->n_positional >= CTL_POSITIONAL_MAX)
        argp_usage (state);
      arguments->positional[arguments->n_positional++] = argument;
      return 0;
    case ARGP_KEY_END:
      if (arguments->n_positional == 0)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[]
    = { { "url", 'u', "URL", 0, "administration API of a daemon", 0 },
        { "workspace", 'w', "NAME", 0, "workspace to work on", 0 },
        { "credential-file", 'c', "FILE", 0, "file with the credential", 0 },
        { "submission", 's', "ID", 0,
          "identifier of the submission; reuse it to resend the submission", 0 },
        { "base", 'b', "REVISION", 0, "revision that the edit is based on", 0 },
        { "json", 'j', NULL, 0, "print answers as JSON", 0 },
        { 0 } };

static const struct argp arguments_parser = {
  options,
  parse_option,
  "submit FILE\nvalidate FILE\nshow\ndiff FILE\nwatch\nexplain HOST PATH\npools\nmembers\nstreams\n"
  "credential SETTINGS\nkeys\ndigest\nreference settings|tables",
  "gentianctl - edits the tables of a workspace and shows the state of the fleet\v"
  "Exit codes: 0 success, 1 wrong usage, 2 invalid input or nothing found, 3 conflict with another "
  "edit or route, 4 no answer, 5 credential refused. Numbers of API errors start with GSA, those "
  "of errors in tables and settings with GSC; docs/operators/ADMIN.md lists both.",
  NULL,
  NULL,
  NULL
};

int
main (int argc, char **argv)
{
  Arguments arguments = { .url = "http://127.0.0.1:8081", .workspace = "default" };

  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&arguments_parser, argc, argv, 0, NULL, &arguments);
  if (sodium_init () < 0)
    return EXIT_NO_ANSWER;
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, arguments.positional[0]) == 0)
      {
        if (arguments.n_positional - 1 == commands[i].n_arguments)
          return commands[i].run (&arguments);
        fprintf (stderr, "gentianctl: usage: %s\n", commands[i].usage);
        return EXIT_USAGE;
      }
  fprintf (stderr, "gentianctl: unknown command %s\n", arguments.positional[0]);
  return EXIT_USAGE;
}
