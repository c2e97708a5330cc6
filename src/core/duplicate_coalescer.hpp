// Idempotency in the dispatcher. Among the requests with the same key, the primary runs and the duplicates
// share its outcome. Invariants:
//
// - A primary is passed to its backend only after its intent is durable, and at most once.
// - No request is answered `served` before the result is recorded.
// - A run continues after all its clients have cancelled or were answered, so that later duplicates get its
//   result.
//
// Not synchronized: owned by the dispatcher's thread.
#pragma once

#include <optional>
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
  // All arguments that are passed by reference outlive this object.
  duplicate_coalescer(request_table& requests, admission& policy, const admission_policy::settings& settings,
                      telemetry::counters& counters, time_point now);

  // Stores the keys and results of a class in `store`, which outlives this object. `finish_within`: how long
  // a run of the class may continue after its deadline before a pause decision reaches its backend.
  void set_store(std::size_t request_class, idempotency_store& store, duration finish_within);

  // Whether the dispatcher has to pass this request to on_arrival().
  bool handles(const request& details) const {
    const bool keyed_class =
        details.request_class < stores_.size() && stores_[details.request_class].store != nullptr;
    return keyed_class && !details.key.empty();
  }

  // ---- Events of requests ---------------------------------------------------------------------------------
  void on_arrival(request_entry& arrival);
  // `entry`: a primary or a duplicate that was not answered.
  void on_client_cancelled(request_entry& entry);
  void on_run_ended(request_entry& primary, run_end end, std::string_view result, duration elapsed);
  void on_backend_rejected(request_entry& primary, const answer& final_answer);
  void on_server_unreachable(request_entry& primary);
  void on_inquired(request_id primary_id, inquiry_outcome end, std::string_view result);
  // The handling of an arrival failed with an exception: ends what is held for the request and answers it as
  // failed at the next step. Also for requests without a key.
  void abandon_arrival(request_entry& arrival);
  // The handling of a later event of a request that is not a primary failed: ends what its group and its
  // store hold for it, if anything.
  void abandon_claim(const request_entry& entry);
  // The handling of a later event of a primary failed: answers its group and removes it.
  void abandon_primary(request_entry& primary);

  // ---- Decisions of the policy ----------------------------------------------------------------------------
  void start_primary(request_entry& primary);
  void pause_primary(request_entry& primary);
  void reject_primary(request_entry& primary, const answer& final_answer);
  void fail_primary(request_entry& primary, const answer& final_answer);
  // Fetches the stored result for a stored_result_reader, or sends the inquiry of an inquiring primary.
  void share_result(request_entry& entry);
  // Removes a duplicate from its group because it was answered separately or its client cancelled.
  void remove_from_group(const request_entry& duplicate);

  // ---- Replies of the store, see idempotency_observer -----------------------------------------------------
  void on_intent_written(request_id primary_id, bool durable);
  void on_result_recorded(request_id primary_id);
  void on_result_fetched(request_id id, const fetched_result& fetched);

  // Sends the answers that are due.
  void step(time_point now);
  // Removes and returns the next primary for which an inquiry is due, if any. The primary may have ended.
  std::optional<request_id> take_due_inquiry();
  // Asks the backend for the outcome of a primary's run.
  void inquire(request_entry& primary);
  // When step() has to be called next; time_point::min(): at once; time_point::max(): no answer or inquiry is
  // scheduled.
  time_point due() const;
  // Sets the time at which clients that wait for a result to be recorded are answered without it, because the
  // process ends.
  void set_response_deadline(time_point deadline) { response_deadline_ = deadline; }

 private:
  using timed_request = std::pair<time_point, request_id>;

  // Where the keys and results of a class are stored.
  struct class_store {
    idempotency_store* store = nullptr;  // null: requests of the class have no keys
    duration finish_within{};
  };

  struct immediate_answer {
    request_id id{};
    answer final_answer;
  };

  idempotency_store& store_of(const request_entry& entry) {
    return *stores_[entry.details.request_class].store;
  }
  void add_primary(request_entry& arrival, group_stage stage);
  void add_duplicate(request_entry& arrival, request_id primary_id);
  void respond_at_next_step(const request_entry& arrival, const answer& final_answer);
  request_entry* find_primary(request_id id, group_stage stage);  // null if no primary `id` is in `stage`
  void cancel_primary(request_entry& primary);
  void write_intent(request_entry& primary);
  void record_result(request_entry& primary, bool succeeded, std::string_view result);
  void respond_to_all(request_entry& primary, const answer& final_answer, run_end reported_end);
  void close_group(request_entry& primary, const answer& final_answer, run_end reported_end);
  void remove_primary(request_entry& primary, run_end reported_end);
  void send_immediate_answers();
  void answer_overdue_recordings();

  request_table& requests_;
  admission& admission_;
  const admission_policy::settings& settings_;
  telemetry::counters& counters_;
  std::vector<class_store> stores_;                  // by class
  std::vector<immediate_answer> immediate_answers_;  // sent at the next step; the policy is not involved
  // Latest times of the answers to primaries whose result is being recorded.
  std::set<timed_request> recording_deadlines_;
  std::set<timed_request> inquiry_retries_;  // times of the next inquiries
  time_point now_;
  time_point response_deadline_ = time_point::max();
};

}  // namespace marblewharf
