// Property test of the config log: readers of one log agree, whatever entries they miss, read twice
// or get in snapshots from each other, and no reader's revision decreases.
#include <rapidcheck.h>

#include <glib.h>
#include <map>

extern "C"
{
#include "../../src/gentian/core/config_log.h"
}

namespace
{
struct LogEdit
{
  uint64_t submission;
  int workspace;
  uint64_t base;
};

struct Reader
{
  GsTable *table = gs_table_new ();
  GsConfigLog *config_log = gs_config_log_new (table);
  std::map<std::string, uint64_t> last_revisions; // by workspace

  ~Reader ()
  {
    gs_config_log_free (config_log);
    gs_table_free (table);
  }

  void check_revisions ()
  {
    for (int w = 0; w < 3; w++)
      {
        std::string name = "w" + std::to_string (w);
        uint64_t revision = gs_config_log_revision (config_log, name.c_str (), nullptr);
        RC_ASSERT (revision >= last_revisions[name]);
        last_revisions[name] = revision;
      }
  }

  void read (const std::vector<LogEdit> &edits, uint64_t offset)
  {
    std::string name = "w" + std::to_string (edits[offset].workspace);
    GsEdit edit = {};
    uint64_t revision;
    edit.submission = edits[offset].submission;
    edit.base_revision = edits[offset].base;
    edit.workspace = name.c_str ();
    edit.text = "t";
    edit.document = gs_document_new (name.c_str (), 0);
    gs_config_log_apply_edit (config_log, offset, &edit, &revision);
    check_revisions ();
  }
};

void
apply_entry (const GsSnapshotEntry *entry, void *data)
{
  gs_config_log_apply_snapshot_entry (static_cast<GsConfigLog *> (data), entry,
                                      gs_document_new (entry->workspace, 0));
}

void
copy_snapshot (Reader &from, Reader &to, uint64_t above)
{
  if (!gs_config_log_is_complete (from.config_log)
      || !gs_config_log_accepts_snapshot (to.config_log, above,
                                          gs_config_log_position (from.config_log)))
    return;
  gs_config_log_foreach_newer (from.config_log, above, apply_entry, to.config_log);
  gs_config_log_end_snapshot (to.config_log, gs_config_log_position (from.config_log));
  to.check_revisions ();
}

// Two of three edits have the last revision of their workspace as their base, so that many are
// accepted.
std::vector<LogEdit>
make_edits ()
{
  std::vector<LogEdit> edits;
  uint64_t last[3] = { 0, 0, 0 };
  int length = *rc::gen::inRange (1, 40);
  for (int i = 0; i < length; i++)
    {
      LogEdit edit;
      edit.workspace = *rc::gen::inRange (0, 3);
      edit.submission = *rc::gen::inRange<uint64_t> (1, 30);
      edit.base = *rc::gen::inRange (0, 3) > 0 ? last[edit.workspace]
                                               : *rc::gen::inRange<uint64_t> (0, 40);
      if (edit.base == last[edit.workspace])
        last[edit.workspace] = (uint64_t)i + 1;
      edits.push_back (edit);
    }
  return edits;
}
}

int
main ()
{
  bool ok = rc::check ("readers agree and their revisions never decrease", [] {
    std::vector<LogEdit> edits = make_edits ();
    Reader reference;
    Reader others[3];
    gs_config_log_set_complete (reference.config_log, 0);
    gs_config_log_set_complete (others[0].config_log, 0);
    uint64_t next[3] = { 0, 0, 0 };
    int steps = *rc::gen::inRange (0, 120);
    for (int i = 0; i < steps; i++)
      {
        int reader = *rc::gen::inRange (0, 3);
        int action = *rc::gen::inRange (0, 10);
        if (action < 6 && next[reader] < edits.size ())
          {
            uint64_t position = gs_config_log_position (others[reader].config_log);
            if (gs_config_log_is_complete (others[reader].config_log) && position > next[reader])
              next[reader] = position;
            if (next[reader] < edits.size ())
              others[reader].read (edits, next[reader]++);
          }
        else if (action < 8 && next[reader] > 0)
          others[reader].read (edits, *rc::gen::inRange<uint64_t> (0, next[reader]));
        else
          copy_snapshot (others[*rc::gen::inRange (0, 3)], others[reader],
                         *rc::gen::inRange (0, 2) == 0
                             ? 0
                             : gs_config_log_position (others[reader].config_log));
      }
    for (uint64_t i = 0; i < edits.size (); i++)
      {
        reference.read (edits, i);
        for (Reader &other : others)
          if (gs_config_log_is_complete (other.config_log)
              && gs_config_log_position (other.config_log) == i + 1)
            for (int w = 0; w < 3; w++)
              {
                std::string name = "w" + std::to_string (w);
                RC_ASSERT (
                    gs_config_log_revision (other.config_log, name.c_str (), nullptr)
                    == gs_config_log_revision (reference.config_log, name.c_str (), nullptr));
              }
      }
  });
  return ok ? 0 : 1;
}
