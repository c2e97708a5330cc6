// Manages the life of each request between fronts, the admission policy and backends. Enforces these
// invariants whatever fronts, policy and backends do: each request gets exactly one final answer; a request
// that was passed to a backend is never answered `rejected`, unless the backend itself rejected it; each
// request is passed to a backend at most once. duplicate_coalescer handles requests with an idempotency key.
// Not synchronized: all functions are called on the thread that calls step().
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
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
  // Throws std::invalid_argument, naming the setting, if the settings are invalid. `counters` outlives this
  // object.
  dispatcher(const admission_policy::settings& settings, std::uint64_t seed, time_point now,
             telemetry::counters& counters);
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // Adds a front that is to receive close_idle() calls. The front outlives this object.
  void add_front(front& idle_closing_front) { fronts_.push_back(&idle_closing_front); }

  // Enables idempotency for the classes whose window in `windows` (by class) is not 0: from now on duplicates
  // of their keyed requests are coalesced and results are stored in `store`, which outlives this object. A
  // keyed run whose request was answered as failed continues for `finish_within` before a stop decision takes
  // effect, because stopping the run would make its outcome unknown. Other classes keep the store that they
  // have.
  void enable_idempotency(idempotency_store& store, duration finish_within,
                          std::span<const std::chrono::nanoseconds> windows);

  // The server behind this node reports that it is up, since when, and whether its start was cold. Before
  // this report the dispatcher assumes a cold start.
  void on_server_up(bool cold, time_point since);

  // ---- Events of requests ---------------------------------------------------------------------------------
  // If the handling of an event, or of a decision on a request, throws an exception, the exception is logged
  // and counted, and the request is answered as failed.
  request_id on_arrival(front& receiving_front, backend& target_backend, request details);
  void on_client_cancelled(request_id id);
  // A run ended. `result`: the result of a run that succeeded. Ignored for a request that was not started.
  void on_run_ended(request_id id, run_end end, std::string_view result, duration elapsed);
  // The backend did not begin a run because it lacks capacity: the request is answered as rejected.
  void on_backend_rejected(request_id id, duration retry_after);
  // The server that the run of a keyed request names got no byte of the request. The run begins anew at
  // another server once an intent that names it is durable.
  void on_server_unreachable(request_id id);
  // A run has to make its dependency call before it can continue; that call ended, successfully or not.
  void on_dependency_call_needed(request_id id);
  void on_dependency_call_ended(request_id id, duration elapsed);
  // The backend's reply to backend::inquire().
  void on_inquiry_reply(request_id id, inquiry_outcome end, std::string_view result);

  // ---- Events of the node ---------------------------------------------------------------------------------
  // The process is killed after `time_left`.
  void on_shutdown_notice(duration time_left);
  // Sets the limits of this node's share of the cluster's quotas. They apply from the next step on.
  void on_quota_update(const quota_update& update);
  // Calls `observer` for each request that arrives.
  void set_arrival_observer(std::function<void(const request&)> observer) {
    arrival_observer_ = std::move(observer);
  }

  // ---- idempotency_observer -------------------------------------------------------------------------------
  void on_intent_written(request_id primary, bool durable) override;
  void on_result_recorded(request_id primary) override;
  void on_result_fetched(request_id id, const fetched_result& fetched) override;

  // Runs the policy and applies its decisions. `gauges`: the values of the gauges that the settings list, in
  // their order; empty if the values are unknown.
  void step(time_point now, std::span<const double> gauges);
  // When step() has to be called next; time_point::min(): at once.
  time_point due() const;

  bool healthy() const { return healthy_; }
  bool draining() const { return draining_; }
  std::size_t open_requests() const { return requests_.size(); }
  // The number of open requests that were neither answered nor cancelled. Iterates over all open requests.
  std::size_t count_unanswered() const { return requests_.count_unanswered(); }

  struct load {
    std::size_t running = 0;  // passed to a backend and not ended, answered or not
    std::size_t waiting = 0;  // queued and neither answered nor cancelled
  };
  // Iterates over all open requests.
  load current_load() const { return {requests_.count_started(), requests_.count_queued_unanswered()}; }

 private:
  request_entry* find_started(request_id id);

  void admit(request_entry& arrival);
  void end_run(request_entry& entry, run_end end, std::string_view result, duration elapsed);
  void reject_run(request_entry& entry, duration retry_after);
  // Calls the handler of an event of a request, or of a decision on it. If the handler throws, the request
  // ends with one final answer. Ignores a null entry.
  template <typename Handler>
  void handle_event(request_entry* entry, Handler handler);
  template <typename Decision>
  void carry_out(const Decision& decision);
  // End a request whose handling threw an exception with the text `cause`: it is answered as failed, and the
  // policy and the idempotency store hold nothing for it any more.
  void abandon_arrival(request_entry& arrival, const std::string& cause);
  void abandon_run(request_id id, const std::string& cause);
  void report_internal_error(const char* during, const std::string& cause);
  // Ends a run that waits for a dependency call, if the policy has closed its request. The policy books
  // memory for the run until its end is reported.
  void end_waiting_run(request_entry& entry);
  // The policy has closed a started request, because it was answered or cancelled.
  void on_closed_by_policy(request_id id);

  void apply(const run& decision);
  void apply(const pause& decision);
  void apply(const resume& decision);
  void apply(const reject& decision);
  void apply(const fail& decision);
  void apply(const place_call& decision);
  void apply(const skip_call& decision);
  // Ignores decisions on keys: the idempotency store retains keys by its own rules. The policy counts keys
  // only to bound their memory.
  void apply(const retain_key&) {}
  void apply(const forget_key&) {}
  void apply(const share_result& decision);
  void apply(const set_health& decision) { healthy_ = decision.healthy; }
  void apply(const close_idle& decision);

  std::function<void(const request&)> arrival_observer_;
  std::optional<quota_update> quota_;  // the latest update
  admission_policy::settings settings_;
  std::uint64_t seed_;
  telemetry::counters& counters_;
  admission admission_;
  request_table requests_;
  duplicate_coalescer coalescer_;
  std::vector<front*> fronts_;
  time_point now_{};
  bool any_request_arrived_ = false;
  bool healthy_ = true;
  bool draining_ = false;
};

}  // namespace marblewharf
