// What a request of a class needs from others: its parts, the dependency that each comes from, and what
// stands in for one that does not come. Checked as a whole before anything starts.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/request.hpp"
#include "upstream/endpoint_set.hpp"

namespace marblewharf::upstream {

// A dependency, and how it is called.
struct dependency_rules {
  std::string name;
  std::size_t endpoints = 1;
  duration budget = std::chrono::seconds(1);  // of one request for it, all its attempts together
  unsigned tries = 2;                         // first call and further attempts; second copies aside
  double retry_share = 0.1;                   // further attempts for each first call
  double retry_floor = 1;                     // a second, whatever comes
  double hedge_quantile = 0.95;               // of latency: then a second copy is sent; 0 = never
  double hedge_share = 0.05;                  // second copies for each first call
  double least_in_flight = 1, most_in_flight = 64;
  std::size_t most_waiting = 256;  // for room in flight
  endpoint_rules health;
  nearness near;  // of its endpoints
};

// What stands in, the first that is to be had.
struct fallback {
  enum class kind { dependency, stale, fixed };
  kind what = kind::fixed;
  std::size_t from = 0;  // dependency
  duration oldest{};     // stale: the last good part of the same subject, no older than this
  std::string bytes{};   // fixed
};

struct part_plan {
  std::string name;
  std::size_t from = 0;   // dependency
  bool required = false;  // without it the answer is a failure
  std::vector<fallback> stand_ins;
};

struct request_plan {
  std::string request_class;
  duration latency_objective{};                      // of the class
  duration reserve = std::chrono::milliseconds(50);  // of it, to compose and send the answer
  std::vector<part_plan> parts;
};

// `at` tells whoever read the plan where the fault stands: the plan, and the part in it or -1.
struct bad_plan : std::runtime_error {
  bad_plan(const std::string& why, std::size_t which, int part)
      : std::runtime_error(why), plan(which), part_at(part) {}
  std::size_t plan;
  int part_at;
};

// Throws bad_plan for one that could not be kept: no parts, a name twice, a dependency twice in one chain,
// budgets of a chain that cannot all pass within the aim less the reserve.
void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies);

}  // namespace marblewharf::upstream
