/* Unit tests of gentianctl: its exit codes and output for answers of a loopback administration
 * API. */
#include "fixture.h"
#include "loopback_server.h"

#include <stdio.h>

#define TABLES "pools: []\\nroutes: []\\n"

enum
{
  EXIT_NO_ANSWER = 4,
};

typedef struct
{
  int exit_code; /* -1: ended by a signal */
  char *output;
} Run;

/* RETURN VALUE: newly allocated path of the program, which is built beside the unit tests. */
static char *
program_path (void)
{
  g_autofree char *self = g_file_read_link ("/proc/self/exe", NULL);
  g_autofree char *folder = g_path_get_dirname (self);

  return g_build_filename (folder, "..", "gentianctl", NULL);
}

/* Runs gentianctl with COMMAND, a list that ends with NULL. The output has to be freed. */
static Run
run (const LoopbackServer *server, const char *const *command)
{
  g_autofree char *program = program_path ();
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  Run result = { .exit_code = -1 };
  int status;

  g_ptr_array_add (arguments, program);
  g_ptr_array_add (arguments, (gpointer) "-u");
  g_ptr_array_add (arguments, server->url);
  for (size_t i = 0; command[i] != NULL; i++)
    g_ptr_array_add (arguments, (gpointer)command[i]);
  g_ptr_array_add (arguments, NULL);
  ck_assert (g_spawn_sync (NULL, (char **)arguments->pdata, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
                           NULL, &result.output, NULL, &status, NULL));
  if (WIFEXITED (status))
    result.exit_code = WEXITSTATUS (status);
  return result;
}

static void
assert_no_answer (const LoopbackServer *server, const char *const *command, guint length)
{
  Run result = run (server, command);

  ck_assert_msg (result.exit_code == EXIT_NO_ANSWER, "%s, %u bytes: exit code %d", command[0],
                 length, result.exit_code);
  ck_assert_msg (*result.output == '\0', "%s, %u bytes: %s", command[0], length, result.output);
  g_free (result.output);
}

/* RETURN VALUE: newly allocated path of a file with tables. */
static char *
make_tables_file (void)
{
  char *path = g_build_filename (g_get_tmp_dir (), "gentianctl-XXXXXX", NULL);
  int file = g_mkstemp (path);

  ck_assert_int_ge (file, 0);
  ck_assert_int_eq (write (file, "pools: []\nroutes: []\n", 21), 21);
  close (file);
  return path;
}

/* The operator would take an edit for accepted that nobody may have. */
START_TEST (submission_without_a_whole_answer_is_not_accepted)
{
  static const char body[] = "{\"revision\": 7}";
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);
  g_autoptr (GByteArray) answer = loopback_answer (200, LOOPBACK_LENGTH, body, strlen (body));
  g_autoptr (GByteArray) unframed = loopback_answer (200, LOOPBACK_UNFRAMED, body, strlen (body));
  g_autofree char *file = make_tables_file ();
  const char *command[] = { "submit", "-b", "1", file, NULL };
  Run result;

  for (guint length = 0; length < answer->len; length++)
    {
      loopback_set (server, answer->data, length);
      assert_no_answer (server, command, length);
    }
  loopback_set (server, unframed->data, unframed->len);
  assert_no_answer (server, command, unframed->len);
  loopback_set (server, answer->data, answer->len);
  result = run (server, command);
  ck_assert_int_eq (result.exit_code, 0);
  ck_assert_str_eq (result.output, "accepted: workspace default, revision 7\n");
  g_free (result.output);
  unlink (file);
  loopback_free (server);
}
END_TEST

/* Empty tables would be shown, or the program end by a signal. */
START_TEST (answer_without_the_expected_body_is_no_answer)
{
  static const char *const bodies[]
      = { "", "{", "7", "[]", "{}", "{\"revision\": \"7\", \"tables\": 7}" };
  g_autofree char *file = make_tables_file ();
  const char *commands[][3]
      = { { "show", NULL }, { "diff", file, NULL }, { "submit", file, NULL }, { "watch", NULL } };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t body = 0; body < G_N_ELEMENTS (bodies); body++)
    for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
      {
        g_autoptr (GByteArray) answer
            = loopback_answer (200, LOOPBACK_LENGTH, bodies[body], strlen (bodies[body]));
        loopback_set (server, answer->data, answer->len);
        assert_no_answer (server, commands[i], answer->len);
      }
  unlink (file);
  loopback_free (server);
}
END_TEST

START_TEST (tables_are_shown)
{
  static const char body[] = "{\"revision\": 7, \"tables\": \"" TABLES "\"}";
  static const char *const command[] = { "show", NULL };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);
  g_autoptr (GByteArray) answer = loopback_answer (200, LOOPBACK_LENGTH, body, strlen (body));
  Run result;

  loopback_set (server, answer->data, answer->len);
  result = run (server, command);
  ck_assert_int_eq (result.exit_code, 0);
  ck_assert_str_eq (result.output, "# workspace default, revision 7\npools: []\nroutes: []\n");
  g_free (result.output);
  loopback_free (server);
}
END_TEST

/* The numbers of an error reach the operator with the exit code of its status. */
START_TEST (refusals_keep_their_exit_codes)
{
  static const struct
  {
    unsigned int status;
    int exit_code;
  } rows[] = { { 401, 5 }, { 403, 5 }, { 404, 2 }, { 409, 3 }, { 422, 2 }, { 500, 4 }, { 503, 4 } };
  static const char body[] = "{\"code\": 1, \"message\": \"text\"}";
  static const char *const command[] = { "members", NULL };
  LoopbackServer *server = loopback_new (LOOPBACK_CLOSES);

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autoptr (GByteArray) answer
          = loopback_answer (rows[i].status, LOOPBACK_LENGTH, body, strlen (body));
      Run result;
      loopback_set (server, answer->data, answer->len);
      result = run (server, command);
      ck_assert_int_eq (result.exit_code, rows[i].exit_code);
      g_free (result.output);
    }
  loopback_free (server);
}
END_TEST

FIXTURE_MAIN ("gentianctl",
              &submission_without_a_whole_answer_is_not_accepted,
              &answer_without_the_expected_body_is_no_answer,
              &tables_are_shown,
              &refusals_keep_their_exit_codes)
