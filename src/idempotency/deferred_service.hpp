// An idempotency store that is not open yet: until it gets the durable service, it rejects each keyed request
// with a retry-after time. Without a store no key can be recorded, so no keyed request may run. Not
// thread-safe: owned by the dispatcher's thread.
#pragma once

#include "core/idempotency_store.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

class deferred_service : public idempotency_store {
 public:
  // `retry_after`: for rejected requests. `counters` must outlive this object.
  deferred_service(duration retry_after, telemetry::counters& counters)
      : retry_after_(retry_after), counters_(counters) {}

  // Forwards all calls to `store` from now on. `store` must outlive this object.
  void open_with(idempotency_store& store) { store_ = &store; }
  bool is_open() const { return store_ != nullptr; }

  claim_result claim(request_id id, const request& claimant) override {
    if (store_ != nullptr) return store_->claim(id, claimant);
    ++counters_.rejected_for_key_capacity;
    return {.status = claim_status::no_capacity, .retry_after = retry_after_};
  }

  // Called only for requests that have claimed a key, which is impossible before the store is open.
  void write_intent(request_id primary, const request& claimant) override {
    store_->write_intent(primary, claimant);
  }
  bool record_result(request_id primary, bool succeeded, std::string_view result) override {
    return store_->record_result(primary, succeeded, result);
  }
  void mark_outcome_unknown(request_id primary) override { store_->mark_outcome_unknown(primary); }
  void release_key(request_id primary) override { store_->release_key(primary); }
  duration schedule_inquiry_retry(request_id primary) override {
    return store_->schedule_inquiry_retry(primary);
  }
  void close_primary(request_id primary) override { store_->close_primary(primary); }
  void abandon(request_id id) override {
    if (store_ != nullptr) store_->abandon(id);
  }
  void fetch_result(request_id id) override { store_->fetch_result(id); }

 private:
  duration retry_after_;
  telemetry::counters& counters_;
  idempotency_store* store_ = nullptr;
};

}  // namespace marblewharf::idempotency
