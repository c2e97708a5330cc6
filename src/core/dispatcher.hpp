// The table of requests between fronts, the decisions and backends. It holds the invariant whatever any of
// them does: one final answer for each request, no refusal once it was handed to a backend, and an effect is
// handed over at most once.
//
// Of requests with a key, one leads and those that repeat it follow: one run, one answer to each. The intent
// is on disk before the run is handed over, the result before anybody hears 'served'; a leader whose caller
// has left goes on for those that follow, and one that was handed over goes on for those to come.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission.hpp"
#include "core/idempotency_store.hpp"
#include "core/request.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf {

// Where requests come from and answers go.
class front {
 public:
  virtual ~front() = default;
  virtual void respond(request_id id, const answer& final) = 0;
  virtual void close_idle(duration after) = 0;  // 0 = do not
};

// Where requests run. It reports each end once, to dispatcher::on_end.
class backend {
 public:
  virtual ~backend() = default;
  virtual void run(request_id id, const request& what) = 0;
  virtual void pause(request_id id) = 0;
  virtual void resume(request_id id) = 0;
  // Asks what became of a write whose run nobody heard the end of, once; dispatcher::on_inquired() is told.
  // False: it cannot be asked.
  virtual bool inquire(request_id, const request&) { return false; }
  // A run that asked to call, by dispatcher::on_call_needed: it may, for so long; or it goes on without.
  virtual void place_call(request_id, duration) {}
  virtual void skip_call(request_id) {}
};

enum class inquiry_end { result, never_ran, unknown };

class dispatcher : public idempotency_observer {
 public:
  dispatcher(const admission_policy::settings& settings, std::uint64_t seed, time_point now,
             telemetry::counters& counters);

  void add(front& f) { fronts_.push_back(&f); }

  // Requests with a key are kept by it; a keyed run that was given up may go on for `finish_within`, as an
  // effect that is broken off is one that nobody knows the outcome of.
  void use(idempotency_store& keys, duration finish_within);

  // What the server behind says of its own start. Until then it counts as cold, which is the safe guess.
  void on_server_up(bool cold, time_point since);

  request_id on_arrival(front& from, backend& to, request what);
  void on_client_cancelled(request_id id);  // no answer is owed any longer
  void on_end(request_id id, run_end how, std::string_view result, duration elapsed);
  // A backend has no room for a run that it was handed, and nothing of it began: refused, with the time to
  // return.
  void on_backend_rejected(request_id id, duration come_back);
  // A run cannot go on before it has called others; it has what it called for, or gave up on it.
  void on_call_needed(request_id id);
  void on_call_ended(request_id id, duration elapsed);
  void on_drain(duration left);
  // Hears of each request as it is read; none: nobody does.
  void watch_arrivals(std::function<void(const request&)> watch) { watch_ = std::move(watch); }
  // What this node may act on of wholes that it shares with others, from the next step on.
  void on_quota_update(const quota_update& given) {
    quota_ = given;
    admission_.report(given);
  }
  void on_inquired(request_id id, inquiry_end how, std::string_view result);

  // key_events
  void on_intended(request_id leader, bool durable) override;
  void on_recorded(request_id leader) override;
  void on_fetched(request_id id, bool found, bool served, std::string_view result) override;

  void step(time_point now, std::span<const double> gauges);
  // When step() is wanted next; long ago: at once.
  time_point due() const;

  bool healthy() const { return healthy_; }
  bool draining() const { return draining_; }
  std::size_t open() const { return table_.size(); }
  // Requests read whose caller is still owed an answer; runs that go on after their answer are not among
  // them. Looks at each entry: for the operators' figures, not for each request.
  std::size_t unanswered() const;
  // Requests handed to a backend that have not ended, and those that wait to be, all of them. Looks at each
  // entry.
  struct load {
    std::size_t running = 0, waiting = 0;
  };
  load in_hand() const;

 private:
  // Of a request that leads for its key.
  struct lead {
    enum class stage { held, intending, handed, recording, asking };
    stage where = stage::held;
    bool kept = false;               // the module keeps its key
    bool in_module = true;           // the module waits to hear its end
    bool served = false;             // while recording
    std::string result;              // while recording
    time_point answer_by{};          // while recording: the module thinks it over
    std::vector<request_id> joined;  // share its outcome
  };
  struct entry {
    request what;
    front* from = nullptr;
    backend* to = nullptr;
    bool started = false;
    bool answered = false;  // or its caller has gone
    std::unique_ptr<lead> leads;
    request_id follows = 0;  // the one whose outcome it shares
    bool fetches = false;    // gets a kept result
  };
  using table = std::unordered_map<request_id, entry>;

  void apply(const run& d);
  void apply(const pause& d);
  void apply(const resume& d);
  void apply(const refuse& d);
  void apply(const fail& d);
  void apply(const place& d);
  void apply(const skip& d);
  void apply(const keep& d);
  void apply(const forget& d);
  void apply(const share& d);
  void apply(const health& d) { healthy_ = d.good; }
  void apply(const close_idle& d);
  void conclude(table::iterator at, const answer& final);

  // Keyed requests (dispatcher_keys.cpp).
  void arrive_with_key(request_id id, entry& e);
  void gone_with_key(table::iterator at);
  void end_of_leader(table::iterator at, run_end how, std::string_view result, duration elapsed);
  void pause_leader(table::iterator at);
  void turn_leader_away(table::iterator at, const answer& final);
  void fail_leader(table::iterator at, const answer& final);
  void leave_leader(table::iterator at);
  void ask(table::iterator at);
  void record(table::iterator at, bool served, std::string_view result);
  void tell_all(table::iterator at, const answer& final, run_end how);
  void close_leader(table::iterator at, run_end how);
  void step_keys();

  std::function<void(const request&)> watch_;
  std::optional<quota_update> quota_;  // the latest, where any were given
  admission_policy::settings settings_;
  std::uint64_t seed_;
  telemetry::counters& counters_;
  admission admission_;
  table table_;
  std::vector<front*> fronts_;
  idempotency_store* keys_ = nullptr;
  duration finish_within_{};
  std::vector<std::pair<request_id, answer>> prompt_;  // answered at the next step, unseen by the module
  std::set<std::pair<time_point, request_id>>
      recording_;  // by the time when the leader's caller is answered anyhow
  std::set<std::pair<time_point, request_id>> asks_;  // inquiries to come
  time_point now_{};
  time_point answer_all_by_ = time_point::max();  // once it drains
  request_id last_id_ = 0;
  bool read_any_ = false;
  bool healthy_ = true;
  bool draining_ = false;
};

}  // namespace marblewharf
