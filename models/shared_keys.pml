/* Keyed writes while the processes of a node replace one another (src/idempotency/shared_keys), checked exhaustively by Spin:
 * three processes take attempts of one key in any order, and each may end at any point, also while it holds the lock of the
 * shared log. A process publishes its intent under the lock, after it has read the log, before it runs the write; it publishes
 * the result afterwards. The write must take effect at most once.
 *
 * Each -D removes one part of the protocol; Spin must then find two effects (tests/models.cmake).
 *   NO_LOCK              the log is read and the intent appended in two steps without the lock
 *   NO_READ              the intent is appended without reading the log before
 *   RUN_BEFORE_INTENT    the run starts before the intent is published
 *   SILENCE_IS_RELEASE   the run of an ended process without a result is taken as one that never began
 */
#define PROCESSES 3
#define MAX_ATTEMPTS 4
#define NONE 255

byte lock_holder = NONE;           /* released by the system when its holder ends */
byte owner = NONE;                 /* in the log: whose intent was published */
bit result_published;              /* in the log */
bit alive[PROCESSES];
bit effect_pending[PROCESSES];     /* a run goes on at the backend, also after its process has ended */
byte effects, attempts;

inline take_effect(p) {
  effects++;
  assert(effects <= 1);
  effect_pending[p] = 0
}

/* A run at the backend ends at any time, whatever becomes of the process that started it. */
active proctype backend() {
  do
  :: atomic { effect_pending[0] -> take_effect(0) }
  :: atomic { effect_pending[1] -> take_effect(1) }
  :: atomic { effect_pending[2] -> take_effect(2) }
  :: atomic { attempts == MAX_ATTEMPTS && !effect_pending[0] && !effect_pending[1] && !effect_pending[2] -> break }
  od
}

active [PROCESSES] proctype node() {
  byte me = _pid - 1; /* the backend has the process id 0 */
  bit queued, running, may_run;
  alive[me] = 1;
  do
  :: atomic { attempts < MAX_ATTEMPTS && !queued && !running -> /* an attempt arrives and is queued */
       attempts++;
       if
       :: owner == NONE -> queued = 1
#ifdef SILENCE_IS_RELEASE
       :: owner != NONE && owner != me && !result_published && !alive[owner] -> owner = NONE; queued = 1
#endif
       :: owner != NONE -> skip /* answered with the result, waits for it, or the outcome is unknown */
       fi
     }
#ifdef RUN_BEFORE_INTENT
  :: atomic { queued && !running -> effect_pending[me] = 1; running = 1 }
  :: atomic { queued && running && lock_holder == NONE -> owner = me; queued = 0 }
#else
#ifdef NO_LOCK
  :: atomic { queued -> may_run = (owner == NONE); queued = 0 }
  :: atomic { may_run -> owner = me; effect_pending[me] = 1; running = 1; may_run = 0 }
#else
  :: atomic { queued && lock_holder == NONE -> lock_holder = me }
  :: atomic { lock_holder == me -> /* the log is read, and the intent appended */
#ifdef NO_READ
       may_run = 1;
#else
       may_run = (owner == NONE);
#endif
       if
       :: may_run -> owner = me
       :: else -> skip
       fi;
       queued = 0;
       lock_holder = NONE
     }
  :: atomic { may_run -> effect_pending[me] = 1; running = 1; may_run = 0 }
#endif
#endif
  :: atomic { running && !effect_pending[me] && owner == me && !result_published -> result_published = 1; running = 0 }
  :: atomic { alive[me] -> /* the process ends, at any point; the system releases its lock */
       alive[me] = 0;
       if
       :: lock_holder == me -> lock_holder = NONE
       :: else -> skip
       fi;
       break
     }
  od
}
