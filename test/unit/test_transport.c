/* Unit tests of peer/transport: messages to daemons that do not take them. */
#include <ev.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../src/gentian/peer/transport.h"
#include "fixture.h"

enum
{
  MESSAGE_BYTES = 64 * 1024,
  N_DAEMONS = 50,
  STEPS = 200,
};

static uint16_t
free_port (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (fd, (struct sockaddr *)&address, length), 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  return ntohs (address.sin_port);
}

static void
ignore_message (const char *bytes, size_t length, void *data)
{
  (void)bytes;
  (void)length;
  (void)data;
}

static void
count_release (gpointer released)
{
  g_atomic_int_inc ((gint *)released);
}

/* Guards against the memory of one copy of a long message for each daemon that it goes to, while
 * these do not take it. */
START_TEST (long_message_to_many_daemons_is_held_once)
{
  static char text[MESSAGE_BYTES];
  gint released = 0;
  GsTransportOptions options = { .loop = ev_loop_new (EVFLAG_AUTO),
                                 .ipv4 = INADDR_LOOPBACK,
                                 .port = free_port (),
                                 .public_key = "",
                                 .secret_key = "",
                                 .message_handler = ignore_message };
  GsTransport *transport = gs_transport_new (&options, NULL);
  GBytes *bytes = g_bytes_new_with_free_func (text, sizeof text, count_release, &released);
  GsPeerAddress to = { .ipv4 = INADDR_LOOPBACK };

  ck_assert_ptr_nonnull (transport);
  for (int i = 0; i < N_DAEMONS; i++)
    {
      to.peer_port = free_port (); /* nobody listens there */
      gs_transport_send (transport, &to, GS_TRANSPORT_CONNECTION, g_bytes_ref (bytes));
    }
  g_bytes_unref (bytes);
  for (int i = 0; i < STEPS; i++)
    {
      ev_run (options.loop, EVRUN_NOWAIT);
      g_usleep (1000);
    }
  ck_assert_msg (g_atomic_int_get (&released) == 0, "the waiting messages are copies");
  gs_transport_free (transport);
  ck_assert_int_eq (g_atomic_int_get (&released), 1);
  ev_loop_destroy (options.loop);
}
END_TEST

FIXTURE_MAIN ("transport", &long_message_to_many_daemons_is_held_once)
