#include "quota/allocator.hpp"

#include <algorithm>
#include <numeric>

namespace marblewharf::quota {

namespace {

constexpr double least_step = 1e-9;  // of a share: less is rounding

}  // namespace

std::vector<double> max_min(double pool, const std::vector<double>& demands,
                            const std::vector<double>& weights) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  // Filled from the one that is content first: whoever asks least for its weight.
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return demands[a] * weights[b] < demands[b] * weights[a]; });
  double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  std::vector<double> out(demands.size());
  for (const std::size_t i : order) {
    out[i] = weight > 0 ? std::clamp(pool * weights[i] / weight, 0.0, std::max(0.0, demands[i])) : 0;
    pool = std::max(0.0, pool - out[i]);
    weight -= weights[i];
  }
  return out;
}

allocator::allocator(allocator_options o, std::vector<budget> budgets, std::uint64_t digest, std::string self,
                     std::uint64_t term, time_point now)
    : options_(o),
      budgets_(std::move(budgets)),
      digest_(digest),
      self_(std::move(self)),
      term_(term),
      leases_over_(now + surely_over(o.rules)) {}

double allocator::pool(std::size_t i) const {
  return std::max(0.0, budgets_[i].whole - budgets_[i].safe * static_cast<double>(options_.members));
}

double allocator::divided(std::size_t i) const {
  return pool(i) * (1 - options_.reserve);
}

double allocator::committed(std::size_t i, time_point now) const {
  double sum = 0;
  for (const auto& [s, n] : nodes_)
    if (now < n.over + budgets_[i].settle) sum += n.committed[i];
  return sum;
}

void allocator::forget(time_point now) {
  duration longest{};
  for (const budget& b : budgets_) longest = std::max(longest, b.settle);
  std::erase_if(nodes_, [=](const auto& n) { return now >= n.second.over + longest; });
}

// The fair share of one node among those that asked within a lease: whoever fell silent still counts in the
// book, but wants nothing.
double allocator::target(std::size_t i, const session& of, time_point now) const {
  std::vector<double> demands, weights;
  std::size_t which = 0;
  for (const auto& [s, n] : nodes_) {
    if (now - n.asked >= options_.rules.lease) continue;
    if (s == of) which = demands.size();
    demands.push_back(n.demand[i]);
    weights.push_back(budgets_[i].weight);
  }
  return max_min(divided(i), demands, weights)[which];
}

void allocator::receive(time_point now, const message& m) {
  if (m.what != kind::request) return;
  if (m.digest != digest_ || m.entries.size() != budgets_.size()) {
    ++mismatched_;
    return;
  }
  forget(now);
  const session who{m.from, m.session};
  const auto found = nodes_.find(who);
  if (found == nodes_.end() && nodes_.size() >= options_.sessions_most) return;
  node& n = nodes_[who];
  // An ask that was overtaken by a later one: what it says of shares is past.
  if (m.sequence <= n.sequence) return;
  const std::size_t count = budgets_.size();
  const bool fresh = n.sequence == 0;
  n.address = m.answer_to.empty() ? m.from : m.answer_to;
  n.sequence = m.sequence;
  n.asked = now;
  n.over = now + surely_over(options_.rules);
  n.held.resize(count);
  n.demand.resize(count);
  n.committed.resize(count);
  n.granted.resize(count);
  message answer{kind::grant, self_, term_, m.sequence, m.session, digest_, {}};
  for (std::size_t i = 0; i < count; ++i) {
    n.held[i] = std::max(0.0, m.entries[i].held);
    n.demand[i] = std::max(0.0, m.entries[i].demand);
    n.committed[i] = n.held[i];  // no answer to an earlier ask can take effect any more
  }
  for (std::size_t i = 0; i < count; ++i) {
    const double wanted = target(i, who, now);
    // What stands under a lease is in force, so renewing it adds nothing. What is only in flight still, over
    // a lease that ended, may have been given to others since: it counts, and is no claim.
    const double leased = std::clamp(m.entries[i].leased, 0.0, n.held[i]);
    double given = std::min(wanted, leased);
    if (wanted > leased && now >= known_from(i)) {
      // Not known before: what the allocator before this one granted to those that have not asked yet.
      const bool joins = fresh && n.held[i] <= least_step;
      const double room = (joins ? pool(i) : divided(i)) - (committed(i, now) - n.committed[i]);
      given = std::min(wanted, std::max(leased, room));
    }
    n.granted[i] = given;
    n.committed[i] = std::max(n.held[i], given);
    answer.entries.push_back({given, 0});
  }
  outbox_.push_back({n.address, std::move(answer)});
  // Whoever is short and could have more now is told to ask, once for each of its asks.
  for (auto& [s, other] : nodes_) {
    if (s == who || now - other.asked >= options_.rules.lease) continue;
    for (std::size_t i = 0; i < count; ++i) {
      if (now < known_from(i)) continue;
      const double room = divided(i) - committed(i, now);
      if (room > least_step * pool(i) && other.granted[i] + least_step < target(i, s, now)) {
        outbox_.push_back({other.address, message{kind::poke, self_, term_, 0, s.second, digest_, {}}});
        break;
      }
    }
  }
}

}  // namespace marblewharf::quota
