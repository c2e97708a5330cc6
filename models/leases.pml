/* Leases on quota shares (src/quota/lease_holder, src/quota/allocator) in a small cluster, checked exhaustively by Spin. The
 * sum of the shares in force must never exceed the global limit.
 *
 * The cluster has two nodes and a global limit of two units. An allocator may be replaced by another at any time, but there
 * is never more than one (models/leader_election.pml). Messages may be lost, duplicated, delayed and reordered. Clocks have
 * bounded drift: during each lease the holder's clock may miss one tick, and during each wait the allocator's clock may count
 * one tick twice.
 *
 * Each -D removes one part of the protocol; Spin must then find that the limit is exceeded (tests/models.cmake).
 *   MARGIN=1                 the allocator waits for too short a time to cover the drift of both clocks
 *   RELEASE_BEFORE_CONFIRMED a reduced share is granted to other nodes before its node confirms the reduction
 *   STALE_GRANTS             a node accepts grants that answer earlier requests than its latest
 *   NO_TAKEOVER_WAIT         a new allocator grants shares before the grants of its predecessor have expired
 */
#ifndef MARGIN
#define MARGIN 2
#endif
#define NODES 2
#define GLOBAL_LIMIT 2
#define LEASE 1
#define EXPIRY_WAIT (LEASE + MARGIN)
#define MAX_REQUESTS 2
#define MAX_TERMS 1

/* By node. `request_age`: ticks since the node sent its latest request. */
byte held[NODES], lease_left[NODES], last_request[NODES], request_age[NODES];
bit answered[NODES], lease_tick_missed[NODES], request_tick_missed[NODES];
/* State of the allocator, by node. `earlier_grants_left`: ticks until the grants of its predecessor have certainly expired. */
byte committed[NODES], commitment_left[NODES], last_request_seen[NODES], earlier_grants_left, terms;
bit commitment_tick_doubled[NODES], earlier_tick_doubled;

chan request = [1] of { byte, byte, byte }; /* node, number, held */
chan grant = [2] of { byte, byte, byte };   /* node, number, share */

#define in_force(id) (lease_left[id] > 0 -> held[id] : 0)
#define committed_to(id) (commitment_left[id] > 0 -> committed[id] : 0)

inline handle_request(id, number, reported) {
  if
  :: number > last_request_seen[id] ->
     last_request_seen[id] = number;
     committed[id] = reported;
     commitment_left[id] = EXPIRY_WAIT;
     commitment_tick_doubled[id] = 0;
     /* chooses any share within the limit; max-min fairness in the program chooses one of these */
     granted = 0;
     do
     :: granted < reported -> granted++
     :: granted >= reported && granted < GLOBAL_LIMIT && earlier_grants_left == 0 &&
        committed_to(0) + committed_to(1) - reported + granted + 1 <= GLOBAL_LIMIT -> granted++
     :: break
     od;
#ifdef RELEASE_BEFORE_CONFIRMED
     committed[id] = granted;
#else
     committed[id] = (granted > reported -> granted : reported);
#endif
     if
     :: nfull(grant) -> grant!id, number, granted
     :: skip /* lost */
     fi
  :: else
  fi;
  granted = 0
}

active proctype allocator() {
  byte id, number, reported, granted;
  do
  :: atomic {
       request?id, number, reported ->
       handle_request(id, number, reported);
       id = 0; number = 0; reported = 0
     }
  :: atomic { /* duplicated */
       request?<id, number, reported> ->
       handle_request(id, number, reported);
       id = 0; number = 0; reported = 0
     }
  :: atomic { request?id, number, reported -> id = 0; number = 0; reported = 0 } /* lost */
  :: atomic { /* another member becomes the leader: its allocator does not know the earlier grants */
       terms < MAX_TERMS ->
       terms++;
       committed[0] = 0; committed[1] = 0;
       commitment_left[0] = 0; commitment_left[1] = 0;
       last_request_seen[0] = 0; last_request_seen[1] = 0;
#ifndef NO_TAKEOVER_WAIT
       earlier_grants_left = EXPIRY_WAIT;
#endif
       earlier_tick_doubled = 0
     }
  od
}

proctype node(byte id) {
  byte number, granted;
  do
  :: atomic {
       last_request[id] < MAX_REQUESTS && nfull(request) ->
       last_request[id]++;
       request_age[id] = 0;
       answered[id] = 0;
       request_tick_missed[id] = 0;
       request!id, last_request[id], in_force(id)
     }
  :: atomic {
       grant??eval(id), number, granted ->
       if
#ifdef STALE_GRANTS
       :: request_age[id] < LEASE ->
#else
       :: number == last_request[id] && !answered[id] && request_age[id] < LEASE ->
#endif
          answered[id] = 1;
          held[id] = granted;
          lease_left[id] = LEASE - request_age[id];
          lease_tick_missed[id] = request_tick_missed[id];
          assert(in_force(0) + in_force(1) <= GLOBAL_LIMIT)
       :: else
       fi;
       number = 0; granted = 0
     }
  od
}

inline tick_node(id) {
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
  :: lease_left[id] == 0 -> held[id] = 0
  :: else
  fi;
  if
  :: lease_left[id] == 0 -> lease_tick_missed[id] = 0
  :: else
  fi;
  if
  :: request_age[id] == LEASE -> request_tick_missed[id] = 0; answered[id] = 1
  :: else
  fi;
  if
  :: commitment_left[id] > 0 -> commitment_left[id]--
  :: commitment_left[id] > 1 && !commitment_tick_doubled[id] ->
     commitment_left[id] = commitment_left[id] - 2;
     commitment_tick_doubled[id] = 1
  :: commitment_left[id] == 0
  fi;
  if
  :: commitment_left[id] == 0 -> committed[id] = 0; commitment_tick_doubled[id] = 0
  :: else
  fi
}

active proctype clock() {
  do
  :: atomic {
       tick_node(0);
       tick_node(1);
       if
       :: earlier_grants_left > 0 -> earlier_grants_left--
       :: earlier_grants_left > 1 && !earlier_tick_doubled ->
          earlier_grants_left = earlier_grants_left - 2;
          earlier_tick_doubled = 1
       :: earlier_grants_left == 0
       fi
     }
  od
}

init { atomic { run node(0); run node(1) } }
