// What a request of a class needs from its dependencies: its parts, each with the dependency that it comes
// from and its fallbacks. Checked as a whole before anything starts.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/request.hpp"
#include "upstream/endpoint_set.hpp"

namespace marblewharf::upstream {

// How a dependency is called. The fields are named after their settings.
struct dependency_rules {
  std::string name;
  std::size_t endpoints = 1;
  duration budget = std::chrono::seconds(1);  // of one sub-request, all its attempts together
  unsigned tries = 2;                         // attempts of a sub-request, hedged requests aside
  double retry_share = 0.1;                   // retries for each first attempt
  double retry_floor = 1;                     // retries a second that are allowed anyway
  double hedge_quantile = 0.95;               // of latency, after which a call is hedged; 0: never
  double hedge_share = 0.05;                  // hedged requests for each first attempt
  double least_in_flight = 1;                 // bounds of the adaptive limit
  double most_in_flight = 64;
  std::size_t most_waiting = 256;  // sub-requests queued for a call in flight
  endpoint_rules health;
  endpoint_locality near;
};

// What replaces a sub-response that does not come. Tried in the order of the plan.
struct fallback {
  enum class kind {
    dependency,  // another dependency is called
    stale,       // the last fresh response of the same subject
    fixed,       // a text; it never fails
  };
  kind what = kind::fixed;
  std::size_t from = 0;  // dependency
  duration oldest{};     // stale: its greatest age
  std::string bytes{};   // fixed
};

// One sub-request.
struct sub_request_plan {
  std::string name;
  std::size_t from = 0;   // its own dependency
  bool required = false;  // the request fails without it
  std::vector<fallback> fallbacks;
};

struct request_plan {
  std::string request_class;
  duration latency_objective{};                      // of the class
  duration reserve = std::chrono::milliseconds(50);  // of the objective, to assemble and send the response
  std::vector<sub_request_plan> parts;
};

enum class plan_fault {
  no_part,
  duplicate_part,
  unknown_dependency,
  repeated_dependency,   // in the fallbacks of one part
  unreachable_fallback,  // behind a fixed one
  no_stale_age,
  too_slow,  // the budgets of a part's dependencies exceed the latency objective less the reserve
};

// A plan that cannot be kept. what() is for the operator.
struct plan_error : std::runtime_error {
  plan_error(plan_fault why, const std::string& text, std::size_t which_plan,
             std::optional<std::size_t> which_part)
      : std::runtime_error(text), fault(why), plan(which_plan), part(which_part) {}
  plan_fault fault;
  std::size_t plan;                 // index
  std::optional<std::size_t> part;  // index in the plan; none: the plan as a whole
};

// Throws plan_error for the first fault.
void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies);

}  // namespace marblewharf::upstream
