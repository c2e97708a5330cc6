// The rules on calls to dependencies under random histories (rapidcheck): budgets, limits, plans (ctest -L
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

// rapidcheck prints its seed (RC_PARAMS=seed=N plays one again).
void holds(const std::string& what, const std::function<void()>& property) {
  CHECK(rc::check(what, property));
}

void retry_budget_is_kept() {
  holds("extras within any window stay within share and floor", [] {
    const double share = *rc::gen::inRange(0, 50) / 100.0;
    const double floor = *rc::gen::inRange(0, 30) / 10.0;
    retry_budget cap(share, floor, 10s);
    std::vector<time_point> firsts, extras;
    time_point now = 100s;
    const int events = *rc::gen::inRange(10, 400);
    for (int i = 0; i < events; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) == 0) {
        cap.on_first_attempt(now);
        firsts.push_back(now);
      } else if (cap.try_take(now)) {
        extras.push_back(now);
        const auto within = [&](const std::vector<time_point>& all, duration d) {
          return static_cast<double>(
              std::count_if(all.begin(), all.end(), [&](time_point t) { return t > now - d; }));
        };
        RC_ASSERT(within(extras, 9500ms) <= share * within(firsts, 10s) + floor * 10 + 1e-9);
      }
    }
  });
  retry_budget rare(0.1, 1);  // rare traffic has the floor
  rare.on_first_attempt(1s);
  CHECK(rare.try_take(1s));
}

void quantiles_are_near() {
  holds("a quantile is off by one bucket at most", [] {
    const auto times = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(100, 1000000));
    latency_estimator l;
    for (const int us : times) l.add(std::chrono::microseconds(us));
    auto sorted = times;
    std::sort(sorted.begin(), sorted.end());
    for (const double q : {0.5, 0.9}) {
      const double exact = sorted[static_cast<std::size_t>(q * 100) - 1];
      const double got = std::chrono::duration<double, std::micro>(*l.quantile(q)).count();
      RC_ASSERT(got >= exact * 0.99 && got <= exact * 1.27);
    }
  });
  CHECK(!latency_estimator().quantile(0.5));
}

// A stall cuts the limit, and it comes back to where it was when the dependency does.
void the_limit_returns() {
  holds("after a stall the limit is what it was before", [] {
    adaptive_limit limit(1, 64, 16);
    time_point now = 1s;
    const duration calm = std::chrono::milliseconds(*rc::gen::inRange(1, 50));
    unsigned lowest = 64;
    const auto calls = [&](int n, duration took, bool late) {
      for (int i = 0; i < n; ++i) {
        now += took / 8;
        limit.on_end(now, took, limit.allowed(), late);
        lowest = std::min(lowest, limit.allowed());
      }
    };
    calls(3000, calm, false);
    const unsigned before = limit.allowed();
    RC_ASSERT(before >= 32u);
    const bool late = *rc::gen::inRange(0, 2) == 1;
    calls(200, calm * 8, late);
    RC_ASSERT(lowest <= 4u);
    RC_ASSERT(!late || limit.allowed() <= 4u);  // what is not even heard of is met by few
    calls(4000, calm, false);
    RC_ASSERT(limit.allowed() >= before * 9 / 10);
  });
}

// Transactions and fan-out together never have more than the share, transactions alone never more than the
// participant takes, a transaction has all of its calls or none, and whatever is released can be taken again.
void calls_are_bounded() {
  CHECK(rc::check("room at participants", [] {
    const std::size_t n = 3;
    std::vector<std::size_t> gathering(n);
    const std::vector<double> most = {4, 2, 3};
    in_flight_calls book(most, [&](std::size_t d) { return gathering[d]; });
    std::vector<double> share(n, 100);
    for (std::size_t d = 0; d < n; ++d) book.set_share(d, share[d]);
    std::vector<std::vector<std::size_t>> open;
    for (int i = *rc::gen::inRange(1, 120); i > 0; --i) {
      const auto d = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: book.set_share(d, share[d] = *rc::gen::inRange(0, 8)); break;
        case 1: gathering[d] = static_cast<std::size_t>(*rc::gen::inRange(0, 4)); break;
        case 2:
          if (open.empty()) break;
          book.release(open.back());
          open.pop_back();
          break;
        default: {
          const std::vector<std::size_t> wants =
              d == 2 ? std::vector<std::size_t>{0, 1, 2} : std::vector<std::size_t>{d};
          std::vector<std::size_t> before;
          bool fits = true;
          for (std::size_t p = 0; p < n; ++p) before.push_back(book.transactions(p));
          for (const std::size_t p : wants)
            fits = fits && static_cast<double>(before[p]) + 1 <= most[p] &&
                   static_cast<double>(before[p] + gathering[p]) + 1 <= share[p];
          RC_ASSERT(book.try_take(wants) == fits);
          for (const std::size_t p : wants) RC_ASSERT(book.transactions(p) == before[p] + (fits ? 1 : 0));
          if (fits) open.push_back(wants);
        }
      }
      for (std::size_t p = 0; p < n; ++p)
        RC_ASSERT(book.remaining_share(p) ==
                  std::max(0.0, share[p] - static_cast<double>(book.transactions(p))));
    }
    const auto turned_away = book.rejected(0);
    book.set_share(0, 0);
    RC_ASSERT(!book.try_take_recovered({0}) && book.rejected(0) == turned_away);
    RC_ASSERT(!book.try_take({0}) && book.rejected(0) == turned_away + 1);
  }));
}

request_plan four_parts(bool required = false) {
  request_plan p{"kurs-liste", 3s, 50ms, {}};
  for (std::size_t i = 0; i < 4; ++i) p.parts.push_back({"part" + std::to_string(i), i, required, {}});
  return p;
}
std::vector<dependency_rules> four_rules(duration budget = 800ms) {
  std::vector<dependency_rules> r(4);
  for (std::size_t i = 0; i < 4; ++i) {
    r[i].name = "d" + std::to_string(i);
    r[i].endpoints = 2;
    r[i].budget = budget;
  }
  return r;
}

void plans_that_could_not_be_kept() {
  using kind = fallback::kind;
  const auto fault = [](const request_plan& p, duration budget = 800ms) {
    try {
      check_plans({p}, four_rules(budget));
    } catch (const plan_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  request_plan p = four_parts();
  CHECK(fault(p).empty());
  CHECK(fault(p, 3s) == "needs 3000ms one after the other, and the aim less the reserve is 2950ms");
  request_plan twice = p;
  twice.parts[1].name = "part0";
  CHECK(fault(twice) == "names a part twice: part0");
  request_plan cycle = p;
  cycle.parts[0].fallbacks = {{kind::dependency, 1, {}, ""}, {kind::dependency, 0, {}, ""}};
  CHECK(fault(cycle) == "falls back on d0, which it has tried");
  request_plan unknown = p;
  unknown.parts[0].from = 9;
  CHECK(fault(unknown) == "names no dependency");
  request_plan behind = p;
  behind.parts[0].fallbacks = {{kind::fixed, 0, {}, "x"}, {kind::stale, 0, 1s, ""}};
  CHECK(fault(behind) == "has a fall-back behind a fixed one, which never fails");
  request_plan none = p;
  none.parts.clear();
  CHECK(fault(none) == "has no part");
  request_plan longer = p;
  longer.parts[0].fallbacks = {
      {kind::dependency, 1, {}, ""}, {kind::dependency, 2, {}, ""}, {kind::dependency, 3, {}, ""}};
  CHECK(!fault(longer).empty());
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"retry_budget", retry_budget_is_kept},
                                                   {"latency_quantiles", quantiles_are_near},
                                                   {"adaptive_limit", the_limit_returns},
                                                   {"in_flight_calls", calls_are_bounded},
                                                   {"plans", plans_that_could_not_be_kept}};
  tests.at(argv[1])();
  return 0;
}
