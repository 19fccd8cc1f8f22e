#include "pack.h"

#include <string.h>

GsReader
gs_reader (const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return (GsReader){ .failed = true };
  return (GsReader){ .items = object->via.array.ptr, .length = object->via.array.size };
}

static const msgpack_object *
next_item (GsReader *reader)
{
  if (!reader->failed && reader->next < reader->length)
    return &reader->items[reader->next++];
  reader->failed = true;
  return NULL;
}

uint64_t
gs_read_uint (GsReader *reader, uint64_t max)
{
  const msgpack_object *item = next_item (reader);

  if (item != NULL && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER && item->via.u64 <= max)
    return item->via.u64;
  reader->failed = true;
  return 0;
}

double
gs_read_double (GsReader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (item != NULL
      && (item->type == MSGPACK_OBJECT_FLOAT64 || item->type == MSGPACK_OBJECT_FLOAT32))
    return item->via.f64;
  reader->failed = true;
  return 0;
}

const char *
gs_read_bytes (GsReader *reader, size_t *length)
{
  const msgpack_object *item = next_item (reader);

  *length = 0;
  if (item != NULL && item->type == MSGPACK_OBJECT_STR)
    {
      *length = item->via.str.size;
      return item->via.str.ptr;
    }
  if (item != NULL && item->type == MSGPACK_OBJECT_BIN)
    {
      *length = item->via.bin.size;
      return item->via.bin.ptr;
    }
  reader->failed = true;
  return NULL;
}

void
gs_read_name (GsReader *reader, char *out, size_t size)
{
  size_t length;
  const char *bytes = gs_read_bytes (reader, &length);

  out[0] = '\0';
  if (reader->failed || length >= size || memchr (bytes, '\0', length) != NULL)
    {
      reader->failed = true;
      return;
    }
  memcpy (out, bytes, length);
  out[length] = '\0';
}

GsReader
gs_read_array (GsReader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (item == NULL)
    return (GsReader){ .failed = true };
  return gs_reader (item);
}

void
gs_pack_text (msgpack_packer *packer, const char *text)
{
  size_t length = strlen (text);

  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

void
gs_pack_bytes (msgpack_packer *packer, const char *bytes, size_t length)
{
  msgpack_pack_bin (packer, length);
  msgpack_pack_bin_body (packer, bytes, length);
}
