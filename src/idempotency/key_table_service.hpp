// The base class of the idempotency services with a key table: keeps the keys of primaries, the statistics
// and the observer. The derived class decides where results are stored. Not thread-safe: owned by the
// dispatcher's thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "core/idempotency_store.hpp"
#include "idempotency/aging_clock.hpp"
#include "idempotency/key_table.hpp"
#include "telemetry/gauge_contribution.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

class key_table_service : public idempotency_store {
 public:
  // Must be called before the first request. `observer` must outlive this object.
  void set_observer(idempotency_observer& observer) { observer_ = &observer; }

  void mark_outcome_unknown(request_id primary) override;
  void close_primary(request_id primary) override { primaries_.erase(primary); }
  void abandon(request_id id) override;

  const key_table& table() const { return table_; }

 protected:
  // The key of a primary, which runs the request or inquires about its outcome.
  struct claimed_key {
    key_id key;
    std::uint64_t fingerprint = 0;
    aging_time expiry = 0;
  };

  // `longest_wait`: maximum time from the arrival of a request at the host until it is read.
  key_table_service(const key_table_options& options, telemetry::counters& counters, duration longest_wait)
      : counters_(counters),
        table_(options),
        stored_bytes_(counters.stored_bytes),
        longest_wait_(longest_wait),
        stored_keys_(counters.stored_keys),
        unknown_outcomes_(counters.keys_with_unknown_outcome) {}

  // Claims the key in the table, counts the outcome, and remembers the key of a primary until it is closed.
  // The window of a key opens when the attempt that runs arrives at the host. A repeat that arrives there
  // before the window ends is a duplicate, no matter when either of them is read.
  key_claim claim_key(request_id id, const key_id& key, std::uint64_t fingerprint,
                      std::chrono::nanoseconds window, const request& claimant);
  // Keys that expired before this time can be removed: every request that arrived before their expiry has
  // been read by `now`.
  aging_time expiry_horizon(time_point now) const { return clock_.at(now - longest_wait_); }
  // How long the records of a key are needed beyond its expiry.
  duration longest_wait() const { return longest_wait_; }
  static claim_result to_result(const key_claim& claim);

  // Counts what became of a request with a key.
  void count(claim_status status);

  // The key of a primary. Throws std::out_of_range if it is closed or not a primary.
  const claimed_key& primary_key(request_id primary) const { return primaries_.at(primary); }
  bool is_primary(request_id id) const { return primaries_.contains(id); }
  idempotency_observer& observer() { return *observer_; }

  // Whether expired keys should be removed now; true at most once per interval.
  bool expiry_is_due(time_point now);
  void publish_key_counts();

  telemetry::counters& counters_;
  key_table table_;
  telemetry::gauge_contribution stored_bytes_;
  aging_clock clock_;  // the steady clock, unless the derived class sets another

 private:
  using primary_map = std::unordered_map<request_id, claimed_key>;

  // Removes the entry of the request if the table throws.
  key_claim claim_in_table(primary_map::iterator claiming, std::chrono::nanoseconds window,
                           const request& claimant);

  const duration longest_wait_;
  telemetry::gauge_contribution stored_keys_, unknown_outcomes_;
  idempotency_observer* observer_ = nullptr;
  primary_map primaries_;
  time_point next_expiry_{};
};

}  // namespace marblewharf::idempotency
