/* A keyed write (src/keyed): its intent is on disk before it runs, its result before it is told; crashes at any point, and
 * repeats; checked exhaustively by Spin: the effect happens at most once, and a result that was told is told again, always.
 *
 * Each -D takes one part away; Spin must then find two effects, or two answers (tests/models.cmake).
 *   RUN_FIRST     the run begins before the intent is on disk
 *   TELL_FIRST    the answer goes out before the result is on disk
 *   RUN_IN_DOUBT  a repeat of a write that is in doubt runs it again
 *   NO_JOIN       a repeat that comes while the first one runs begins a run of its own
 */
#define REPEATS 4
#define CRASHES 3

bit intent, result;          /* on disk */
byte told_on_disk;           /* the result that stands there: the number of the run */
bit knows_intent, knows_result, runs, ended; /* in memory */
byte runs_begun, effects, callers, crashes, told;

inline answer(with) {
  assert(told == 0 || told == with);
  told = with
}

active proctype node() {
  do
  :: atomic { callers < REPEATS -> /* a caller comes */
       callers++;
       if
       :: knows_result -> answer(told_on_disk)
#ifndef NO_JOIN
       :: !knows_result && (runs || knows_intent) && !(knows_intent && !runs) -> skip /* waits for the run */
#endif
       :: !knows_result && knows_intent && !runs -> /* in doubt, after a crash */
#ifdef RUN_IN_DOUBT
            runs = 1; runs_begun++; ended = 0
#else
            skip                     /* told that it is in doubt */
#endif
       :: !knows_result && !knows_intent && !runs ->
#ifdef RUN_FIRST
            runs = 1; runs_begun++; ended = 0
#else
            intent = 1; knows_intent = 1; runs = 1; runs_begun++; ended = 0
#endif
#ifdef NO_JOIN
       :: !knows_result && runs -> runs_begun++; effects++; assert(effects <= 1)
#endif
       fi
     }
#ifdef RUN_FIRST
  :: atomic { runs && !knows_intent -> intent = 1; knows_intent = 1 }
#endif
  :: atomic { runs && !ended -> effects++; assert(effects <= 1); ended = 1 } /* the run does its work */
#ifdef TELL_FIRST
  :: atomic { runs && ended -> answer(runs_begun) }
#endif
  :: atomic { runs && ended && knows_intent -> /* the result is on disk, then told */
       result = 1; told_on_disk = runs_begun; knows_result = 1; runs = 0;
       answer(runs_begun)
     }
  :: atomic { crashes < CRASHES -> /* memory is gone; what runs may have had its effect or not */
       crashes++;
       if
       :: runs && !ended -> effects++; assert(effects <= 1)
       :: true
       fi;
#ifdef TELL_FIRST
       if
       :: told != 0 -> assert(result) /* what was told is known at the next start */
       :: else
       fi;
#endif
       runs = 0; ended = 0;
       knows_intent = intent; knows_result = result
     }
  od
}
