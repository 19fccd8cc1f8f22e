/**
 * NAME
 *   msgpack_io - strict reading, and writing, of msgpack values
 *
 * DESCRIPTION
 *   A GsMsgpackReader is a cursor over the items of a msgpack array. It fails on a wrong type, a
 * missing item or a value out of range, and stays failed, so a decoder checks `failed` once at its
 * end.
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
 * cannot cause an allocation of gigabytes. The caller calls msgpack_unpacked_destroy in either
 * case.
 *
 * RETURN VALUE: a reader of the array that the bytes encode; failed when they encode none.
 */
GsMsgpackReader gs_msgpack_unpack (msgpack_unpacked *unpacked, const char *bytes, size_t length);

/** RETURN VALUE: a reader of the array OBJECT; failed when it is no array. */
GsMsgpackReader gs_msgpack_reader (const msgpack_object *object);

/** RETURN VALUE: the next item, an unsigned integer of at most MAX; 0 when the reader fails. */
uint64_t gs_msgpack_read_uint (GsMsgpackReader *reader, uint64_t max);

/** RETURN VALUE: the next item, a floating-point number; 0 when the reader fails. */
double gs_msgpack_read_double (GsMsgpackReader *reader);

/** Copies the next item, a string or binary value, to OUT of SIZE bytes and terminates it. The
 * reader fails, and OUT is empty, when it does not fit or contains a NUL. */
void gs_msgpack_read_string (GsMsgpackReader *reader, char *out, size_t size);

/** RETURN VALUE: the bytes of the next item, a string or binary value, valid as long as the
 * unpacked data; NULL when the reader fails. LENGTH gets their number. */
const char *gs_msgpack_read_bytes (GsMsgpackReader *reader, size_t *length);

/** RETURN VALUE: a reader of the next item, an array; failed when it is none. */
GsMsgpackReader gs_msgpack_read_array (GsMsgpackReader *reader);

/** Packs a NUL-terminated string. */
void gs_msgpack_pack_string (msgpack_packer *packer, const char *text);

/** Packs LENGTH bytes as a binary value. */
void gs_msgpack_pack_bytes (msgpack_packer *packer, const char *bytes, size_t length);

#endif
