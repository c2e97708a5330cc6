// Idempotency in the dispatcher: of the requests with one key, the primary runs and its duplicates share its
// outcome. Its invariants:
//
// - A primary is handed to its backend only after its intent is durable, and at most once.
// - Nobody is answered `served` before the result is recorded.
// - A run whose clients have cancelled or were answered goes on: later duplicates get its result.
//
// Not synchronized: owned by the dispatcher's thread.
#pragma once

#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "core/admission.hpp"
#include "core/coalesced_group.hpp"
#include "core/idempotency_store.hpp"
#include "core/request_table.hpp"

namespace marblewharf {

class duplicate_coalescer {
 public:
  // All of these outlive this object.
  duplicate_coalescer(request_table& requests, admission& policy, const admission_policy::settings& settings,
                      telemetry::counters& counters, time_point now);

  // `finish_within`: how long after its deadline a run goes on before a stop decision reaches its backend.
  void use(idempotency_store& store, duration finish_within);

  // Whether arrivals like this one are handed to on_arrival().
  bool handles(const request& what) const { return store_ != nullptr && !what.key.empty(); }

  // ---- What happens to requests ---------------------------------------------------------------------------
  void on_arrival(request_entry& arrival);
  // Of a primary or a duplicate, which has not been answered.
  void on_client_cancelled(request_entry& entry);
  void on_run_ended(request_entry& primary, run_end how, std::string_view result, duration elapsed);
  void on_backend_rejected(request_entry& primary, const answer& final);
  void on_inquired(request_id primary_id, inquiry_end how, std::string_view result);

  // ---- Decisions of the policy ----------------------------------------------------------------------------
  void start_primary(request_entry& primary);
  void pause_primary(request_entry& primary);
  void reject_primary(request_entry& primary, const answer& final);
  void fail_primary(request_entry& primary, const answer& final);
  void share_result(request_entry& entry);
  // A duplicate that was answered on its own, or whose client cancelled, no longer belongs to its group.
  void leave_group(const request_entry& duplicate);

  // ---- Replies of the store, see idempotency_observer -----------------------------------------------------
  void on_intent_written(request_id primary_id, bool durable);
  void on_result_recorded(request_id primary_id);
  void on_result_fetched(request_id id, const fetched_result& fetched);

  // Answers what is due, and makes inquiries that are.
  void step(time_point now);
  // When step() is wanted next; time_point::min(): at once; time_point::max(): not on account of time.
  time_point due() const;
  // The process ends: no client of a result that is being recorded waits longer than this.
  void set_response_deadline(time_point deadline) { response_deadline_ = deadline; }

 private:
  using timed_request = std::pair<time_point, request_id>;

  struct immediate_answer {
    request_id id{};
    answer final;
  };

  void add_primary(request_entry& arrival, group_stage stage);
  void add_duplicate(request_entry& arrival, request_id primary_id);
  void respond_at_next_step(const request_entry& arrival, const answer& final);
  request_entry* find_primary(request_id id, group_stage stage);  // null: none is in that stage
  void cancel_primary(request_entry& primary);
  void record_result(request_entry& primary, bool succeeded, std::string_view result);
  void inquire(request_entry& primary);
  void respond_to_all(request_entry& primary, const answer& final, run_end reported);
  void close_group(request_entry& primary, const answer& final, run_end reported);
  void remove_primary(request_entry& primary, run_end reported);
  void send_immediate_answers();
  void answer_overdue_recordings();
  void retry_inquiries();

  request_table& requests_;
  admission& admission_;
  const admission_policy::settings& settings_;
  telemetry::counters& counters_;
  idempotency_store* store_ = nullptr;
  duration finish_within_{};
  std::vector<immediate_answer> immediate_answers_;  // sent at the next step, without the policy
  std::set<timed_request> recording_deadlines_;      // of primaries that are answered before their result is
                                                     // recorded, when that takes too long
  std::set<timed_request> inquiry_retries_;
  time_point now_;
  time_point response_deadline_ = time_point::max();
};

}  // namespace marblewharf
