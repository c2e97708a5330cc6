/* A keyed write (src/idempotency): its intent is durable before it runs, its result before anybody is answered; crashes at
 * any point, and duplicates; checked exhaustively by Spin: the effect happens at most once, and once a result was
 * answered, every later answer is the same.
 *
 * Each -D takes one part away; Spin must then find two effects, or two answers (tests/models.cmake).
 *   RUN_BEFORE_INTENT       the run begins before the intent is durable
 *   RESPOND_BEFORE_RESULT   the answer goes out before the result is durable
 *   RERUN_OUTCOME_UNKNOWN   a duplicate of a write whose outcome is unknown runs it again
 *   NO_COALESCING           a duplicate that arrives while the primary runs begins a run of its own
 */
#define REQUESTS 4
#define CRASHES 3

bit intent, result;          /* on disk */
byte result_on_disk;           /* the result: the number of its run */
bit knows_intent, knows_result, runs, ended; /* in memory */
byte runs_begun, effects, requests, crashes, answered;

inline respond(with) {
  assert(answered == 0 || answered == with);
  answered = with
}

active proctype node() {
  do
  :: atomic { requests < REQUESTS -> /* a request arrives */
       requests++;
       if
       :: knows_result -> respond(result_on_disk)
#ifndef NO_COALESCING
       :: !knows_result && (runs || knows_intent) && !(knows_intent && !runs) -> skip /* coalesced: waits for the run */
#endif
       :: !knows_result && knows_intent && !runs -> /* outcome unknown, after a crash */
#ifdef RERUN_OUTCOME_UNKNOWN
            runs = 1; runs_begun++; ended = 0
#else
            skip                     /* answered that the outcome is unknown */
#endif
       :: !knows_result && !knows_intent && !runs ->
#ifdef RUN_BEFORE_INTENT
            runs = 1; runs_begun++; ended = 0
#else
            intent = 1; knows_intent = 1; runs = 1; runs_begun++; ended = 0
#endif
#ifdef NO_COALESCING
       :: !knows_result && runs -> runs_begun++; effects++; assert(effects <= 1)
#endif
       fi
     }
#ifdef RUN_BEFORE_INTENT
  :: atomic { runs && !knows_intent -> intent = 1; knows_intent = 1 }
#endif
  :: atomic { runs && !ended -> effects++; assert(effects <= 1); ended = 1 } /* the run does its work */
#ifdef RESPOND_BEFORE_RESULT
  :: atomic { runs && ended -> respond(runs_begun) }
#endif
  :: atomic { runs && ended && knows_intent -> /* the result is durable, then answered */
       result = 1; result_on_disk = runs_begun; knows_result = 1; runs = 0;
       respond(runs_begun)
     }
  :: atomic { crashes < CRASHES -> /* memory is gone; what runs may have had its effect or not */
       crashes++;
       if
       :: runs && !ended -> effects++; assert(effects <= 1)
       :: true
       fi;
#ifdef RESPOND_BEFORE_RESULT
       if
       :: answered != 0 -> assert(result) /* what was answered is known at the next start */
       :: else
       fi;
#endif
       runs = 0; ended = 0;
       knows_intent = intent; knows_result = result
     }
  od
}
