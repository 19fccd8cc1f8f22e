/*
 * Model of the claim protocol (docs/design/never-repeat.md) for spin: two daemons, one key, a log that loses
 * answers and repeats records, and crashes between any two steps. Checked: the key runs at most once, and a
 * request that is rejected as not-run has not run.
 *
 *   spin -a claim.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -m100000
 *
 * With spin -DNO_READ_BACK a daemon dispatches without reading its claim back; the check must then fail.
 */
#define DAEMONS 2
#define LOG_MAX 8
#define ACQUIRE 1
#define RELEASE 2

byte log_kind[LOG_MAX];
byte log_claim[LOG_MAX];
byte log_length = 0;
byte runs = 0;
byte next_claim = 1;

/* An append may take effect once, twice or not at all; its answer does not show which. */
inline append (kind, claim)
{
  atomic
  {
    if
    :: log_length < LOG_MAX -> log_kind[log_length] = kind; log_claim[log_length] = claim;
       log_length++
    :: log_length + 1 < LOG_MAX -> log_kind[log_length] = kind; log_claim[log_length] = claim;
       log_kind[log_length + 1] = kind; log_claim[log_length + 1] = claim;
       log_length = log_length + 2
    :: skip
    fi
  }
}

/* Replays the log from its start. holder is the claim in force; a released claim never comes into force again. */
inline replay (holder, upto)
{
  d_step
  {
    byte i = 0;
    byte r = 0;
    byte released[LOG_MAX];
    holder = 0;
    do
    :: i >= upto -> break
    :: else ->
       if
       :: log_kind[i] == ACQUIRE && holder == 0 && released[log_claim[i]] == 0 -> holder = log_claim[i]
       :: log_kind[i] == RELEASE && holder == log_claim[i] -> holder = 0; released[log_claim[i]] = 1
       :: log_kind[i] == RELEASE && holder != log_claim[i] -> released[log_claim[i]] = 1
       :: else -> skip
       fi;
       i++
    od;
    i = 0;
    do
    :: i >= LOG_MAX -> break
    :: else -> released[i] = 0; i++
    od
  }
}

active [DAEMONS] proctype Daemon ()
{
  byte mine;
  byte holder;
  byte read_length;
  bool ran;
  byte rounds = 0;

endagain:
  rounds < 2;
  rounds++;
  ran = false;
  /* a request arrives: the key must be free up to the end of the log that was read */
  replay (holder, log_length);
  if
  :: holder != 0 -> goto endagain /* rejected as may-have-run */
  :: else
  fi;
  atomic { next_claim < LOG_MAX; mine = next_claim; next_claim++ }
  append (ACQUIRE, mine);
  if
  :: goto endagain /* a crash: the incarnation has ended, no daemon dispatches this claim */
  :: append (RELEASE, mine); goto endagain /* not read back in time: release it in advance, and reject as may-have-run */
  :: skip
  fi;
  /* read back a prefix of the log that may contain the own record */
  read_length = log_length;
  replay (holder, read_length);
#ifndef NO_READ_BACK
  if
  :: holder != mine -> goto endagain /* another claim is in force, or the own record is not in the log */
  :: else
  fi;
#endif
  if
  :: goto endagain /* a crash before the dispatch: the key stays may-have-run */
  :: runs++; ran = true; assert (runs <= 1); goto endagain
  :: /* not dispatched: release the claim, and reject as not-run only when the release is read back */
     append (RELEASE, mine);
     replay (holder, log_length);
     if
     :: holder != mine -> assert (!ran)
     :: else
     fi;
     goto endagain
  fi
}
