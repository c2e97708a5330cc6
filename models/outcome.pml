/* The outcome of one request that must take effect at most once (src/outcome), checked exhaustively by Spin. A node sends the
 * start to one of two servers and hears of it through connections that may break, with the start arrived or lost. A stop may
 * have no effect and is then answered by silence. A server may restart, which ends its run, before or after the effect. The node
 * may crash or be replaced: its successor knows the durable intent, which names the server. All of this may happen in any order.
 * A request whose effect is concluded to have failed before its start may be sent again, to any server.
 *
 * Each -D removes one rule of the table of transitions; Spin must then find two effects (tests/models.cmake).
 *   LOST_IS_NOT_STARTED      a connection that breaks behind a start proves that the start was lost
 *   SILENCE_IS_NOT_STARTED   a stop that is answered by silence proves that there is no run
 *   ANY_SERVER               that a server does not know the request proves that it did not run at another server
 *   RESTART_IS_NOT_STARTED   the restart of the server proves that the run had no effect
 *   CRASH_IS_NOT_STARTED     a successor takes an intent without an end as one that was never sent
 */
#define SERVERS 2
#define MAX_STARTS 3
#define MAX_REPLACEMENTS 2
#define MAX_RESTARTS 2
#define NONE 255

mtype = { not_started, in_flight, running, completed, unknown };

mtype state = not_started;        /* what the node knows; failed_before_effect is not_started here: the key is free */
byte recipient = NONE;            /* the server that the durable intent names */
bit connected;                    /* the connection on which the start was sent */

bit start_on_the_way[SERVERS];    /* sent, and neither arrived nor lost */
bit run_open[SERVERS];            /* the start has arrived; the run has not ended */
bit effect_known[SERVERS];        /* the server remembers the effect; a restart keeps it */
byte effects, starts, replacements, restarts;

/* What a server does by itself. */
active proctype environment() {
  byte s;
  do
  :: atomic { starts <= MAX_STARTS ->
       if
       :: s = 0
       :: s = 1
       fi;
       if
       :: start_on_the_way[s] -> start_on_the_way[s] = 0; run_open[s] = 1 /* it arrives */
       :: start_on_the_way[s] && !connected -> start_on_the_way[s] = 0    /* it was lost with its connection */
       :: run_open[s] && !effect_known[s] -> /* the run takes effect */
            effect_known[s] = 1;
            effects++;
            assert(effects <= 1)
       :: run_open[s] && restarts < MAX_RESTARTS -> /* the server restarts; its run ends without a report */
            restarts++;
            run_open[s] = 0;
            if
            :: state == in_flight || state == running ->
#ifdef RESTART_IS_NOT_STARTED
                 if
                 :: recipient == s -> state = not_started
                 :: else -> skip
                 fi
#else
                 if
                 :: recipient == s -> state = unknown
                 :: else -> skip
                 fi
#endif
            :: else -> skip
            fi
       :: else -> skip
       fi
     }
  od
}

/* What the node does and hears. */
active proctype node() {
  byte asked;
end:
  do
  :: atomic { state == not_started && starts < MAX_STARTS -> /* the intent is durable before the start is sent */
       starts++;
       if
       :: recipient = 0
       :: recipient = 1
       fi;
       connected = 1;
       start_on_the_way[recipient] = 1;
       state = in_flight
     }
  :: atomic { state == in_flight && connected && !start_on_the_way[recipient] && run_open[recipient] -> state = running }
  :: atomic { (state == in_flight || state == running) && connected -> /* the connection breaks */
       connected = 0;
       if
       :: state == in_flight ->
#ifdef LOST_IS_NOT_STARTED
            state = not_started
#else
            state = unknown
#endif
       :: else -> skip /* the run goes on and reports its end on the next connection */
       fi
     }
  :: atomic { state == unknown -> /* a stop is executed and answered by silence: there is no run, or it goes on */
#ifdef SILENCE_IS_NOT_STARTED
       state = not_started
#else
       skip
#endif
     }
  :: atomic { state == unknown && run_open[recipient] -> state = running } /* a probe has paused the run */
  :: atomic { (state == in_flight || state == running || state == unknown) && effect_known[recipient] -> /* its end is reported */
       run_open[recipient] = 0;
       state = completed
     }
  :: atomic { state == unknown -> /* a server is asked; it answers that it does not know the request and will not run it */
#ifdef ANY_SERVER
       if
       :: asked = 0
       :: asked = 1
       fi;
#else
       asked = recipient;
#endif
       if
       :: !effect_known[asked] && !run_open[asked] && !start_on_the_way[asked] -> state = not_started
       :: else -> skip
       fi
     }
  :: atomic { replacements < MAX_REPLACEMENTS && state != not_started && state != completed -> /* crash, or a replacement */
       replacements++;
       connected = 0;
#ifdef CRASH_IS_NOT_STARTED
       state = not_started
#else
       state = unknown
#endif
     }
  od
}
