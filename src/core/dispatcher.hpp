// The life of each request between fronts, the admission policy and backends. Whatever any of them does, it
// holds these invariants: one final answer for each request; never `rejected` for one that was handed to a
// backend; each request is handed to a backend at most once. Requests with an idempotency key are handled by
// duplicate_coalescer. Not synchronized: all calls come on one thread, which also calls step().
#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "core/admission.hpp"
#include "core/backend.hpp"
#include "core/duplicate_coalescer.hpp"
#include "core/front.hpp"
#include "core/idempotency_store.hpp"
#include "core/request.hpp"
#include "core/request_table.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf {

class dispatcher : public idempotency_observer {
 public:
  // Throws std::invalid_argument, naming the setting, when the settings cannot be used. `counters` outlives
  // this object.
  dispatcher(const admission_policy::settings& settings, std::uint64_t seed, time_point now,
             telemetry::counters& counters);
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // A front that is told when idle connections are to be closed; outlives this object.
  void add(front& added) { fronts_.push_back(&added); }

  // From now on requests with a key are coalesced and their results stored. A keyed run that was answered as
  // failed goes on for `finish_within`: stopped, its outcome would be unknown.
  void use(idempotency_store& store, duration finish_within);

  // What the server behind says of its own start. Before this it is taken for cold.
  void on_server_up(bool cold, time_point since);

  // ---- What happens to requests ---------------------------------------------------------------------------
  request_id on_arrival(front& from, backend& to, request what);
  void on_client_cancelled(request_id id);
  // The end of a run; `result` where it succeeded. Ignored for a request that was not started.
  void on_end(request_id id, run_end how, std::string_view result, duration elapsed);
  // The backend did not begin a run for lack of room: answered as rejected.
  void on_backend_rejected(request_id id, duration retry_after);
  // A run cannot go on before its dependency call; that call ended, with or without a result.
  void on_call_needed(request_id id);
  void on_call_ended(request_id id, duration elapsed);
  // The backend's reply to backend::inquire().
  void on_inquired(request_id id, inquiry_end how, std::string_view result);

  // ---- The node -------------------------------------------------------------------------------------------
  // The process is stopped after `time_left`.
  void on_shutdown_notice(duration time_left);
  // The limits on this node's part of the cluster's quotas, from the next step on.
  void on_quota_update(const quota_update& update);
  // Calls `observer` for each request that arrives.
  void watch_arrivals(std::function<void(const request&)> observer) {
    arrival_observer_ = std::move(observer);
  }

  // ---- idempotency_observer -------------------------------------------------------------------------------
  void on_intent_written(request_id primary, bool durable) override;
  void on_result_recorded(request_id primary) override;
  void on_result_fetched(request_id id, const fetched_result& fetched) override;

  // Lets the policy decide and applies its decisions. Gauges are in the order of the settings.
  void step(time_point now, std::span<const double> gauges);
  // When step() is wanted next; time_point::min(): at once.
  time_point due() const;

  bool healthy() const { return healthy_; }
  bool draining() const { return draining_; }
  std::size_t open() const { return requests_.size(); }
  // Open requests whose client is still owed an answer. Looks at each request.
  std::size_t unanswered() const { return requests_.unanswered(); }

  struct load {
    std::size_t running = 0;  // handed to a backend and not ended, answered or not
    std::size_t waiting = 0;  // queued, with a client that waits
  };
  // Looks at each request.
  load current_load() const { return {requests_.started(), requests_.queued_unanswered()}; }

 private:
  request_entry* find_started(request_id id);

  void apply(const run& decision);
  void apply(const pause& decision);
  void apply(const resume& decision);
  void apply(const reject& decision);
  void apply(const fail& decision);
  void apply(const place_call& decision);
  void apply(const skip_call& decision);
  // Keys are kept by the idempotency store, by its own rules; the policy's book of them bounds memory only.
  void apply(const retain_key&) {}
  void apply(const forget_key&) {}
  void apply(const share_result& decision);
  void apply(const set_health& decision) { healthy_ = decision.good; }
  void apply(const close_idle& decision);

  std::function<void(const request&)> arrival_observer_;
  std::optional<quota_update> quota_;  // the latest one
  admission_policy::settings settings_;
  std::uint64_t seed_;
  telemetry::counters& counters_;
  admission admission_;
  request_table requests_;
  duplicate_coalescer coalescer_;
  std::vector<front*> fronts_;
  time_point now_{};
  bool any_arrived_ = false;
  bool healthy_ = true;
  bool draining_ = false;
};

}  // namespace marblewharf
