// What a quota is, as the operator configured it, and what a node reports of its use.
#pragma once

#include <string>

#include "quota/lease.hpp"

namespace marblewharf::quota {

// A limit that holds for the cluster as a whole and is divided among its nodes.
struct quota_definition {
  std::string name;
  double global_limit = 0;        // in the quota's unit: runs or calls in flight, or requests a second
  double guaranteed_share = 0;    // of each configured member, whether or not the leader is reachable
  double weight = 1;              // of this node in the division
  bool limits_in_flight = false;  // true: units last beyond the lease, until they end; false: a rate
  duration settling_time{};       // how long units of a lost node or an ended process may stay in flight
};

// A node's present use of one quota, in the quota's unit.
struct quota_usage {
  double in_flight = 0;  // runs or calls in flight; 0 for rates
  double demand = 0;     // what the node could use
};

}  // namespace marblewharf::quota
