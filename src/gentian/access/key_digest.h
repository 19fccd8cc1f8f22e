/**
 * NAME
 *   key_digest - digests of callers' keys
 *
 * SYNOPSIS
 *   GsKeyDigest digest;
 *   if (gs_key_is_valid (key, length))
 *     digest = gs_key_digest (key, length);
 *
 * DESCRIPTION
 *   A digest is BLAKE2b of 16 bytes over the key as it is. Keys are random texts of the service, so
 * a digest does not lead back to its key, and needs no salt. Pure: no I/O. Tested by
 * test/unit/test_access.c.
 */
#ifndef GS_KEY_DIGEST_H
#define GS_KEY_DIGEST_H

#include "../core/table.h"

enum
{
  GS_KEY_BYTES_MAX = 1024,
  GS_KEY_DIGEST_HEX = 2 * GS_KEY_DIGEST_BYTES,
};

/** RETURN VALUE: whether LENGTH bytes at KEY can be a key: 1 to GS_KEY_BYTES_MAX bytes of ASCII. */
bool gs_key_is_valid (const char *key, size_t length);

/** RETURN VALUE: the digest of LENGTH bytes at KEY. */
GsKeyDigest gs_key_digest (const char *key, size_t length);

/** Reads GS_KEY_DIGEST_HEX hexadecimal digits. RETURN VALUE: false if TEXT is anything else. */
bool gs_key_digest_parse (const char *text, GsKeyDigest *digest);

/** Writes DIGEST to TEXT as GS_KEY_DIGEST_HEX lower-case hexadecimal digits and a NUL. */
void gs_key_digest_format (const GsKeyDigest *digest, char text[GS_KEY_DIGEST_HEX + 1]);

#endif
