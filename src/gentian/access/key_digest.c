#include "key_digest.h"

#include <sodium.h>
#include <string.h>

bool
gs_key_is_valid (const char *key, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if ((unsigned char)key[i] > 0x7f)
      return false;
  return length > 0 && length <= GS_KEY_BYTES_MAX;
}

GsKeyDigest
gs_key_digest (const char *key, size_t length)
{
  GsKeyDigest digest;

  crypto_generichash (digest.bytes, sizeof digest.bytes, (const unsigned char *)key, length, NULL,
                      0);
  return digest;
}

bool
gs_key_digest_parse (const char *text, GsKeyDigest *digest)
{
  size_t n_bytes = 0;

  return text != NULL && strlen (text) == GS_KEY_DIGEST_HEX
         && sodium_hex2bin (digest->bytes, sizeof digest->bytes, text, GS_KEY_DIGEST_HEX, NULL,
                            &n_bytes, NULL)
                == 0
         && n_bytes == sizeof digest->bytes;
}

void
gs_key_digest_format (const GsKeyDigest *digest, char text[GS_KEY_DIGEST_HEX + 1])
{
  sodium_bin2hex (text, GS_KEY_DIGEST_HEX + 1, digest->bytes, sizeof digest->bytes);
}
