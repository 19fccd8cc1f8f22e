#include "tables_decoder.h"

#include <string.h>

enum
{
  /* Text of a snapshot that takes more than a few ms to decode on a small instance. */
  DECODER_LARGE_BYTES = 64 * 1024,
};

typedef struct
{
  GsTablesSnapshot snapshot;
  GsDocument **documents; /* NULL until decoded, and once handed over */
  GError *refusal;        /* of the first entry that is invalid */
} Task;

struct GsTablesDecoder
{
  GsTablesDecoderOptions options;
  GThreadPool *thread;
  GAsyncQueue *completed; /* of Task */
  ev_async task_completed;
  uint64_t newest_position; /* of the snapshots being decoded; 0: none */
};

static void
free_task (gpointer data)
{
  Task *task = data;

  for (uint32_t i = 0; task->documents != NULL && i < task->snapshot.n_entries; i++)
    gs_document_free (task->documents[i]);
  g_free (task->documents);
  g_clear_error (&task->refusal);
  gs_tables_snapshot_clear (&task->snapshot);
  g_free (task);
}

GsDocument *
gs_tables_decode_entry (GsTablesParser parse, const GsSnapshotEntry *entry, GError **refusal)
{
  return parse (entry->workspace, "copy", entry->text, strlen (entry->text),
                *refusal == NULL ? refusal : NULL);
}

/* Thread function of a task. */
static void
decode (gpointer data, gpointer user_data)
{
  Task *task = data;
  GsTablesDecoder *decoder = user_data;

  task->documents = g_new0 (GsDocument *, task->snapshot.n_entries);
  for (uint32_t i = 0; i < task->snapshot.n_entries; i++)
    task->documents[i] = gs_tables_decode_entry (decoder->options.parse_tables,
                                                 &task->snapshot.entries[i], &task->refusal);
  g_async_queue_push (decoder->completed, task);
  ev_async_send (decoder->options.loop, &decoder->task_completed);
}

static void
on_task_completed (struct ev_loop *loop, ev_async *async, int events)
{
  GsTablesDecoder *decoder = async->data;
  Task *task;

  (void)loop;
  (void)events;
  while ((task = g_async_queue_try_pop (decoder->completed)) != NULL)
    {
      if (task->snapshot.position == decoder->newest_position)
        decoder->newest_position = 0; /* one that was invalid may come again */
      decoder->options.decoded (&task->snapshot, task->documents, task->refusal,
                                decoder->options.data);
      g_clear_pointer (&task->documents, g_free);
      free_task (task);
    }
}

GsTablesDecoder *
gs_tables_decoder_new (const GsTablesDecoderOptions *options)
{
  GsTablesDecoder *decoder = g_new0 (GsTablesDecoder, 1);

  decoder->options = *options;
  decoder->thread = g_thread_pool_new (decode, decoder, 1, FALSE, NULL);
  decoder->completed = g_async_queue_new_full (free_task);
  ev_async_init (&decoder->task_completed, on_task_completed);
  decoder->task_completed.data = decoder;
  ev_async_start (options->loop, &decoder->task_completed);
  return decoder;
}

void
gs_tables_decoder_free (GsTablesDecoder *decoder)
{
  if (decoder == NULL)
    return;
  g_thread_pool_free (decoder->thread, FALSE, TRUE);
  ev_async_stop (decoder->options.loop, &decoder->task_completed);
  g_async_queue_unref (decoder->completed);
  g_free (decoder);
}

bool
gs_tables_decoder_is_large (const GsTablesSnapshot *snapshot)
{
  size_t bytes = 0;

  for (uint32_t i = 0; i < snapshot->n_entries && bytes < DECODER_LARGE_BYTES; i++)
    bytes += strlen (snapshot->entries[i].text);
  return bytes >= DECODER_LARGE_BYTES;
}

bool
gs_tables_decoder_start (GsTablesDecoder *decoder, GsTablesSnapshot *snapshot)
{
  Task *task;

  if (snapshot->position <= decoder->newest_position)
    {
      gs_tables_snapshot_clear (snapshot);
      return false;
    }
  task = g_new0 (Task, 1);
  task->snapshot = *snapshot;
  *snapshot = (GsTablesSnapshot){ 0 };
  decoder->newest_position = task->snapshot.position;
  g_thread_pool_push (decoder->thread, task, NULL);
  return true;
}
