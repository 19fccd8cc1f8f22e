/*
 * Model of the claim protocol (docs/design/never-repeat.md) for spin: two daemons, one key, a log that loses
 * answers and repeats records, crashes between any two steps. Checked: the key runs at most once, and a caller
 * who was told "not run" was told the truth.
 *
 *   spin -a claim.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -m100000
 *
 * With spin -DBROKEN a daemon dispatches without reading its claim back; the check must then fail.
 */
#define DAEMONS 2
#define LOG_MAX 8
#define TAKE 1
#define RELEASE 2

byte log_kind[LOG_MAX];
byte log_claim[LOG_MAX];
byte log_length = 0;
byte runs = 0;
byte next_claim = 1;

/* An append may take effect, take effect twice, or not at all; its answer tells nothing certain. */
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

/* Folds the log from its start: holder is the claim in force; released claims never hold endagain. */
inline fold (holder, upto)
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
       :: log_kind[i] == TAKE && holder == 0 && released[log_claim[i]] == 0 -> holder = log_claim[i]
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
  byte seen;
  bool ran;
  byte rounds = 0;

endagain:
  rounds < 2;
  rounds++;
  ran = false;
  /* a request comes: the key must look free up to the end of the log that was read */
  fold (holder, log_length);
  if
  :: holder != 0 -> goto endagain /* "may have run" */
  :: else
  fi;
  atomic { next_claim < LOG_MAX; mine = next_claim; next_claim++ }
  append (TAKE, mine);
  if
  :: goto endagain /* a crash: the incarnation is gone, nobody dispatches this claim */
  :: append (RELEASE, mine); goto endagain /* not read back in time: void it ahead, "may have run" */
  :: skip
  fi;
  /* read back: some prefix of the log that holds the own record */
  seen = log_length;
  fold (holder, seen);
#ifndef BROKEN
  if
  :: holder != mine -> goto endagain /* lost, or not in the log */
  :: else
  fi;
#endif
  if
  :: goto endagain /* a crash before the dispatch: "may have run" for ever */
  :: runs++; ran = true; assert (runs <= 1); goto endagain
  :: /* not dispatched: give the claim back, and say "not run" only once that is read back */
     append (RELEASE, mine);
     fold (holder, log_length);
     if
     :: holder != mine -> assert (!ran)
     :: else
     fi;
     goto endagain
  fi
}
