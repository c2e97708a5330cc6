// What the idempotency services with a key table have in common: the primaries' keys, the statistics and the
// observer. Where results are stored is up to the derived class. Not synchronized: owned by the dispatcher's
// thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "core/idempotency_store.hpp"
#include "idempotency/key_table.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

class key_table_service : public idempotency_store {
 public:
  // To be called before the first request; `observer` outlives this object.
  void set_observer(idempotency_observer& observer) { observer_ = &observer; }

  void mark_outcome_unknown(request_id primary) override;
  void close_primary(request_id primary) override { primaries_.erase(primary); }

  const key_table& known() const { return table_; }

 protected:
  // A key whose request runs or inquires.
  struct claimed_key {
    key_id key;
    std::uint64_t fingerprint = 0;
    aging_time expiry = 0;
  };

  key_table_service(const key_table_options& options, telemetry::counters& counters)
      : counters_(counters), table_(options) {}

  // Claims the key in the table, counts the outcome, and remembers the key of a primary until it is closed.
  key_claim claim_key(request_id id, const key_id& key, std::uint64_t fingerprint,
                      std::chrono::nanoseconds window, aging_time now);
  static claim_result to_result(const key_claim& claim);

  // Of a primary that is not closed; throws std::out_of_range otherwise.
  const claimed_key& primary_key(request_id primary) const { return primaries_.at(primary); }
  bool is_primary(request_id id) const { return primaries_.contains(id); }
  idempotency_observer& observer() { return *observer_; }

  // Whether expired keys are to be looked for; at most once in a fixed interval.
  bool expiry_is_due(time_point now);
  void publish_key_counts();

  telemetry::counters& counters_;
  key_table table_;

 private:
  void count(claim_status status);

  idempotency_observer* observer_ = nullptr;
  std::unordered_map<request_id, claimed_key> primaries_;
  time_point next_expiry_{};
};

}  // namespace marblewharf::idempotency
