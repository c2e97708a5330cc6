// The operator's definition of a quota, and a node's usage of a quota.
#pragma once

#include <string>

#include "quota/lease.hpp"

namespace marblewharf::quota {

// A limit for the whole cluster that is divided among its nodes.
struct quota_definition {
  std::string name;
  double global_limit = 0;        // in the quota's unit: runs or calls in flight, or requests per second
  double guaranteed_share = 0;    // available to each configured member even if the leader is unreachable
  double weight = 1;              // weight of each node in the max-min division
  bool limits_in_flight = false;  // true: limits units in flight (they can outlast the lease); false: a rate
  duration settling_time{};       // how long units of a failed node or an ended process may stay in flight
};

// A node's current usage of one quota, in the quota's unit.
struct quota_usage {
  double in_flight = 0;  // runs or calls in flight; 0 for rates
  double demand = 0;     // what the node could use
};

}  // namespace marblewharf::quota
