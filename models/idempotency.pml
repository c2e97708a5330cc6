/* A keyed write (src/idempotency), checked exhaustively by Spin, with duplicates and with crashes at any point. The intent is
 * durable before the run starts, and the result is durable before it is answered. The write must take effect at most once, and
 * after a result was answered, every later answer must be the same.
 *
 * Each -D removes one part of the protocol; Spin must then find two effects or two different answers (tests/models.cmake).
 *   RUN_BEFORE_INTENT       the run starts before the intent is durable
 *   RESPOND_BEFORE_RESULT   the answer is sent before the result is durable
 *   RERUN_OUTCOME_UNKNOWN   a duplicate of a write whose outcome is unknown runs the write again
 *   NO_COALESCING           a duplicate that arrives while the primary runs starts a run of its own
 */
#define MAX_REQUESTS 4
#define MAX_CRASHES 3

bit intent_durable, result_durable; /* on disk */
byte result_run;                    /* on disk: the number of the run that produced the result */
bit knows_intent, knows_result, running, run_ended; /* in memory */
byte runs_started, effects, requests, crashes, answered_run;

inline respond(run_number) {
  assert(answered_run == 0 || answered_run == run_number);
  answered_run = run_number
}

active proctype node() {
  do
  :: atomic { requests < MAX_REQUESTS -> /* a request arrives */
       requests++;
       if
       :: knows_result -> respond(result_run)
#ifndef NO_COALESCING
       :: !knows_result && (running || knows_intent) && !(knows_intent && !running) -> skip /* coalesced with the run */
#endif
       :: !knows_result && knows_intent && !running -> /* the outcome is unknown after a crash */
#ifdef RERUN_OUTCOME_UNKNOWN
            running = 1; runs_started++; run_ended = 0
#else
            skip                     /* the answer is that the outcome is unknown */
#endif
       :: !knows_result && !knows_intent && !running ->
#ifdef RUN_BEFORE_INTENT
            running = 1; runs_started++; run_ended = 0
#else
            intent_durable = 1; knows_intent = 1; running = 1; runs_started++; run_ended = 0
#endif
#ifdef NO_COALESCING
       :: !knows_result && running -> runs_started++; effects++; assert(effects <= 1)
#endif
       fi
     }
#ifdef RUN_BEFORE_INTENT
  :: atomic { running && !knows_intent -> intent_durable = 1; knows_intent = 1 }
#endif
  :: atomic { running && !run_ended -> effects++; assert(effects <= 1); run_ended = 1 } /* the run takes effect */
#ifdef RESPOND_BEFORE_RESULT
  :: atomic { running && run_ended -> respond(runs_started) }
#endif
  :: atomic { running && run_ended && knows_intent -> /* the result becomes durable and is then answered */
       result_durable = 1; result_run = runs_started; knows_result = 1; running = 0;
       respond(runs_started)
     }
  :: atomic { crashes < MAX_CRASHES -> /* a crash loses the state in memory; a run in progress may have taken effect */
       crashes++;
       if
       :: running && !run_ended -> effects++; assert(effects <= 1)
       :: true
       fi;
#ifdef RESPOND_BEFORE_RESULT
       if
       :: answered_run != 0 -> assert(result_durable) /* an answered result must be known after the restart */
       :: else
       fi;
#endif
       running = 0; run_ended = 0;
       knows_intent = intent_durable; knows_result = result_durable
     }
  od
}
