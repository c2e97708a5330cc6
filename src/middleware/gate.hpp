// Admission for the handlers of a threaded server: the dispatcher under a lock. Each of the server's threads
// hands in its request and blocks here until its handler may run or the request is answered; a thread of the
// gate's own drives the dispatcher's timers. All public functions are safe to call from any thread.
#pragma once

#include <condition_variable>
#include <ctime>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

#include "core/dispatcher.hpp"
#include "idempotency/durable_service.hpp"
#include "marblewharf/middleware.hpp"

namespace marblewharf::middleware::detail {

// Where an attempt to run a handler stands.
//
//   from     event                                                   to
//   -------  ------------------------------------------------------  --------
//   (none)   gate_impl::admit(), finish_keyed()                      waiting
//   waiting  the policy runs it                                      running
//   waiting  the policy rejects it; the store has no capacity        rejected
//   waiting  its deadline passes, its outcome is unknown, or its     failed
//            key was used with other content
//   waiting  the result of its key is stored                         answered
enum class attempt_state { waiting, running, rejected, failed, answered };

// Why an attempt failed.
enum class failure_cause { deadline_exceeded, outcome_unknown, key_conflict };

struct attempt {
  request_id id = 0;
  attempt_state state = attempt_state::waiting;
  failure_cause cause = failure_cause::deadline_exceeded;  // where failed
  duration retry_after{};                                  // where rejected
  time_point started_at{};                                 // where running
  std::string result;                                      // where answered
};

class gate_impl : private front, private backend {
 public:
  // Throws std::invalid_argument for settings, std::runtime_error for a folder that cannot be used.
  gate_impl(const admission_policy::settings& settings, std::optional<keyed_settings> keys,
            std::uint64_t seed);
  ~gate_impl() override;

  // The settings of a class whose requests have keys; null: they have none.
  const keyed_settings* keys_of(unsigned request_class) const;

  // Blocks until the handler may run (`running`) or the attempt has another end. `key`, `fingerprint`: of a
  // keyed request.
  attempt admit(const traits& request_traits, std::string key = {}, std::uint64_t fingerprint = 0);

  // The handler of a running attempt ended. False: the request had failed with its deadline exceeded
  // meanwhile.
  bool finish(const attempt& running, bool succeeded);

  // The same of a keyed request: blocks until the response is stored or the request has failed. No response:
  // the handler left none that can be stored, and the outcome is unknown.
  attempt finish_keyed(const attempt& running, const std::optional<std::string>& response);

  void drain(duration time_left);
  bool healthy();
  tally counts();

 private:
  // front and backend. Called with the lock held.
  void respond(request_id id, const answer& final) override;
  void close_idle(duration) override {}
  void run(request_id id, const request& what) override;
  void pause(request_id) override {}  // a handler cannot be stopped from outside
  void resume(request_id) override {}

  // With the lock held.
  void open_store(const admission_policy::settings& settings);
  void step();
  void step_and_notify();
  void measure_cpu(time_point now);
  bool take_failed_while_running(request_id id) { return failed_while_running_.erase(id) > 0; }
  void wait_for_answer(std::unique_lock<std::mutex>& lock, const attempt& waiting);

  void drive_timers();  // the gate's own thread

  std::mutex mutex_;  // guards all below
  std::condition_variable changed_;
  telemetry::counters counters_;
  double cores_;
  std::vector<std::string> gauges_;
  const std::optional<keyed_settings> keys_;
  dispatcher dispatcher_;
  store::posix_file_system files_;
  std::unordered_map<request_id, attempt*> waiting_;  // owned by the threads that wait
  std::unordered_set<request_id> failed_while_running_;
  double cpu_busy_ =
      1;  // share of the cores; until it is measured, the policy starts no run beyond the cores
  std::clock_t cpu_used_ = std::clock();
  time_point measured_at_;
  bool stopping_ = false;
  std::unique_ptr<idempotency::durable_service> store_;
  std::thread timer_thread_;  // the last member: it uses all others
};

}  // namespace marblewharf::middleware::detail
