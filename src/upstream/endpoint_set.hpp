// The endpoints of one dependency: which take calls, which are ejected, and which takes the next call.
//
// State of an endpoint:
//
// | state      | event                                                     | next state |
// | ---------- | --------------------------------------------------------- | ---------- |
// | healthy    | failures in a row, or a share of failures                 | ejected    |
// | ejected    | the ejection time has passed, when a call is placed       | probing    |
// | probing    | a probe failed                                            | ejected    |
// | probing    | enough probes in a row succeeded                          | slow_start |
// | slow_start | the slow start has passed, when a call is placed          | healthy    |
// | slow_start | as for healthy                                            | ejected    |
//
// Never more than a share of all endpoints is ejected at once; a probing one counts as ejected, and gets one
// call at a time.
//
// The next call goes to the better of two random endpoints by load and latency (Mitzenmacher, 'The power of
// two choices', 2001). What is known of the latency of an idle endpoint fades, as in Finagle's peak EWMA, so
// that each is called now and then. Time and randomness are handed in. One thread at a time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/request.hpp"
#include "failover/locality.hpp"

namespace marblewharf::upstream {

// The fields are named after their settings.
struct endpoint_rules {
  unsigned failures = 5;                   // in a row, until ejection
  double failing = 0.5;                    // share of failed calls until ejection
  unsigned sample = 20;                    // calls that this share is taken of, at least
  double most_out = 0.5;                   // share of all endpoints that may be ejected at once
  duration out = std::chrono::seconds(2);  // the first ejection; each one after it, without a recovery
                                           // between, is twice as long
  duration longest_out = std::chrono::seconds(30);
  unsigned probes = 2;                      // that succeed in a row, until slow start
  duration ramp = std::chrono::seconds(5);  // of the slow start
  duration fade = std::chrono::seconds(2);  // of idleness, until half of the known latency is forgotten
};

enum class endpoint_state { healthy, ejected, probing, slow_start };

// How a call ended, as far as it says something about its endpoint.
enum class call_outcome {
  succeeded,  // the endpoint answered well
  failed,     // it answered badly, or not in time
  cancelled,  // the caller ended the call, which says nothing
};

// How far endpoints are from this process, and how calls are kept near (docs/failover.md).
struct endpoint_locality {
  std::vector<failover::level> where;  // by endpoint; empty: not known, and locality has no influence
  failover::locality_options rules;
};

// For the log.
struct endpoint_change {
  std::size_t endpoint = 0;
  std::string reason;
};

class endpoint_set {
 public:
  endpoint_set(std::size_t count, endpoint_rules rules, endpoint_locality locality = {});

  // The endpoint of the next call. None: all are ejected, have asked for time, or are `excluded`.
  // `may_probe`: the call may be a probe. `random`: a fresh random number.
  std::optional<std::size_t> choose(time_point now, std::uint64_t random, bool may_probe,
                                    std::optional<std::size_t> excluded = std::nullopt);
  // Several calls will go to the endpoint: until on_unbound() it counts as loaded by one, with a call in
  // flight or not.
  void on_bound(std::size_t endpoint) { ++endpoints_[endpoint].bound; }
  void on_unbound(std::size_t endpoint) { --endpoints_[endpoint].bound; }
  void on_start(std::size_t endpoint);
  void on_end(std::size_t endpoint, time_point now, duration took, call_outcome outcome);
  // The endpoint asked not to be called before then.
  void on_rejected(std::size_t endpoint, time_point until);
  // What the cluster knows of its place: its zone is declared out, or its member suspected. An unreachable
  // endpoint gets calls only in panic.
  void set_reachable(std::size_t endpoint, bool reachable) { endpoints_[endpoint].reachable = reachable; }

  endpoint_state state_of(std::size_t endpoint) const { return endpoints_[endpoint].state; }
  // Ejected or probing.
  std::size_t ejected_count() const;
  std::size_t count() const { return endpoints_.size(); }
  unsigned in_flight(std::size_t endpoint) const { return endpoints_[endpoint].in_flight; }
  // The earliest time at which an endpoint may be called that may not be now. None: one may be now, or no
  // time is known.
  std::optional<time_point> next_usable_at(time_point now) const;
  // Changes of state since the last call.
  std::vector<endpoint_change> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct endpoint_status {
    endpoint_state state = endpoint_state::healthy;
    unsigned in_flight = 0;
    unsigned bound = 0;
    bool reachable = true;
    time_point not_before{};  // it asked for time until then
    // Ejection and recovery.
    unsigned failures_in_row = 0;
    unsigned sample_calls = 0;
    unsigned sample_failures = 0;
    unsigned ejections_in_row = 0;
    time_point ejected_until{};
    bool probe_in_flight = false;
    unsigned probes_succeeded = 0;
    time_point slow_start_since{};
    // Latency.
    double mean_latency_s = 0;  // 0: not known
    bool was_idle = false;      // until the only call in flight began
    time_point idle_since{};    // while nothing is in flight
  };

  // Choice.
  bool takes_calls(const endpoint_status& e) const;
  bool is_full(const endpoint_status& e) const;
  std::optional<std::size_t> find_probe(time_point now, bool may_probe, std::optional<std::size_t> excluded);
  void run_timers(std::size_t endpoint, time_point now);
  std::vector<std::size_t> usable_endpoints(time_point now, std::optional<std::size_t> excluded) const;
  std::vector<std::size_t> usable_by_locality(time_point now, std::uint64_t random,
                                              std::optional<std::size_t> excluded) const;
  double expected_latency_s(const endpoint_status& e, const endpoint_status& other, time_point now) const;
  double cost(const endpoint_status& e, const endpoint_status& other, time_point now) const;
  double slow_start_weight(const endpoint_status& e, time_point now) const;
  double remembered_share(duration idle) const;

  // Latency, ejection and recovery.
  void update_latency(endpoint_status& e, duration took, double remembered);
  void count_in_sample(endpoint_status& e);
  void on_success(std::size_t endpoint, time_point now, bool was_probe);
  void on_failure(std::size_t endpoint, time_point now, bool was_probe);
  bool may_eject_one_more() const;
  void eject(std::size_t endpoint, time_point now, const char* reason);
  void enter(std::size_t endpoint, endpoint_state state, const std::string& reason);

  endpoint_rules rules_;
  endpoint_locality locality_;
  std::vector<endpoint_status> endpoints_;
  std::vector<endpoint_change> changes_;
};

}  // namespace marblewharf::upstream
