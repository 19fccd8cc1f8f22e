// Property: readers of one log agree, whatever they miss, read twice or take from each other, and
// no reader's revision ever falls.
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
  GsConfigLog *fold = gs_config_log_new (table);
  std::map<std::string, uint64_t> seen;

  ~Reader ()
  {
    gs_config_log_free (fold);
    gs_table_free (table);
  }

  void watch ()
  {
    for (int w = 0; w < 3; w++)
      {
        std::string name = "w" + std::to_string (w);
        uint64_t revision = gs_config_log_revision (fold, name.c_str (), nullptr);
        RC_ASSERT (revision >= seen[name]);
        seen[name] = revision;
      }
  }

  void read (const std::vector<LogEdit> &log, uint64_t offset)
  {
    std::string name = "w" + std::to_string (log[offset].workspace);
    GsEdit edit = {};
    uint64_t revision;
    edit.submission = log[offset].submission;
    edit.base_revision = log[offset].base;
    edit.workspace = name.c_str ();
    edit.text = "t";
    edit.document = gs_document_new (name.c_str (), 0);
    gs_config_log_apply_edit (fold, offset, &edit, &revision);
    watch ();
  }
};

void
take_entry (const GsSnapshotEntry *entry, void *data)
{
  gs_config_log_apply_snapshot_entry (static_cast<GsConfigLog *> (data), entry,
                                      gs_document_new (entry->workspace, 0));
}

void
copy (Reader &from, Reader &to, uint64_t above)
{
  if (!gs_config_log_is_complete (from.fold)
      || !gs_config_log_accepts_snapshot (to.fold, above, gs_config_log_position (from.fold)))
    return;
  gs_config_log_foreach_newer (from.fold, above, take_entry, to.fold);
  gs_config_log_end_snapshot (to.fold, gs_config_log_position (from.fold));
  to.watch ();
}

// A log whose bases are often right: the base is a revision that some earlier edit may have made.
std::vector<LogEdit>
make_log ()
{
  std::vector<LogEdit> log;
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
      log.push_back (edit);
    }
  return log;
}
}

int
main ()
{
  bool ok = rc::check ("readers agree and never go back", [] {
    std::vector<LogEdit> log = make_log ();
    Reader whole;
    Reader others[3];
    gs_config_log_set_complete (whole.fold, 0);
    gs_config_log_set_complete (others[0].fold, 0);
    uint64_t next[3] = { 0, 0, 0 };
    int steps = *rc::gen::inRange (0, 120);
    for (int i = 0; i < steps; i++)
      {
        int reader = *rc::gen::inRange (0, 3);
        int action = *rc::gen::inRange (0, 10);
        if (action < 6 && next[reader] < log.size ())
          {
            uint64_t position = gs_config_log_position (others[reader].fold);
            if (gs_config_log_is_complete (others[reader].fold) && position > next[reader])
              next[reader] = position;
            if (next[reader] < log.size ())
              others[reader].read (log, next[reader]++);
          }
        else if (action < 8 && next[reader] > 0)
          others[reader].read (log, *rc::gen::inRange<uint64_t> (0, next[reader]));
        else
          copy (others[*rc::gen::inRange (0, 3)], others[reader],
                *rc::gen::inRange (0, 2) == 0 ? 0 : gs_config_log_position (others[reader].fold));
      }
    for (uint64_t i = 0; i < log.size (); i++)
      {
        whole.read (log, i);
        for (Reader &other : others)
          if (gs_config_log_is_complete (other.fold)
              && gs_config_log_position (other.fold) == i + 1)
            for (int w = 0; w < 3; w++)
              {
                std::string name = "w" + std::to_string (w);
                RC_ASSERT (gs_config_log_revision (other.fold, name.c_str (), nullptr)
                           == gs_config_log_revision (whole.fold, name.c_str (), nullptr));
              }
      }
  });
  return ok ? 0 : 1;
}
