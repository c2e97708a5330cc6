// The keeper of keyed results, or, until it can be opened, a stand-in that refuses each keyed request at once
// with the time to return: nothing new can be recorded, so nothing keyed may run. Owned by the node, on the
// reactor's thread; the keeper it is given outlives it.
#pragma once

#include "core/idempotency_store.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

class deferred_service : public idempotency_store {
 public:
  deferred_service(duration come_back, telemetry::counters& counters)
      : come_back_(come_back), counters_(counters) {}

  // From now on all goes to `keys`.
  void take(idempotency_store& keys) { keys_ = &keys; }
  bool open() const { return keys_ != nullptr; }

  opinion arrive(request_id id, const request& what) override {
    if (keys_ != nullptr) return keys_->arrive(id, what);
    ++counters_.no_room;
    return {.how = standing::no_room, .come_back = come_back_};
  }
  // Only leaders and answered requests come here, and there are none before the keeper.
  void intend(request_id leader, const request& what) override { keys_->intend(leader, what); }
  bool record(request_id leader, bool served, std::string_view result) override {
    return keys_->record(leader, served, result);
  }
  void doubt(request_id leader) override { keys_->doubt(leader); }
  void release(request_id leader) override { keys_->release(leader); }
  duration asked_in_vain(request_id leader) override { return keys_->asked_in_vain(leader); }
  void close(request_id leader) override { keys_->close(leader); }
  void fetch(request_id id) override { keys_->fetch(id); }

 private:
  duration come_back_;
  telemetry::counters& counters_;
  idempotency_store* keys_ = nullptr;
};

}  // namespace marblewharf::idempotency
