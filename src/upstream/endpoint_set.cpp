#include "upstream/endpoint_set.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marblewharf::upstream {
namespace {

constexpr double mean_memory = 8;     // calls
constexpr double least_weight = 0.1;  // share of calls right after it is back
constexpr double unknown_s =
    1e-3;  // taken for one that was asked and has not answered, where nothing better is known
constexpr unsigned most_doublings = 16;

}  // namespace

endpoint_set::endpoint_set(std::size_t count, endpoint_rules rules, nearness near)
    : rules_(rules), near_(std::move(near)), all_(count) {}

std::size_t endpoint_set::out() const {
  return static_cast<std::size_t>(std::count_if(all_.begin(), all_.end(), [](const one& e) {
    return e.where == endpoint_state::out || e.where == endpoint_state::probing;
  }));
}

double endpoint_set::weight(const one& e, time_point now) const {
  if (e.where != endpoint_state::ramping) return 1;
  const double done =
      std::chrono::duration<double>(now - e.since) / std::chrono::duration<double>(rules_.ramp);
  return std::clamp(done, least_weight, 1.0);
}

// Guards against an endpoint that was slow once: passed over for that, it would never show that it no longer
// is.
double endpoint_set::left_of_mean(duration unasked) const {
  return std::exp2(
      -std::max(0.0, std::chrono::duration<double>(unasked) / std::chrono::duration<double>(rules_.fade)));
}

// Those among which the call goes, all of one level: the level by the levels' able shares
// (failover/locality).
std::vector<std::size_t> endpoint_set::near_ones(time_point now, std::uint64_t random,
                                                 std::optional<std::size_t> not_this) const {
  std::vector<failover::endpoint_state> states(all_.size());
  // What not even panic overrides: it asked for time, or holds as many calls as it may.
  std::vector<bool> closed(all_.size());
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const one& e = all_[i];
    const bool in = e.where == endpoint_state::in || e.where == endpoint_state::ramping;
    closed[i] = e.not_before > now || full(e);
    states[i] = {near_.where[i], in && e.reachable && !closed[i]};
  }
  const failover::level_shares shares = failover::shares_of(states, near_.rules);
  // Bits of their own: the two endpoints are drawn from the same number.
  const std::uint64_t mixed = (random ^ (random >> 29)) * 0xbf58476d1ce4e5b9ull;
  const auto drawn = failover::draw(shares, static_cast<double>(mixed >> 11) * 0x1.0p-53);
  std::vector<std::size_t> at;
  const auto take = [&](failover::level l) {
    for (std::size_t i = 0; i < all_.size(); ++i)
      if (i != not_this && states[i].where == l && (states[i].able || (shares.panic && !closed[i])))
        at.push_back(i);
  };
  if (drawn) take(*drawn);
  // The drawn level may hold none but `not_this`: then the nearest that has one.
  for (std::size_t l = 0; l < failover::levels && at.empty(); ++l) take(static_cast<failover::level>(l));
  return at;
}

std::optional<std::size_t> endpoint_set::choose(time_point now, std::uint64_t random, bool may_probe,
                                                std::optional<std::size_t> not_this) {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    one& e = all_[i];
    if (e.where == endpoint_state::out && now >= e.until) move(i, endpoint_state::probing, "is tried again");
    if (e.where == endpoint_state::ramping && now >= e.since + rules_.ramp) e.where = endpoint_state::in;
    if (e.not_before > now || i == not_this) continue;
    // A probe of an endpoint that is known to be cut off would only cost the caller its time.
    if (e.where == endpoint_state::probing && may_probe && !e.probe_out && e.reachable && !full(e)) return i;
    if (e.where == endpoint_state::in || e.where == endpoint_state::ramping) usable.push_back(i);
  }
  if (!near_.where.empty()) usable = near_ones(now, random, not_this);
  if (usable.empty()) return std::nullopt;
  const std::size_t n = usable.size();
  const std::size_t a = usable[random % n];
  const std::size_t b = usable[(random % n + 1 + (random >> 32) % std::max<std::size_t>(1, n - 1)) % n];
  // One that never was asked is asked next: whatever time were taken for it, others may be quicker for ever.
  // Guards against one that was asked and has not answered yet: taken for quick, it would draw all calls
  // until it does.
  const auto expected_s = [&](const one& e, const one& other) {
    if (e.mean_s > 0) return e.mean_s * (e.in_flight > 0 ? 1 : left_of_mean(now - e.idle_since));
    return e.in_flight + e.bound > 0 ? std::max(other.mean_s, unknown_s) : 0;
  };
  const auto cost = [&](std::size_t i, std::size_t other) {
    return (all_[i].in_flight + all_[i].bound + 1) * expected_s(all_[i], all_[other]) / weight(all_[i], now);
  };
  return cost(b, a) < cost(a, b) ? b : a;
}

void endpoint_set::on_start(std::size_t which) {
  one& e = all_[which];
  e.was_idle = e.in_flight++ == 0;
  if (e.where == endpoint_state::probing) e.probe_out = true;
}

void endpoint_set::on_end(std::size_t which, time_point now, duration took, call_outcome outcome) {
  one& e = all_[which];
  if (e.in_flight > 0) --e.in_flight;
  // What is known weighs as little in the new mean as it did in the choice.
  const double kept = std::exchange(e.was_idle, false) ? left_of_mean(now - took - e.idle_since) : 1;
  if (e.in_flight == 0) e.idle_since = now;
  const bool was_probe = e.where == endpoint_state::probing;
  if (was_probe) e.probe_out = false;
  if (outcome == call_outcome::cancelled) return;
  const double s = std::chrono::duration<double>(took).count();
  e.mean_s = e.mean_s <= 0 ? s : e.mean_s + (s - e.mean_s) * std::max(1 / mean_memory, 1 - kept);
  if (++e.calls >= 2 * rules_.sample) {
    e.calls /= 2;
    e.failed /= 2;
  }
  if (outcome == call_outcome::succeeded) {
    e.failures = 0;
    if (was_probe && ++e.probes_well >= rules_.probes) {
      e.since = now;
      e.times_out = 0;
      e.calls = e.failed = 0;
      move(which, endpoint_state::ramping, "is back");
    }
    return;
  }
  ++e.failures;
  ++e.failed;
  if (was_probe) {
    hold_out(which, now, "failed its probe");
  } else if (e.where != endpoint_state::out) {
    if (e.failures >= rules_.failures)
      hold_out(which, now, "failed several times in a row");
    else if (e.calls >= rules_.sample && e.failed >= rules_.failing * e.calls)
      hold_out(which, now, "fails too often");
  }
}

void endpoint_set::hold_out(std::size_t which, time_point now, const char* why) {
  one& e = all_[which];
  const bool is_out = e.where == endpoint_state::probing;
  // Guards against holding out all for what is wrong elsewhere: those that are left are used, failing or not.
  if (!is_out && static_cast<double>(out() + 1) > rules_.most_out * static_cast<double>(all_.size())) return;
  const double times = static_cast<double>(std::uint64_t{1} << std::min(e.times_out, most_doublings));
  const auto wait = std::chrono::duration_cast<duration>(rules_.out * times);
  e.until = now + std::min(wait, rules_.longest_out);
  ++e.times_out;
  e.probes_well = 0;
  e.failures = 0;
  e.calls = e.failed = 0;
  move(which, endpoint_state::out, why);
}

void endpoint_set::move(std::size_t which, endpoint_state to, const std::string& why) {
  all_[which].where = to;
  changes_.emplace_back(which, why);
}

void endpoint_set::on_not_now(std::size_t which, time_point until) {
  all_[which].not_before = std::max(all_[which].not_before, until);
}

std::optional<time_point> endpoint_set::next_use(time_point now) const {
  std::optional<time_point> next;
  for (const one& e : all_) {
    if (e.where == endpoint_state::probing && e.probe_out) continue;
    // Not one that is kept from calls for another reason than time: when that ends, no time tells.
    if (!e.reachable || full(e)) continue;
    const time_point at = std::max(e.not_before, e.where == endpoint_state::out ? e.until : time_point{});
    if (at <= now) return std::nullopt;
    if (!next || at < *next) next = at;
  }
  return next;
}

}  // namespace marblewharf::upstream
