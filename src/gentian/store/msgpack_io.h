/**
 * NAME
 *   pack - strict reading of msgpack values
 *
 * DESCRIPTION
 *   A cursor over a msgpack array. Each read fails for good on a wrong type, a missing element or a
 * value out of range, so a decoder checks `failed` once at its end.
 */
#ifndef GS_MSGPACK_IO_H
#define GS_MSGPACK_IO_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const msgpack_object *items;
  uint32_t length;
  uint32_t next;
  bool failed;
} GsMsgpackReader;

/**
 * Unpacks LENGTH bytes after checking that every stated length fits into them, so that a few bytes
 * cannot ask for gigabytes of memory. Ends in msgpack_unpacked_destroy either way.
 *
 * RETURN VALUE: a cursor over the array that the bytes hold, failed when they hold none.
 */
GsMsgpackReader gs_msgpack_unpack (msgpack_unpacked *unpacked, const char *bytes, size_t length);

/** RETURN VALUE: a cursor over OBJECT, failed at once when it is no array. */
GsMsgpackReader gs_msgpack_reader (const msgpack_object *object);

/** RETURN VALUE: the next unsigned integer, at most MAX; else 0 and the reader has failed. */
uint64_t gs_msgpack_read_uint (GsMsgpackReader *reader, uint64_t max);

/** RETURN VALUE: the next number; else 0 and the reader has failed. */
double gs_msgpack_read_double (GsMsgpackReader *reader);

/** Copies the next string to OUT of SIZE bytes; fails when it does not fit or holds a NUL. */
void gs_msgpack_read_string (GsMsgpackReader *reader, char *out, size_t size);

/** RETURN VALUE: bytes of the next string or binary value; LENGTH gets their number. */
const char *gs_msgpack_read_bytes (GsMsgpackReader *reader, size_t *length);

/** RETURN VALUE: a cursor over the next value, an array. */
GsMsgpackReader gs_msgpack_read_array (GsMsgpackReader *reader);

/** Packs a NUL-terminated string. */
void gs_msgpack_pack_string (msgpack_packer *packer, const char *text);

/** Packs LENGTH bytes. */
void gs_msgpack_pack_bytes (msgpack_packer *packer, const char *bytes, size_t length);

#endif
