// The plan of a request class: the parts of the response, each with its dependency and its fallbacks. Plans
// are validated at start-up.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/request.hpp"
#include "upstream/endpoint_set.hpp"

namespace marblewharf::upstream {

// Rules for calls to one dependency. The fields are named after their settings.
struct dependency_rules {
  std::string name;
  std::size_t endpoints = 1;
  duration budget = std::chrono::seconds(1);  // time for one sub-request, including all of its attempts
  unsigned tries = 2;                         // maximum attempts of a sub-request, without hedged requests
  double retry_share = 0.1;                   // retry budget: retries per first attempt
  double retry_floor = 1;                     // retry budget: retries per second that are always allowed
  double hedge_quantile = 0.95;               // latency quantile after which a call is hedged; 0: never
  double hedge_share = 0.05;                  // hedge budget: hedged requests per first attempt
  double least_in_flight = 1;                 // minimum of the adaptive limit
  double most_in_flight = 64;                 // maximum of the adaptive limit
  std::size_t most_waiting = 256;             // maximum number of sub-requests queued for a call
  endpoint_rules health;                      // rules for ejecting failing endpoints
  endpoint_locality near;
};

// Replacement for a sub-response that its dependency does not deliver. Fallbacks are tried in the order of
// the plan.
struct fallback {
  enum class kind {
    dependency,  // call another dependency
    stale,       // use the last fresh response for the same subject
    fixed,       // use a fixed text, which is always available
  };
  kind type = kind::fixed;
  std::size_t dependency = 0;    // dependency: its index
  duration max_age{};            // stale: maximum age
  std::string fixed_response{};  // fixed: the text
};

// The plan of one sub-request, which provides one part of the response.
struct sub_request_plan {
  std::string name;
  std::size_t dependency = 0;  // index of its own dependency
  bool required = false;       // the request fails if this part is missing
  std::vector<fallback> fallbacks;
  bool shared = false;  // equal for all tenants: a stale response may be that of another tenant
};

struct request_plan {
  std::string request_class;
  duration latency_objective{};                      // of the class
  duration reserve = std::chrono::milliseconds(50);  // for assembling and sending the response
  std::vector<sub_request_plan> parts;
};

enum class plan_fault {
  no_part,
  duplicate_part,
  unknown_dependency,
  repeated_dependency,   // a part uses the same dependency more than once
  unreachable_fallback,  // a fallback follows a fixed one
  no_stale_age,          // a stale fallback without a positive maximum age
  too_slow,              // the budgets of a part's dependencies exceed the latency objective less the reserve
};

// Thrown for an invalid plan. what() describes the fault for the operator.
struct plan_error : std::runtime_error {
  plan_error(plan_fault cause, const std::string& text, std::size_t plan_index,
             std::optional<std::size_t> part_index)
      : std::runtime_error(text), fault(cause), plan(plan_index), part(part_index) {}
  plan_fault fault;
  std::size_t plan;                 // index
  std::optional<std::size_t> part;  // index in the plan; none: the fault concerns the whole plan
};

// Throws plan_error for the first fault that is found.
void check_plans(const std::vector<request_plan>& plans, const std::vector<dependency_rules>& dependencies);

}  // namespace marblewharf::upstream
