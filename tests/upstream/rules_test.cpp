// Tests of the rules for calls to dependencies, most of them with random call histories (rapidcheck): retry
// budget, latency quantiles, adaptive limit, calls in flight of transactions, and plan validation (ctest -L
// dependencies).
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../check.hpp"
#include "upstream/adaptive_limit.hpp"
#include "upstream/in_flight_calls.hpp"
#include "upstream/latency_estimator.hpp"
#include "upstream/plan.hpp"
#include "upstream/retry_budget.hpp"

using namespace marblewharf;
using namespace marblewharf::upstream;
using namespace std::chrono_literals;

namespace {

// On a failure rapidcheck prints its seed; RC_PARAMS=seed=N repeats a run.
void check_property(const std::string& description, const std::function<void()>& property) {
  CHECK(rc::check(description, property));
}

// Guards against more extra calls in a window than the share of first attempts and the floor allow.
void extra_calls_stay_within_budget() {
  check_property("extra calls in any window stay within share and floor", [] {
    const double share = *rc::gen::inRange(0, 50) / 100.0;
    const double floor = *rc::gen::inRange(0, 30) / 10.0;
    retry_budget budget(share, floor, 10s);
    std::vector<time_point> first_attempts, extra_calls;
    time_point now = 100s;
    const int events = *rc::gen::inRange(10, 400);
    for (int i = 0; i < events; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.on_first_attempt(now);
        first_attempts.push_back(now);
      } else if (budget.try_acquire(now)) {
        extra_calls.push_back(now);
        const auto count_within = [&](const std::vector<time_point>& times, duration window) {
          return static_cast<double>(
              std::count_if(times.begin(), times.end(), [&](time_point t) { return t > now - window; }));
        };
        RC_ASSERT(count_within(extra_calls, 9500ms) <=
                  share * count_within(first_attempts, 10s) + floor * 10 + 1e-9);
      }
    }
  });
  retry_budget low_traffic(0.1, 1);  // the floor allows a retry after a single first attempt
  low_traffic.on_first_attempt(1s);
  CHECK(low_traffic.try_acquire(1s));
}

// Guards against quantiles that differ from the exact value by more than the width of one bucket (25 %).
void quantile_error_is_within_one_bucket() {
  check_property("a quantile is off by at most one bucket", [] {
    const auto latencies_us = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(100, 1000000));
    latency_estimator estimator;
    for (const int us : latencies_us) estimator.add(std::chrono::microseconds(us));
    auto sorted = latencies_us;
    std::sort(sorted.begin(), sorted.end());
    for (const double q : {0.5, 0.9}) {
      const double exact = sorted[static_cast<std::size_t>(q * 100) - 1];
      const double estimate = std::chrono::duration<double, std::micro>(*estimator.quantile(q)).count();
      RC_ASSERT(estimate >= exact * 0.99 && estimate <= exact * 1.27);
    }
  });
  CHECK(!latency_estimator().quantile(0.5));
}

// Guards against a limit that is not decreased during a stall of the dependency, or that stays low after the
// dependency has recovered.
void limit_recovers_after_stall() {
  check_property("after a stall the limit returns to its previous value", [] {
    adaptive_limit limit(1, 64, 16);
    time_point now = 1s;
    const duration normal_latency = std::chrono::milliseconds(*rc::gen::inRange(1, 50));
    unsigned lowest = 64;
    const auto make_calls = [&](int count, duration latency, bool timed_out) {
      for (int i = 0; i < count; ++i) {
        now += latency / 8;
        limit.on_end(now, latency, limit.allowed(), timed_out);
        lowest = std::min(lowest, limit.allowed());
      }
    };
    make_calls(3000, normal_latency, false);
    const unsigned limit_before_stall = limit.allowed();
    RC_ASSERT(limit_before_stall >= 32u);
    const bool timed_out = *rc::gen::inRange(0, 2) == 1;
    make_calls(200, normal_latency * 8, timed_out);
    RC_ASSERT(lowest <= 4u);
    RC_ASSERT(!timed_out || limit.allowed() <= 4u);  // a dependency that does not answer gets few calls
    make_calls(4000, normal_latency, false);
    RC_ASSERT(limit.allowed() >= limit_before_stall * 9 / 10);
  });
}

// Guards against more calls in flight than allowed (transactions and fan-out together: the quota share;
// transactions alone: the limit of the participant), against transactions that get only some of their calls,
// and against calls that cannot be acquired again after their release.
void transaction_calls_stay_within_limits() {
  CHECK(rc::check("transactions acquire all of their calls or none, within the limits", [] {
    const std::size_t count = 3;
    std::vector<std::size_t> fan_out_calls(count);
    const std::vector<double> max_transactions = {4, 2, 3};
    in_flight_calls calls(max_transactions, [&](std::size_t d) { return fan_out_calls[d]; });
    std::vector<double> share(count, 100);
    for (std::size_t d = 0; d < count; ++d) calls.set_share(d, share[d]);
    std::vector<std::vector<std::size_t>> open;
    for (int i = *rc::gen::inRange(1, 120); i > 0; --i) {
      const auto d = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: calls.set_share(d, share[d] = *rc::gen::inRange(0, 8)); break;
        case 1: fan_out_calls[d] = static_cast<std::size_t>(*rc::gen::inRange(0, 4)); break;
        case 2:
          if (open.empty()) break;
          calls.release(open.back());
          open.pop_back();
          break;
        default: {
          const std::vector<std::size_t> participants =
              d == 2 ? std::vector<std::size_t>{0, 1, 2} : std::vector<std::size_t>{d};
          std::vector<std::size_t> before;
          bool fits = true;
          for (std::size_t p = 0; p < count; ++p) before.push_back(calls.transactions(p));
          for (const std::size_t p : participants)
            fits = fits && static_cast<double>(before[p]) + 1 <= max_transactions[p] &&
                   static_cast<double>(before[p] + fan_out_calls[p]) + 1 <= share[p];
          RC_ASSERT(calls.try_acquire(participants) == fits);
          for (const std::size_t p : participants)
            RC_ASSERT(calls.transactions(p) == before[p] + (fits ? 1 : 0));
          if (fits) open.push_back(participants);
        }
      }
      for (std::size_t p = 0; p < count; ++p)
        RC_ASSERT(calls.remaining_share(p) ==
                  std::max(0.0, share[p] - static_cast<double>(calls.transactions(p))));
    }
    const auto rejected = calls.rejected(0);
    calls.set_share(0, 0);
    RC_ASSERT(!calls.try_acquire_recovered({0}) && calls.rejected(0) == rejected);
    RC_ASSERT(!calls.try_acquire({0}) && calls.rejected(0) == rejected + 1);
  }));
}

request_plan four_parts(bool required = false) {
  request_plan plan{"kurs-liste", 3s, 50ms, {}};
  for (std::size_t i = 0; i < 4; ++i) plan.parts.push_back({"part" + std::to_string(i), i, required, {}});
  return plan;
}
std::vector<dependency_rules> four_rules(duration budget = 800ms) {
  std::vector<dependency_rules> rules(4);
  for (std::size_t i = 0; i < 4; ++i) {
    rules[i].name = "d" + std::to_string(i);
    rules[i].endpoints = 2;
    rules[i].budget = budget;
  }
  return rules;
}

// Guards against accepting plans that cannot be carried out: unknown or repeated dependencies, unreachable
// fallbacks, budgets above the latency objective, duplicate or missing parts.
void invalid_plans_are_rejected() {
  using kind = fallback::kind;
  const auto fault = [](const request_plan& plan, duration budget = 800ms) {
    try {
      check_plans({plan}, four_rules(budget));
    } catch (const plan_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  request_plan valid = four_parts();
  CHECK(fault(valid).empty());
  CHECK(
      fault(valid, 3s) ==
      "needs 3000ms for its dependencies in sequence, but the latency objective less the reserve is 2950ms");
  request_plan duplicate = valid;
  duplicate.parts[1].name = "part0";
  CHECK(fault(duplicate) == "has more than one part named part0");
  request_plan cycle = valid;
  cycle.parts[0].fallbacks = {{kind::dependency, 1, {}, ""}, {kind::dependency, 0, {}, ""}};
  CHECK(fault(cycle) == "falls back on d0, which the part already calls");
  request_plan unknown = valid;
  unknown.parts[0].dependency = 9;
  CHECK(fault(unknown) == "refers to an unknown dependency");
  request_plan unreachable = valid;
  unreachable.parts[0].fallbacks = {{kind::fixed, 0, {}, "x"}, {kind::stale, 0, 1s, ""}};
  CHECK(fault(unreachable) == "has an unreachable fallback after a fixed one, which never fails");
  request_plan empty = valid;
  empty.parts.clear();
  CHECK(fault(empty) == "has no parts");
  request_plan too_slow = valid;
  too_slow.parts[0].fallbacks = {
      {kind::dependency, 1, {}, ""}, {kind::dependency, 2, {}, ""}, {kind::dependency, 3, {}, ""}};
  CHECK(!fault(too_slow).empty());
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"retry_budget", extra_calls_stay_within_budget},
                                                   {"latency_quantiles", quantile_error_is_within_one_bucket},
                                                   {"adaptive_limit", limit_recovers_after_stall},
                                                   {"in_flight_calls", transaction_calls_stay_within_limits},
                                                   {"plans", invalid_plans_are_rejected}};
  tests.at(argv[1])();
  return 0;
}
