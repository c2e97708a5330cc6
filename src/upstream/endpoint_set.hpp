// The endpoints of one dependency: tracks their health, ejects outliers, and selects the endpoint of the next
// call.
//
// State of an endpoint:
//
// | state      | event                                                     | next state |
// | ---------- | --------------------------------------------------------- | ---------- |
// | healthy    | consecutive failures, or a high share of failed calls     | ejected    |
// | ejected    | the ejection time has passed, when a call is placed       | probing    |
// | probing    | a probe failed                                            | ejected    |
// | probing    | enough probes in a row succeeded                          | slow_start |
// | slow_start | the slow start has passed, when a call is placed          | healthy    |
// | slow_start | as for healthy                                            | ejected    |
//
// The share of endpoints that are ejected at the same time is limited. A probing endpoint counts as ejected
// and receives one call at a time.
//
// The next call goes to the better of two random endpoints by load and latency (Mitzenmacher, 'The power of
// two choices', 2001). The measured latency of an idle endpoint decays, as in Finagle's peak EWMA, so that
// every endpoint is called from time to time. Time and random numbers are passed in. Not thread-safe.
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
  unsigned failures = 5;  // number of consecutive failures that ejects an endpoint
  double failing = 0.5;   // share of failed calls that ejects an endpoint
  unsigned sample = 20;   // minimum number of calls over which this share is taken
  double most_out = 0.5;  // maximum share of endpoints that are ejected at the same time
  // Length of the first ejection. Each further ejection without a recovery in between is twice as long.
  duration out = std::chrono::seconds(2);
  duration longest_out = std::chrono::seconds(30);  // maximum length of an ejection
  unsigned probes = 2;                              // consecutive successful probes before slow start
  duration ramp = std::chrono::seconds(5);          // length of the slow start
  duration fade = std::chrono::seconds(2);  // idle time that halves the weight of the measured latency
};

enum class endpoint_state { healthy, ejected, probing, slow_start };

// How a call ended, from the point of view of its endpoint's health.
enum class call_outcome {
  succeeded,
  failed,     // error response, invalid response or timeout
  cancelled,  // the caller ended the call: no statement about the endpoint's health
};

// Locality of the endpoints relative to this process, and the rules for preferring near ones
// (docs/failover.md).
struct endpoint_locality {
  std::vector<failover::level> levels;  // by endpoint; empty: locality is not known and is ignored
  failover::locality_options rules;
};

// A state change of an endpoint, for the log.
struct endpoint_change {
  std::size_t endpoint = 0;
  std::string reason;
};

class endpoint_set {
 public:
  endpoint_set(std::size_t count, endpoint_rules rules, endpoint_locality locality = {});

  // Selects the endpoint of the next call. None: every endpoint is ejected, within the retry-after of a
  // rejection, at its limit of calls in flight, or `excluded`. `may_probe`: the call may serve as a probe.
  // `random`: a new random number for each call.
  std::optional<std::size_t> choose(time_point now, std::uint64_t random, bool may_probe,
                                    std::optional<std::size_t> excluded = std::nullopt);
  // Binds a sequence of calls to the endpoint: until on_unbound() it adds one call to the endpoint's load,
  // whether or not one of its calls is in flight.
  void on_bound(std::size_t endpoint) { ++endpoints_[endpoint].bound; }
  void on_unbound(std::size_t endpoint) { --endpoints_[endpoint].bound; }
  void on_start(std::size_t endpoint);
  void on_end(std::size_t endpoint, time_point now, duration latency, call_outcome outcome);
  // The endpoint rejected a call with a retry-after; it is not called before `until`.
  void on_rejected(std::size_t endpoint, time_point until);
  // Sets reachability as seen by the cluster: an endpoint is unreachable while its zone is declared out or
  // its member is suspected. Unreachable endpoints receive calls only in panic mode (failover/locality.hpp).
  void set_reachable(std::size_t endpoint, bool reachable) { endpoints_[endpoint].reachable = reachable; }

  endpoint_state state_of(std::size_t endpoint) const { return endpoints_[endpoint].state; }
  // The number of endpoints that are ejected or probing.
  std::size_t ejected_count() const;
  std::size_t count() const { return endpoints_.size(); }
  unsigned in_flight(std::size_t endpoint) const { return endpoints_[endpoint].in_flight; }
  // The earliest time at which an endpoint becomes usable. None: an endpoint is usable now, or the time is
  // not known.
  std::optional<time_point> next_usable_at(time_point now) const;
  // Returns the state changes since the previous call of this function.
  std::vector<endpoint_change> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct endpoint_status {
    endpoint_state state = endpoint_state::healthy;
    unsigned in_flight = 0;
    unsigned bound = 0;  // bound sequences of calls
    bool reachable = true;
    time_point rejected_until{};  // end of the retry-after of its last rejection
    // Ejection and recovery.
    unsigned consecutive_failures = 0;
    unsigned sample_calls = 0;
    unsigned sample_failures = 0;
    unsigned consecutive_ejections = 0;
    time_point ejected_until{};
    bool probe_in_flight = false;
    unsigned probes_succeeded = 0;
    time_point slow_start_since{};
    // Latency.
    double mean_latency_s = 0;  // 0: not known
    bool was_idle = false;      // the latest call started while no other was in flight
    time_point idle_since{};    // valid while no call is in flight
  };

  // Endpoint selection.
  bool accepts_calls(const endpoint_status& status) const;
  bool is_full(const endpoint_status& status) const;
  std::optional<std::size_t> find_probe(time_point now, bool may_probe, std::optional<std::size_t> excluded);
  void run_timers(std::size_t endpoint, time_point now);
  std::vector<std::size_t> usable_endpoints(time_point now, std::optional<std::size_t> excluded) const;
  std::vector<std::size_t> usable_by_locality(time_point now, std::uint64_t random,
                                              std::optional<std::size_t> excluded) const;
  double expected_latency_s(const endpoint_status& status, const endpoint_status& other,
                            time_point now) const;
  double cost(const endpoint_status& status, const endpoint_status& other, time_point now) const;
  double slow_start_weight(const endpoint_status& status, time_point now) const;
  double latency_weight(duration idle) const;

  // Latency, ejection and recovery.
  void update_latency(endpoint_status& status, duration latency, double previous_weight);
  void count_in_sample(endpoint_status& status);
  void on_success(std::size_t endpoint, time_point now, bool was_probe);
  void on_failure(std::size_t endpoint, time_point now, bool was_probe);
  bool can_eject_another() const;
  void eject(std::size_t endpoint, time_point now, const char* reason);
  void enter(std::size_t endpoint, endpoint_state state, const std::string& reason);

  endpoint_rules rules_;
  endpoint_locality locality_;
  std::vector<endpoint_status> endpoints_;
  std::vector<endpoint_change> changes_;
};

}  // namespace marblewharf::upstream
