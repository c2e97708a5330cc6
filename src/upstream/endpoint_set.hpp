// The endpoints of one dependency: which is in use, which is held out, and which takes the next call. Held
// out after a run of failures or where far more fail than not; no more than a share of all at once; back by
// single probes, then with a share of the calls that grows. The choice is the better of two drawn at random
// by load and latency (Mitzenmacher, 'The power of two choices', 2001); what is known of one that is not
// asked fades, as in Finagle's peak EWMA, so that each is asked now and then. Clock and randomness are handed
// in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/request.hpp"
#include "failover/locality.hpp"

namespace marblewharf::upstream {

struct endpoint_rules {
  unsigned failures = 5;  // in a row, until it is held out
  double failing = 0.5;   // share of calls that fail, of `sample` at least, until it is held out
  unsigned sample = 20;
  double most_out = 0.5;                   // share of all that are held out at once
  duration out = std::chrono::seconds(2);  // the first time; then doubled
  duration longest_out = std::chrono::seconds(30);
  unsigned probes = 2;                      // in a row that succeed, until it is back
  duration ramp = std::chrono::seconds(5);  // until it has its full share of calls again
  duration fade = std::chrono::seconds(2);  // without calls, until half of its latency is forgotten
};

enum class endpoint_state { in, out, probing, ramping };

// How a call ended, as far as it says something about its endpoint.
enum class call_outcome {
  succeeded,  // the endpoint answered well
  failed,     // it answered badly, or not in time
  cancelled,  // the caller ended the call, which says nothing
};

// Where endpoints are, seen from this process, and how calls are kept near (docs/failover.md).
struct nearness {
  std::vector<failover::level>
      where;  // by endpoint; empty: places tell nothing, and the choice is as without
  failover::locality_options rules;
};

class endpoint_set {
 public:
  endpoint_set(std::size_t count, endpoint_rules rules, nearness near = {});

  // Where the next call goes; none: all are held out, asked for time, or is `not_this`. `may_probe`: this
  // call may be the one that finds out whether an endpoint is back.
  std::optional<std::size_t> choose(time_point now, std::uint64_t random, bool may_probe,
                                    std::optional<std::size_t> not_this = std::nullopt);
  // More than one call will go there: from the choice until on_unbound() it counts as load, with calls in
  // flight or not.
  void on_bound(std::size_t which) { ++all_[which].bound; }
  void on_unbound(std::size_t which) { --all_[which].bound; }
  void on_start(std::size_t which);
  void on_end(std::size_t which, time_point now, duration took, call_outcome outcome);
  // What others know of its place: its zone is declared out, its member suspected. No call goes there but in
  // panic.
  void set_reachable(std::size_t which, bool reachable) { all_[which].reachable = reachable; }
  // It said: not before then.
  void on_not_now(std::size_t which, time_point until);

  endpoint_state state_of(std::size_t which) const { return all_[which].where; }
  std::size_t out() const;
  std::size_t count() const { return all_.size(); }
  unsigned in_flight(std::size_t which) const { return all_[which].in_flight; }
  // The earliest time at which one may be used that is not now; none where one may.
  std::optional<time_point> next_use(time_point now) const;
  // Changes of state since the last call, for the log: which, and why.
  std::vector<std::pair<std::size_t, std::string>> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct one {
    endpoint_state where = endpoint_state::in;
    unsigned in_flight = 0;
    unsigned bound = 0;
    unsigned failures = 0;           // in a row
    unsigned calls = 0, failed = 0;  // of the sample
    unsigned times_out = 0;          // in a row
    unsigned probes_well = 0;
    bool probe_out = false;  // a probe is in flight
    bool reachable = true;
    double mean_s = 0;        // latency of late; 0: none known
    bool was_idle = false;    // until the only call in flight began
    time_point idle_since{};  // nothing in flight
    time_point until{};       // out
    time_point since{};       // ramping
    time_point not_before{};  // it asked for
  };

  double weight(const one& e, time_point now) const;
  double left_of_mean(duration unasked) const;
  bool full(const one& e) const { return near_.rules.most_each > 0 && e.in_flight >= near_.rules.most_each; }
  std::vector<std::size_t> near_ones(time_point now, std::uint64_t random,
                                     std::optional<std::size_t> not_this) const;
  void hold_out(std::size_t which, time_point now, const char* why);
  void move(std::size_t which, endpoint_state to, const std::string& why);

  endpoint_rules rules_;
  nearness near_;
  std::vector<one> all_;
  std::vector<std::pair<std::size_t, std::string>> changes_;
};

}  // namespace marblewharf::upstream
