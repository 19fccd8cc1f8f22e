#include "service_client.h"

#include <curl/curl.h>
#include <string.h>

enum
{
  SERVICE_ANSWER_BYTES_MAX = 64 * 1024 * 1024,
  SERVICE_STATUS_FINAL_MIN = 200, /* lower ones precede the final answer */
};

/* What the head of an answer says of the end of its body. */
typedef struct
{
  bool ended; /* by an empty line */
  bool has_length;
  bool chunked;
  bool contradictory; /* or not understood */
  uint64_t length;
  bool has_era;
  uint64_t era; /* 0: none, or not one number */
} Framing;

struct GsServiceClient
{
  CURL *curl;
  char *base_url;
  uint32_t connect_timeout_ms;
  bool allow_proxy;
  char *era_header; /* NULL: none */
  GByteArray *body;
  Framing framing;
  bool send_once;  /* the running call must not be sent a second time */
  bool maybe_sent; /* bytes of the running call may have been sent */
};

static size_t
on_body (char *bytes, size_t size, size_t count, void *data)
{
  GsServiceClient *client = data;

  if (client->body->len + size * count > SERVICE_ANSWER_BYTES_MAX)
    return 0;
  g_byte_array_append (client->body, (const guint8 *)bytes, (guint)(size * count));
  return size * count;
}

static void
read_length (Framing *framing, const char *value)
{
  guint64 length;

  if (!g_ascii_string_to_unsigned (value, 10, 0, INT64_MAX, &length, NULL)
      || (framing->has_length && framing->length != length))
    framing->contradictory = true;
  framing->has_length = true;
  framing->length = length;
}

static void
read_era (Framing *framing, const char *value)
{
  guint64 era;

  if (!g_ascii_string_to_unsigned (value, 10, 0, INT64_MAX, &era, NULL)
      || (framing->has_era && framing->era != era))
    era = 0;
  framing->has_era = true;
  framing->era = era;
}

static void
read_field (GsServiceClient *client, const char *line)
{
  Framing *framing = &client->framing;
  const char *colon = strchr (line, ':');
  g_autofree char *name = colon != NULL ? g_strndup (line, (gsize)(colon - line)) : NULL;
  g_autofree char *value = colon != NULL ? g_strstrip (g_strdup (colon + 1)) : NULL;

  if (name == NULL)
    return;
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    read_length (framing, value);
  else if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    {
      framing->contradictory = framing->contradictory || framing->chunked
                               || g_ascii_strcasecmp (value, "chunked") != 0;
      framing->chunked = true;
    }
  else if (client->era_header != NULL && g_ascii_strcasecmp (name, client->era_header) == 0)
    read_era (framing, value);
}

/* Called for each line of a head, and of the trailers, which follow the head's empty line. */
static size_t
on_head_line (char *bytes, size_t size, size_t count, void *data)
{
  GsServiceClient *client = data;
  Framing *framing = &client->framing;
  g_autofree char *line = g_strndup (bytes, size * count);

  if (g_str_has_prefix (line, "HTTP/"))
    *framing = (Framing){ .ended = false };
  else if (framing->ended)
    return size * count;
  else if (strcmp (line, "\r\n") == 0 || strcmp (line, "\n") == 0)
    framing->ended = true;
  else
    read_field (client, line);
  return size * count;
}

/* Called when a connection is established, before each time that the call is sent. libcurl sends it
 * again when a kept connection turns out to be closed. */
static int
on_before_send (void *data, char *remote, char *local, int remote_port, int local_port)
{
  GsServiceClient *client = data;
  bool is_resend = client->maybe_sent;

  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  client->maybe_sent = true;
  return is_resend && client->send_once ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
open_handle (GsServiceClient *client)
{
  client->curl = curl_easy_init ();
  curl_easy_setopt (client->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (client->curl, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt (client->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)client->connect_timeout_ms);
  curl_easy_setopt (client->curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (client->curl, CURLOPT_WRITEDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_HEADERFUNCTION, on_head_line);
  curl_easy_setopt (client->curl, CURLOPT_HEADERDATA, client);
  curl_easy_setopt (client->curl, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (client->curl, CURLOPT_PREREQDATA, client);
  if (!client->allow_proxy)
    curl_easy_setopt (client->curl, CURLOPT_NOPROXY, "*");
}

GsServiceClient *
gs_service_client_new (const GsServiceClientOptions *options)
{
  GsServiceClient *client = g_new0 (GsServiceClient, 1);

  client->base_url = g_strdup (options->base_url);
  client->connect_timeout_ms = options->connect_timeout_ms;
  client->allow_proxy = options->allow_proxy;
  client->era_header = g_strdup (options->era_header);
  client->body = g_byte_array_new ();
  open_handle (client);
  return client;
}

void
gs_service_client_free (GsServiceClient *client)
{
  if (client == NULL)
    return;
  curl_easy_cleanup (client->curl);
  g_byte_array_unref (client->body);
  g_free (client->base_url);
  g_free (client->era_header);
  g_free (client);
}

void
gs_service_client_disconnect (GsServiceClient *client)
{
  curl_easy_cleanup (client->curl);
  open_handle (client);
}

/* Sets the method, the body and the headers. RETURN VALUE: the headers, to be freed after the
 * call. */
static struct curl_slist *
set_request (CURL *curl, const GsServiceCall *call)
{
  struct curl_slist *headers = NULL;
  gsize length = 0;
  gconstpointer bytes = call->body != NULL ? g_bytes_get_data (call->body, &length) : NULL;

  if (call->authorization != NULL)
    {
      g_autofree char *line = g_strconcat ("Authorization: ", call->authorization, NULL);
      headers = curl_slist_append (headers, line);
    }
  if (call->body != NULL)
    {
      headers = curl_slist_append (headers, "Content-Type: application/octet-stream");
      headers = curl_slist_append (headers, "Expect:");
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, bytes != NULL ? bytes : "");
    }
  else
    curl_easy_setopt (curl, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  return headers;
}

/* libcurl reports a body that ends before its length or its last chunk as an error. */
static bool
is_whole (const GsServiceClient *client, long status)
{
  const Framing *framing = &client->framing;

  return status >= SERVICE_STATUS_FINAL_MIN && framing->ended && !framing->contradictory
         && framing->has_length != framing->chunked
         && (framing->chunked || framing->length == client->body->len);
}

GsServiceAnswer
gs_service_client_call (GsServiceClient *client, const GsServiceCall *call)
{
  g_autofree char *url = g_strconcat (client->base_url, call->path, NULL);
  struct curl_slist *headers = set_request (client->curl, call);
  GsServiceAnswer answer = { .status = 0 };
  long status = 0;

  g_byte_array_set_size (client->body, 0);
  client->framing = (Framing){ .ended = false };
  client->maybe_sent = false;
  client->send_once = call->body != NULL;
  curl_easy_setopt (client->curl, CURLOPT_URL, url);
  curl_easy_setopt (client->curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (client->curl, CURLOPT_FRESH_CONNECT, call->own_connection ? 1L : 0L);
  curl_easy_setopt (client->curl, CURLOPT_FORBID_REUSE, call->own_connection ? 1L : 0L);
  if (curl_easy_perform (client->curl) == CURLE_OK)
    curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_setopt (client->curl, CURLOPT_HTTPHEADER, NULL);
  curl_slist_free_all (headers);
  if (is_whole (client, status))
    answer.status = status;
  else
    gs_service_client_disconnect (client);
  answer.body = (const char *)client->body->data;
  answer.length = client->body->len;
  answer.maybe_sent = client->maybe_sent;
  answer.era = client->framing.ended ? client->framing.era : 0;
  return answer;
}
