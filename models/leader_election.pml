/* Leader election (src/quota/leader_election), checked exhaustively by Spin: three voters, two of which are candidates. Two
 * candidates must never hold the leader lease at the same time.
 *
 * Messages may be lost, duplicated, delayed and reordered. One voter may restart once, at any time; it then has lost its state
 * and grants no vote for the validity period of a vote. Clocks have bounded drift: during each lease the candidate's clock may
 * miss one tick, and during each vote the voter's clock may count one tick twice.
 *
 * Each -D removes one part of the protocol; Spin must then find two leaders (tests/models.cmake).
 *   MARGIN=1          votes are valid for too short a time to cover the drift of both clocks
 *   LEASE_FROM_GRANT  the candidate's lease starts at the vote instead of at its request
 *   NO_RESTART_WAIT   a restarted voter grants votes immediately
 *   MINORITY          one vote is enough
 */
#ifndef MARGIN
#define MARGIN 2
#endif
#define VOTERS 3
#define LEASE 1
#define VOTE_DURATION (LEASE + MARGIN)
#define MAX_REQUESTS 2
#ifdef MINORITY
#define VOTES_NEEDED 1
#else
#define VOTES_NEEDED 2
#endif

/* By voter. `voted_for`: 0 for no vote, otherwise the candidate's index + 1. `vote_left`: ticks until the vote expires. */
byte voted_for[VOTERS], vote_left[VOTERS];
bit vote_tick_doubled[VOTERS], restarted;
/* By candidate. `granted_by`: one bit per voter that granted the latest request. `request_age`: ticks since that request. */
byte last_request[2], request_age[2], lease_left[2], granted_by[2];
bit lease_tick_missed[2], request_tick_missed[2];

chan vote_request = [2] of { byte, byte, byte }; /* candidate, number, voter */
chan vote_granted = [1] of { byte, byte, byte }; /* candidate, number, voter */

#define vote_count(id) ((granted_by[id] & 1) + ((granted_by[id] >> 1) & 1) + ((granted_by[id] >> 2) & 1))
#define may_vote_for(voter, id) (voted_for[voter] == id + 1 || vote_left[voter] == 0)

inline count_votes(id) {
  if
  :: vote_count(id) >= VOTES_NEEDED ->
#ifdef LEASE_FROM_GRANT
     lease_left[id] = LEASE;
#else
     if
     :: request_age[id] < LEASE && LEASE - request_age[id] >= lease_left[id] ->
        lease_left[id] = LEASE - request_age[id];
        lease_tick_missed[id] = request_tick_missed[id]
     :: else
     fi;
#endif
     assert(lease_left[0] == 0 || lease_left[1] == 0)
  :: else
  fi
}

proctype candidate(byte id) {
  byte number, voter;
  do
  :: atomic { /* the candidate votes for itself and requests the votes of the others */
       last_request[id] < MAX_REQUESTS ->
       last_request[id]++;
       request_age[id] = 0;
       request_tick_missed[id] = 0;
       granted_by[id] = 0;
       if
       :: may_vote_for(id, id) ->
          voted_for[id] = id + 1;
          vote_left[id] = VOTE_DURATION;
          vote_tick_doubled[id] = 0;
          granted_by[id] = 1 << id
       :: else
       fi;
       count_votes(id);
       if
       :: nfull(vote_request) -> vote_request!id, last_request[id], 1 - id
       :: skip
       fi;
       if
       :: nfull(vote_request) -> vote_request!id, last_request[id], 2
       :: skip
       fi
     }
  :: atomic {
       vote_granted??eval(id), number, voter ->
       if
       :: number == last_request[id] ->
          granted_by[id] = granted_by[id] | (1 << voter);
          count_votes(id)
       :: else
       fi;
       number = 0; voter = 0
     }
  od
}

inline handle_request(id, number, voter) {
  if
  :: may_vote_for(voter, id) ->
     voted_for[voter] = id + 1;
     vote_left[voter] = VOTE_DURATION;
     vote_tick_doubled[voter] = 0;
     if
     :: nfull(vote_granted) -> vote_granted!id, number, voter
     :: skip
     fi
  :: else
  fi;
  id = 0; number = 0; voter = 0
}

active proctype voters() {
  byte id, number, voter;
  do
  :: atomic { vote_request?id, number, voter -> handle_request(id, number, voter) }
  :: atomic { vote_request?<id, number, voter> -> handle_request(id, number, voter) } /* duplicated */
  :: atomic { vote_request?id, number, voter -> id = 0; number = 0; voter = 0 } /* lost */
  :: atomic { /* the third voter restarts and has lost its earlier vote */
       !restarted ->
       restarted = 1;
       voted_for[2] = 0;
#ifdef NO_RESTART_WAIT
       vote_left[2] = 0
#else
       vote_left[2] = VOTE_DURATION; vote_tick_doubled[2] = 0
#endif
     }
  od
}

inline tick_candidate(id) {
  if
  :: if
     :: request_age[id] < LEASE -> request_age[id]++
     :: else
     fi;
     if
     :: lease_left[id] > 0 -> lease_left[id]--
     :: else
     fi
  :: (lease_left[id] > 0 || request_age[id] < LEASE) &&
     (lease_left[id] == 0 || !lease_tick_missed[id]) &&
     (request_age[id] == LEASE || !request_tick_missed[id]) ->
     lease_tick_missed[id] = 1;
     request_tick_missed[id] = 1
  fi;
  /* Resets variables that have no further effect, which reduces the number of states. */
  if
  :: lease_left[id] == 0 -> lease_tick_missed[id] = 0
  :: else
  fi;
  if
  :: request_age[id] == LEASE -> request_tick_missed[id] = 0
  :: else
  fi;
#ifndef LEASE_FROM_GRANT
  if
  :: request_age[id] == LEASE -> granted_by[id] = 0
  :: else
  fi
#endif
}

inline tick_voter(voter) {
  if
  :: vote_left[voter] > 0 -> vote_left[voter]--
  :: vote_left[voter] > 1 && !vote_tick_doubled[voter] ->
     vote_left[voter] = vote_left[voter] - 2;
     vote_tick_doubled[voter] = 1
  :: vote_left[voter] == 0
  fi;
  if
  :: vote_left[voter] == 0 -> voted_for[voter] = 0; vote_tick_doubled[voter] = 0
  :: else
  fi
}

active proctype clock() {
  do
  :: atomic {
       tick_candidate(0);
       tick_candidate(1);
       tick_voter(0);
       tick_voter(1);
       tick_voter(2)
     }
  od
}

init { atomic { run candidate(0); run candidate(1) } }
