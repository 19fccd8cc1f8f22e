/**
 * NAME
 *   fields - reads YAML mappings into structures according to field specifications
 *
 * DESCRIPTION
 *   A list of specifications defines the checks, defaults, help and reference page of a mapping.
 * Every error names the file, line, field, what was found and what is allowed. Tested by
 * test/unit/test_config.c; the parser is fuzzed by test/fuzz/fuzz_tables.c.
 *
 * ERRORS
 *   GS_CONFIG_ERROR with a GsConfigError code. The numbers are stable; messages end with them, as
 * (GSC1).
 */
#ifndef GS_FIELDS_H
#define GS_FIELDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <yaml.h>

#define GS_CONFIG_ERROR (gs_config_error_quark ())

/** Codes of errors in settings and tables. */
typedef enum
{
  GS_CONFIG_ERROR_SYNTAX = 1,    /**< not YAML, or not the expected kind of node */
  GS_CONFIG_ERROR_UNKNOWN = 2,   /**< unknown field */
  GS_CONFIG_ERROR_TYPE = 3,      /**< wrong type */
  GS_CONFIG_ERROR_RANGE = 4,     /**< value outside its range */
  GS_CONFIG_ERROR_MISSING = 5,   /**< required field is missing */
  GS_CONFIG_ERROR_DUPLICATE = 6, /**< name, route or field occurs more than once */
  GS_CONFIG_ERROR_REFERENCE = 7, /**< a route names a pool that does not exist */
  GS_CONFIG_ERROR_FILE = 8,      /**< the file cannot be read, or is too large */
} GsConfigError;

GQuark gs_config_error_quark (void);

typedef enum
{
  GS_FIELD_TEXT,     /**< char *, between min and max bytes */
  GS_FIELD_NAME,     /**< char *, letters, digits, "-", "_" and "." */
  GS_FIELD_UINT,     /**< uint32_t between min and max */
  GS_FIELD_CHOICE,   /**< int, index in choices */
  GS_FIELD_BOOL,     /**< gboolean */
  GS_FIELD_IPV4,     /**< uint32_t in host byte order */
  GS_FIELD_PORT,     /**< uint32_t; accepts "ip:port" too and ignores the IP address */
  GS_FIELD_DURATION, /**< uint32_t in ms; a number with the unit ms or s */
  GS_FIELD_SHARE,    /**< uint32_t in millionths; a fraction between 0 and 1 */
  GS_FIELD_NODE,     /**< yaml_node_t *, read by the caller */
} GsFieldKind;

/** Specification of one field. */
typedef struct
{
  const char *name;
  GsFieldKind kind;
  size_t offset; /**< in the structure */
  uint64_t min;
  uint64_t max;
  const char *default_text; /**< default as text; NULL: the field is required */
  const char *unit;
  const char *help;
  const char *const *choices; /**< NULL-terminated */
} GsFieldSpec;

/** A parsed YAML document. */
typedef struct
{
  yaml_document_t document;
  char *file; /**< name for messages */
} GsYaml;

/** Parses LENGTH bytes of TEXT. RETURN VALUE: FALSE with ERROR. */
gboolean
gs_yaml_parse (GsYaml *yaml, const char *file, const char *text, size_t length, GError **error);
void gs_yaml_clear (GsYaml *yaml);

/** RETURN VALUE: the root mapping, or NULL with ERROR. */
yaml_node_t *gs_yaml_root (GsYaml *yaml, GError **error);

/** Reads the mapping NODE into OUT. Text fields are newly allocated, also on failure: free them
 * with gs_fields_clear. RETURN VALUE: FALSE with ERROR. */
gboolean gs_fields_read (GsYaml *yaml,
                         yaml_node_t *node,
                         const GsFieldSpec *specs,
                         size_t n_specs,
                         void *out,
                         GError **error);

/** RETURN VALUE: whether the field that SPEC describes, which is no GS_FIELD_NODE, has the same
 * value in A and B. */
bool gs_fields_equal (const GsFieldSpec *spec, const void *a, const void *b);

/** Frees the text fields of OUT. */
void gs_fields_clear (const GsFieldSpec *specs, size_t n_specs, void *out);

/** RETURN VALUE: number of items of the sequence NODE, 0 if NODE is NULL, or -1 with ERROR. */
int gs_yaml_length (GsYaml *yaml, yaml_node_t *node, const char *field, GError **error);

/** RETURN VALUE: item INDEX of the sequence NODE. */
yaml_node_t *gs_yaml_item (GsYaml *yaml, yaml_node_t *node, int index);

/** Sets ERROR to `file:line: field FIELD: found FOUND, allowed ALLOWED (GSC code)`; NODE gives the
 * line. */
void gs_yaml_set_error (GsYaml *yaml,
                        const yaml_node_t *node,
                        GError **error,
                        GsConfigError code,
                        const char *field,
                        const char *found,
                        const char *allowed);

/** RETURN VALUE: newly allocated Markdown table that describes SPECS. */
char *gs_fields_to_markdown (const GsFieldSpec *specs, size_t n_specs);

#endif
