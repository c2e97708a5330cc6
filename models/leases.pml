/* The leases on shares (src/budgets/holder, src/budgets/allocator), for a small fleet, checked exhaustively by Spin.
 *
 * Two nodes, a whole of two units, allocators that replace each other at any moment (models/chair.pml has that there are
 * never two), messages that are lost, copied, late and overtaken, and clocks within their bound: of each lease the holder's
 * clock may miss one tick, and of each wait the allocator's may count one twice.
 *
 * Each -D below takes one part of the protocol away; Spin must then find the whole exceeded (tests/models.cmake).
 *   MARGIN=1    waits that cover less than what both clocks may be wrong by
 *   NO_CONFIRM  a share taken back is free before its node says so
 *   ANY_ANSWER  answers to requests before the latest are taken
 *   NO_WAIT     a new allocator grants before the last one's grants have run out
 */
#ifndef MARGIN
#define MARGIN 2
#endif
#define NODES 2
#define WHOLE 2
#define LEASE 1
#define WAIT (LEASE + MARGIN)
#define ASKS 2
#define TERMS 1

/* nodes */
byte held[NODES], lease[NODES], asked[NODES], age[NODES];
bit answered[NODES], missed[NODES], missed_ask[NODES]; /* missed: in the lease; in the time since the ask */
/* the allocator's book */
byte committed[NODES], until[NODES], last[NODES], unknown, terms;
bit hurried[NODES], hurried_unknown;

chan request = [1] of { byte, byte, byte }; /* node, number, held */
chan grant = [2] of { byte, byte, byte };   /* node, number, share */

#define in_force(i) (lease[i] > 0 -> held[i] : 0)
#define booked(i) (until[i] > 0 -> committed[i] : 0)

inline answer(i, n, h) {
  if
  :: n > last[i] ->
     last[i] = n;
     committed[i] = h;
     until[i] = WAIT;
     hurried[i] = 0;
     /* any share that the book allows: max-min fairness picks one of them */
     g = 0;
     do
     :: g < h -> g++
     :: g >= h && g < WHOLE && unknown == 0 && booked(0) + booked(1) - h + g + 1 <= WHOLE -> g++
     :: break
     od;
#ifdef NO_CONFIRM
     committed[i] = g;
#else
     committed[i] = (g > h -> g : h);
#endif
     if
     :: nfull(grant) -> grant!i, n, g
     :: skip /* lost */
     fi
  :: else
  fi;
  g = 0
}

active proctype allocator() {
  byte i, n, h, g;
  do
  :: atomic { request?i, n, h -> answer(i, n, h); i = 0; n = 0; h = 0 }
  :: atomic { request?<i, n, h> -> answer(i, n, h); i = 0; n = 0; h = 0 } /* a copy follows */
  :: atomic { request?i, n, h -> i = 0; n = 0; h = 0 }                    /* lost */
  :: atomic { /* another takes the chair: its book is empty */
       terms < TERMS ->
       terms++;
       committed[0] = 0; committed[1] = 0;
       until[0] = 0; until[1] = 0;
       last[0] = 0; last[1] = 0;
#ifndef NO_WAIT
       unknown = WAIT;
#endif
       hurried_unknown = 0
     }
  od
}

proctype node(byte i) {
  byte n, g;
  do
  :: atomic {
       asked[i] < ASKS && nfull(request) ->
       asked[i]++;
       age[i] = 0;
       answered[i] = 0;
       missed_ask[i] = 0;
       request!i, asked[i], in_force(i)
     }
  :: atomic {
       grant??eval(i), n, g ->
       if
#ifdef ANY_ANSWER
       :: age[i] < LEASE ->
#else
       :: n == asked[i] && !answered[i] && age[i] < LEASE ->
#endif
          answered[i] = 1;
          held[i] = g;
          lease[i] = LEASE - age[i];
          missed[i] = missed_ask[i];
          assert(in_force(0) + in_force(1) <= WHOLE)
       :: else
       fi;
       n = 0; g = 0
     }
  od
}

inline pass(i) {
  if
  :: if
     :: age[i] < LEASE -> age[i]++
     :: else
     fi;
     if
     :: lease[i] > 0 -> lease[i]--
     :: else
     fi
  :: (lease[i] > 0 || age[i] < LEASE) && (lease[i] == 0 || !missed[i]) && (age[i] == LEASE || !missed_ask[i]) ->
     missed[i] = 1;
     missed_ask[i] = 1
  fi;
  /* what no longer matters is alike in all states */
  if
  :: lease[i] == 0 -> held[i] = 0
  :: else
  fi;
  if
  :: lease[i] == 0 -> missed[i] = 0
  :: else
  fi;
  if
  :: age[i] == LEASE -> missed_ask[i] = 0; answered[i] = 1
  :: else
  fi;
  if
  :: until[i] > 0 -> until[i]--
  :: until[i] > 1 && !hurried[i] -> until[i] = until[i] - 2; hurried[i] = 1
  :: until[i] == 0
  fi;
  if
  :: until[i] == 0 -> committed[i] = 0; hurried[i] = 0
  :: else
  fi
}

active proctype time() {
  do
  :: atomic {
       pass(0);
       pass(1);
       if
       :: unknown > 0 -> unknown--
       :: unknown > 1 && !hurried_unknown -> unknown = unknown - 2; hurried_unknown = 1
       :: unknown == 0
       fi
     }
  od
}

init { atomic { run node(0); run node(1) } }
