// Admission control for the handlers of a threaded server: a dispatcher that is protected by a lock. Each of
// the server's threads submits its request and blocks until its handler may run or the request is answered. A
// thread owned by the gate drives the dispatcher's timers. All public functions are safe to call from any
// thread.
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

// State of an attempt to run a handler.
//
//   from     event                                                   to
//   -------  ------------------------------------------------------  --------
//   (none)   gate_impl::admit(), finish_keyed()                      waiting
//   waiting  the policy starts the run                               running
//   waiting  the policy rejects the request, or the store is full    rejected
//   waiting  the deadline passes, the outcome is unknown, or the     failed
//            key was used with different content
//   waiting  the result of the key is stored                         answered
enum class attempt_state { waiting, running, rejected, failed, answered };

// Why an attempt failed.
enum class failure_cause { deadline_exceeded, outcome_unknown, key_conflict };

struct attempt {
  request_id id = 0;
  attempt_state state = attempt_state::waiting;
  failure_cause cause = failure_cause::deadline_exceeded;  // set in state failed
  duration retry_after{};                                  // set in state rejected
  time_point started_at{};                                 // set in state running
  std::string result;                                      // set in state answered
};

class gate_impl : private front, private backend {
 public:
  // Throws std::invalid_argument for invalid settings and std::runtime_error for a folder that cannot be
  // used.
  gate_impl(const admission_policy::settings& settings, std::optional<keyed_settings> keys,
            std::uint64_t seed,
            std::unique_ptr<store::file_system> files = std::make_unique<store::posix_file_system>());
  ~gate_impl() override;

  // Returns the settings of a keyed class, or null if the class is not keyed.
  const keyed_settings* keys_of(unsigned request_class) const;

  // Blocks until the handler may run (state `running`) or the request is rejected, failed or answered. `key`,
  // `fingerprint`: set for a keyed request.
  attempt admit(const traits& request_traits, std::string key = {}, std::uint64_t fingerprint = 0);

  // Reports that the handler of a running attempt ended. Returns false if the request failed in the meantime
  // because its deadline passed.
  bool finish(const attempt& running, bool succeeded);

  // Reports that the handler of a keyed request ended. Blocks until the response is stored or the request has
  // failed. Without a response (the handler threw, or its response is too large) the outcome is unknown.
  attempt finish_keyed(const attempt& running, const std::optional<std::string>& response);

  void drain(duration time_left);
  bool healthy();
  tally counts();

 private:
  // Functions of front and backend. Called with the lock held.
  void respond(request_id id, const answer& final) override;
  void close_idle(duration) override {}
  void run(request_id id, const request& started) override;
  void pause(request_id) override {}  // a handler cannot be stopped from outside
  void resume(request_id) override {}

  // These functions require the lock.
  void open_store(const admission_policy::settings& settings);
  void step();
  void step_and_notify();
  void measure_cpu(time_point now);
  bool take_failed_while_running(request_id id) { return failed_while_running_.erase(id) > 0; }
  void wait_for_answer(std::unique_lock<std::mutex>& lock, const attempt& waiting);

  void drive_timers();  // body of the timer thread

  std::mutex mutex_;  // guards all members below
  std::condition_variable changed_;
  telemetry::counters counters_;
  double cores_;
  std::vector<std::string> gauges_;
  const std::optional<keyed_settings> keys_;
  dispatcher dispatcher_;
  const std::unique_ptr<store::file_system> files_;
  std::unordered_map<request_id, attempt*> waiting_;  // owned by the threads that wait
  std::unordered_set<request_id> failed_while_running_;
  // CPU utilization of the cores, 0 to 1. The initial 1 keeps the policy from running more requests than
  // cores before the first measurement.
  double cpu_busy_ = 1;
  std::clock_t cpu_used_ = std::clock();  // CPU time that the process had used at `measured_at_`
  time_point measured_at_;
  bool stopping_ = false;
  std::unique_ptr<idempotency::durable_service> store_;
  std::thread timer_thread_;  // declared last, because it uses all other members
};

}  // namespace marblewharf::middleware::detail
