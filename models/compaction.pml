/* A store of tables (src/store/tables, log): one key that is put, erased and lazily written while the oldest segments are
 * cleaned and a checkpoint is made, with crashes at any point; checked exhaustively by Spin: after each start the key is as
 * it was after some commit, no earlier than the last durable one.
 *
 * Each -D takes one part away; Spin must then find a key lost or brought back (tests/models.cmake).
 *   NO_FLUSH_CLEAN       a slice of cleaning takes a record for dead that only a waiting one was written over
 *   NO_FLUSH_CHECKPOINT  a slice of a checkpoint counts on a waiting value
 *   ANY_ORDER            any closed segment is cleaned, not the oldest
 *   UNSYNCED_DROPS       a segment may come back in a crash while a later one stays gone
 *   NO_FORGET            entries of a checkpoint count though their segment has gone
 *   REPLAY_ALL           records from before the checkpoint's place come over its entries
 */
#define SEGS 7
#define SLOTS 2
#ifndef OPS
#define OPS 4
#endif
#define CRASHES 2

/* on disk */
typedef segment { byte r[SLOTS] }  /* number of the commit, 0: nothing */
segment s[SEGS];
bit there[SEGS];
byte open_seg, used;               /* the open segment, and its records */
bit kept;                          /* a checkpoint: of what place, and its entry */
byte kept_seg, kept_slot, kept_op, kept_at;
#ifdef UNSYNCED_DROPS
bit unsure[SEGS];                  /* its drop is not surely on disk */
#endif

/* in memory */
byte now_op, now_seg, now_slot;    /* the key's value; 0: none */
byte waiting;                      /* a commit in memory only */
byte clean_seg = SEGS, clean_slot;
byte making, make_seg, make_slot, make_op, make_at; /* 1: begun, 2: its entry is taken */

/* what happened */
bit erases[8];
byte ops, durable, crashes;

byte i, j, m, low;

inline append(op) {
  if
  :: used == SLOTS -> open_seg++; used = 0; there[open_seg] = 1
  :: else
  fi;
  s[open_seg].r[used] = op;
  if
  :: now_op == op -> now_seg = open_seg; now_slot = used
  :: else
  fi;
  used++
}

inline flush() {
  if
  :: waiting != 0 -> append(waiting); durable = waiting; waiting = 0
  :: else
  fi
}

inline number() {
  ops++;
  if
  :: erases[ops] = 0
  :: erases[ops] = 1
  fi
}

inline oldest() {
  low = 0;
  do
  :: low < open_seg && !there[low] -> low++
  :: else -> break
  od
}

/* Memory is gone; what is on disk is read, the checkpoint first. */
inline start() {
  waiting = 0; clean_seg = SEGS; clean_slot = 0; making = 0;
#ifdef UNSYNCED_DROPS
  i = 0;
  do
  :: i == SEGS -> break
  :: i < SEGS ->
     if
     :: unsure[i] -> there[i] = 1
     :: true
     fi;
     unsure[i] = 0;
     i++
  od;
#endif
  oldest();
  now_op = 0; now_seg = 0; now_slot = 0;
  if
  :: kept && kept_op != 0 ->
#ifndef NO_FORGET
     if
     :: kept_at >= low -> now_op = kept_op; now_seg = kept_at
     :: else
     fi
#else
     now_op = kept_op; now_seg = kept_at
#endif
  :: else
  fi;
  i = low;
  do
  :: i > open_seg -> break
  :: else ->
     j = 0;
     do
     :: j == SLOTS -> break
     :: else ->
        if
        :: there[i] && s[i].r[j] != 0 && (i < open_seg || j < used) &&
#ifndef REPLAY_ALL
           (!kept || i > kept_seg || (i == kept_seg && j >= kept_slot)) ->
#else
           (!kept || i != kept_seg || j >= kept_slot) ->
#endif
           m = s[i].r[j];
           if
           :: erases[m] -> now_op = 0
           :: else -> now_op = m; now_seg = i; now_slot = j
           fi
        :: else
        fi;
        j++
     od;
     i++
  od;
  /* As after a commit that was made, no earlier than the last durable one. */
  if
  :: now_op != 0 -> assert(now_op >= durable); durable = now_op
  :: else ->
     m = durable;
     do
     :: m == 0 || erases[m] -> break
     :: m != 0 && !erases[m] -> assert(m < ops); m++
     od;
     durable = m
  fi;
  /* the place of the value, where it came from the checkpoint: its record in that segment */
  if
  :: now_op != 0 ->
     j = 0;
     do
     :: j < SLOTS && s[now_seg].r[j] != now_op -> j++
     :: else -> break
     od;
     assert(j < SLOTS);
     now_slot = j
  :: else
  fi;
  open_seg++; used = 0; there[open_seg] = 1;
  i = 0; j = 0; m = 0; low = 0
}

#define room (open_seg < SEGS - 2)

active proctype store() {
  there[0] = 1;
  do
  :: atomic { ops < OPS && room -> /* durable */
       number();
       flush();
       if
       :: erases[ops] -> now_op = 0
       :: else -> now_op = ops
       fi;
       append(ops);
       durable = ops
     }
  :: atomic { ops < OPS && room && waiting == 0 -> /* lazily */
       number();
       waiting = ops;
       if
       :: erases[ops] -> now_op = 0
       :: else -> now_op = ops
       fi
     }
  :: atomic { ops < OPS && room && crashes < CRASHES -> /* a crash in the middle of a commit: its frame is there or not */
       number();
       if
       :: if
          :: waiting != 0 -> append(waiting)
          :: else
          fi;
          append(ops)
       :: true
       fi;
       crashes++;
       start()
     }
  :: atomic { room && waiting != 0 -> flush() }
  :: atomic { room && clean_seg == SEGS -> /* cleaning begins */
       oldest();
#ifdef ANY_ORDER
       if
       :: low + 1 < open_seg && there[low + 1] -> low++
       :: true
       fi;
#endif
       if
       :: low < open_seg -> clean_seg = low; clean_slot = 0
       :: else
       fi;
       low = 0
     }
  :: atomic { room && clean_seg < SEGS && clean_slot < SLOTS -> /* a slice */
#ifndef NO_FLUSH_CLEAN
       flush();
#endif
       if
       :: now_op != 0 && now_op != waiting && now_seg == clean_seg && now_slot == clean_slot -> append(now_op)
       :: else
       fi;
       clean_slot++
     }
  :: atomic { clean_seg < SEGS && clean_slot == SLOTS -> /* it goes */
       there[clean_seg] = 0;
#ifdef UNSYNCED_DROPS
       unsure[clean_seg] = 1;
#endif
       clean_seg = SEGS; clean_slot = 0
     }
  :: atomic { room && making == 0 && !kept -> /* a checkpoint begins at the log's end */
       flush();
       making = 1; make_seg = open_seg; make_slot = used
     }
  :: atomic { room && making == 1 ->
#ifndef NO_FLUSH_CHECKPOINT
       flush();
#endif
       making = 2;
       if
       :: now_op != 0 && now_op != waiting -> make_op = now_op; make_at = now_seg
       :: else -> make_op = 0; make_at = 0
       fi
     }
  :: atomic { making == 2 ->
       making = 0; kept = 1; kept_seg = make_seg; kept_slot = make_slot; kept_op = make_op; kept_at = make_at;
       make_seg = 0; make_slot = 0; make_op = 0; make_at = 0
     }
  :: atomic { crashes < CRASHES && room -> crashes++; start() }
  od
}
