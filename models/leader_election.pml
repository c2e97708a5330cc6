/* The chair (src/budgets/chair): three voters, two of them candidates, checked exhaustively by Spin: never do two lead.
 *
 * Messages are lost, copied, late and overtaken; a voter may lose its memory at any moment and then keeps still; of each
 * lease a candidate's clock may miss one tick, of each promise a voter's may count one twice.
 *
 * Each -D takes one part away; Spin must then find two that lead (tests/models.cmake).
 *   MARGIN=1    promises that cover less than what both clocks may be wrong by
 *   FROM_ANSWER the candidate counts its lease from the promise and not from the ask
 *   NO_SILENCE  a voter that lost its memory promises at once
 *   MINORITY    one promise is enough
 */
#ifndef MARGIN
#define MARGIN 2
#endif
#define VOTERS 3
#define LEASE 1
#define WAIT (LEASE + MARGIN)
#define ASKS 2
#ifdef MINORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif

/* voters: 0 is nobody, else the candidate's number + 1 */
byte promised[VOTERS], bound[VOTERS];
bit hurried[VOTERS], forgot;
/* candidates */
byte asked[2], age[2], leads[2], yes[2]; /* yes: the voters' bits, for the latest ask */
bit missed[2], missed_ask[2]; /* in the lease; in the time since the ask */

chan ask = [2] of { byte, byte, byte };     /* candidate, number, voter */
chan promise = [1] of { byte, byte, byte };

#define votes(c) ((yes[c] & 1) + ((yes[c] >> 1) & 1) + ((yes[c] >> 2) & 1))
#define may(v, c) (promised[v] == c + 1 || bound[v] == 0)

inline count(c) {
  if
  :: votes(c) >= ENOUGH ->
#ifdef FROM_ANSWER
     leads[c] = LEASE;
#else
     if
     :: age[c] < LEASE && LEASE - age[c] >= leads[c] -> leads[c] = LEASE - age[c]; missed[c] = missed_ask[c]
     :: else
     fi;
#endif
     assert(leads[0] == 0 || leads[1] == 0)
  :: else
  fi
}

proctype candidate(byte c) {
  byte n, v;
  do
  :: atomic { /* asks the others, and itself */
       asked[c] < ASKS ->
       asked[c]++;
       age[c] = 0;
       missed_ask[c] = 0;
       yes[c] = 0;
       if
       :: may(c, c) -> promised[c] = c + 1; bound[c] = WAIT; hurried[c] = 0; yes[c] = 1 << c
       :: else
       fi;
       count(c);
       if
       :: nfull(ask) -> ask!c, asked[c], 1 - c
       :: skip
       fi;
       if
       :: nfull(ask) -> ask!c, asked[c], 2
       :: skip
       fi
     }
  :: atomic {
       promise??eval(c), n, v ->
       if
       :: n == asked[c] -> yes[c] = yes[c] | (1 << v); count(c)
       :: else
       fi;
       n = 0; v = 0
     }
  od
}

inline hear(c, n, v) {
  if
  :: may(v, c) ->
     promised[v] = c + 1;
     bound[v] = WAIT;
     hurried[v] = 0;
     if
     :: nfull(promise) -> promise!c, n, v
     :: skip
     fi
  :: else
  fi;
  c = 0; n = 0; v = 0
}

active proctype voters() {
  byte c, n, v;
  do
  :: atomic { ask?c, n, v -> hear(c, n, v) }
  :: atomic { ask?<c, n, v> -> hear(c, n, v) } /* a copy follows */
  :: atomic { ask?c, n, v -> c = 0; n = 0; v = 0 }
  :: atomic { /* the third voter starts anew and knows nothing of what it promised */
       !forgot ->
       forgot = 1;
       promised[2] = 0;
#ifdef NO_SILENCE
       bound[2] = 0
#else
       bound[2] = WAIT; hurried[2] = 0
#endif
     }
  od
}

inline pass_candidate(c) {
  if
  :: if
     :: age[c] < LEASE -> age[c]++
     :: else
     fi;
     if
     :: leads[c] > 0 -> leads[c]--
     :: else
     fi
  :: (leads[c] > 0 || age[c] < LEASE) && (leads[c] == 0 || !missed[c]) && (age[c] == LEASE || !missed_ask[c]) ->
     missed[c] = 1;
     missed_ask[c] = 1
  fi;
  /* what no longer matters is alike in all states */
  if
  :: leads[c] == 0 -> missed[c] = 0
  :: else
  fi;
  if
  :: age[c] == LEASE -> missed_ask[c] = 0
  :: else
  fi;
#ifndef FROM_ANSWER
  if
  :: age[c] == LEASE -> yes[c] = 0
  :: else
  fi
#endif
}

inline pass_voter(v) {
  if
  :: bound[v] > 0 -> bound[v]--
  :: bound[v] > 1 && !hurried[v] -> bound[v] = bound[v] - 2; hurried[v] = 1
  :: bound[v] == 0
  fi;
  if
  :: bound[v] == 0 -> promised[v] = 0; hurried[v] = 0
  :: else
  fi
}

active proctype time() {
  do
  :: atomic {
       pass_candidate(0);
       pass_candidate(1);
       pass_voter(0);
       pass_voter(1);
       pass_voter(2)
     }
  od
}

init { atomic { run candidate(0); run candidate(1) } }
