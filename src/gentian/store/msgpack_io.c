#include "msgpack_io.h"

#include <string.h>

GsMsgpackReader
gs_msgpack_reader (const msgpack_object *object)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return (GsMsgpackReader){ .failed = true };
  return (GsMsgpackReader){ .items = object->via.array.ptr, .length = object->via.array.size };
}

enum
{
  MSGPACK_IO_DEPTH_MAX = 8, /* nested arrays and maps */
};

/* Size of one value: its own bytes, and the number of values that follow as its items. */
typedef struct
{
  uint64_t bytes;
  uint64_t items;
} ValueSize;

static uint64_t
read_big_endian (const uint8_t *bytes, size_t length)
{
  uint64_t value = 0;

  for (size_t i = 0; i < length; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* RETURN VALUE: size of the length field of a format byte, 0 when the format has none. Formats that
 * have one lie between 0xc4 and 0xdf. */
static size_t
length_field_size (uint8_t format)
{
  static const uint8_t sizes[] = { 1, 2, 4, 1, 2, 4 };

  if (format >= 0xc4 && format <= 0xc9)
    return sizes[format - 0xc4];
  if (format >= 0xd9 && format <= 0xdb)
    return sizes[format - 0xd9];
  return format >= 0xdc && format <= 0xdf ? (format % 2 == 0 ? 2 : 4) : 0;
}

/* RETURN VALUE: size of a value of a format without a length field. */
static uint64_t
fixed_size (uint8_t format)
{
  static const uint8_t sizes[] = { 5, 9, 2, 3, 5, 9, 2, 3, 5, 9, 3, 4, 6, 10, 18 };

  return format >= 0xca && format <= 0xd8 ? sizes[format - 0xca] : 1;
}

/* Reads the size of the value at BYTES. RETURN VALUE: false when it exceeds the bytes left. */
static bool
read_value_size (const uint8_t *bytes, size_t bytes_left, ValueSize *size)
{
  uint8_t format = bytes[0];
  size_t field_size = length_field_size (format);
  uint64_t length;

  *size = (ValueSize){ .bytes = fixed_size (format) };
  if (format >= 0x80 && format <= 0x8f)
    size->items = 2 * (uint64_t)(format & 15);
  else if (format >= 0x90 && format <= 0x9f)
    size->items = format & 15;
  else if (format >= 0xa0 && format <= 0xbf)
    size->bytes = 1 + (uint64_t)(format & 31);
  if (field_size == 0)
    return size->bytes <= bytes_left;
  if (bytes_left < 1 + field_size)
    return false;
  length = read_big_endian (bytes + 1, field_size);
  size->bytes = 1 + field_size;
  if (format >= 0xdc)
    size->items = format >= 0xde ? 2 * length : length;
  else
    size->bytes += length + (format >= 0xc7 && format <= 0xc9 ? 1 : 0);
  return size->bytes <= bytes_left;
}

/* RETURN VALUE: false when a stated length exceeds the bytes left, or values nest too deeply. */
static bool
are_lengths_valid (const uint8_t *bytes, size_t length)
{
  uint64_t items_left[MSGPACK_IO_DEPTH_MAX + 1] = { 1 };
  int depth = 0;
  size_t position = 0;

  while (depth >= 0)
    {
      ValueSize size;
      if (items_left[depth] == 0)
        {
          depth--;
          continue;
        }
      if (position >= length || !read_value_size (bytes + position, length - position, &size)
          || size.items > length - position)
        return false;
      items_left[depth]--;
      position += size.bytes;
      if (size.items > 0 && depth == MSGPACK_IO_DEPTH_MAX)
        return false;
      if (size.items > 0)
        items_left[++depth] = size.items;
    }
  return true;
}

GsMsgpackReader
gs_msgpack_unpack (msgpack_unpacked *unpacked, const char *bytes, size_t length)
{
  msgpack_unpacked_init (unpacked);
  if (!are_lengths_valid ((const uint8_t *)bytes, length)
      || msgpack_unpack_next (unpacked, bytes, length, NULL) != MSGPACK_UNPACK_SUCCESS)
    return (GsMsgpackReader){ .failed = true };
  return gs_msgpack_reader (&unpacked->data);
}

static const msgpack_object *
next_item (GsMsgpackReader *reader)
{
  if (!reader->failed && reader->next < reader->length)
    return &reader->items[reader->next++];
  reader->failed = true;
  return NULL;
}

uint64_t
gs_msgpack_read_uint (GsMsgpackReader *reader, uint64_t max)
{
  const msgpack_object *item = next_item (reader);

  if (item != NULL && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER && item->via.u64 <= max)
    return item->via.u64;
  reader->failed = true;
  return 0;
}

double
gs_msgpack_read_double (GsMsgpackReader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (item != NULL
      && (item->type == MSGPACK_OBJECT_FLOAT64 || item->type == MSGPACK_OBJECT_FLOAT32))
    return item->via.f64;
  reader->failed = true;
  return 0;
}

const char *
gs_msgpack_read_bytes (GsMsgpackReader *reader, size_t *length)
{
  const msgpack_object *item = next_item (reader);

  *length = 0;
  if (item != NULL && item->type == MSGPACK_OBJECT_STR)
    {
      *length = item->via.str.size;
      return *length > 0 ? item->via.str.ptr : "";
    }
  if (item != NULL && item->type == MSGPACK_OBJECT_BIN)
    {
      *length = item->via.bin.size;
      return *length > 0 ? item->via.bin.ptr : "";
    }
  reader->failed = true;
  return NULL;
}

void
gs_msgpack_read_string (GsMsgpackReader *reader, char *out, size_t size)
{
  size_t length;
  const char *bytes = gs_msgpack_read_bytes (reader, &length);

  out[0] = '\0';
  if (reader->failed || length >= size || memchr (bytes, '\0', length) != NULL)
    {
      reader->failed = true;
      return;
    }
  memcpy (out, bytes, length);
  out[length] = '\0';
}

GsMsgpackReader
gs_msgpack_read_array (GsMsgpackReader *reader)
{
  const msgpack_object *item = next_item (reader);

  if (item == NULL)
    return (GsMsgpackReader){ .failed = true };
  return gs_msgpack_reader (item);
}

void
gs_msgpack_pack_string (msgpack_packer *packer, const char *text)
{
  size_t length = strlen (text);

  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

void
gs_msgpack_pack_bytes (msgpack_packer *packer, const char *bytes, size_t length)
{
  msgpack_pack_bin (packer, length);
  msgpack_pack_bin_body (packer, bytes, length);
}
