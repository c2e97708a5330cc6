// The dispatcher under a lock, its front and backend being the server's threads that wait here, and a thread
// that lets time pass for it.
#pragma once

#include <condition_variable>
#include <ctime>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "core/dispatcher.hpp"
#include "idempotency/durable_service.hpp"
#include "marblewharf/middleware.hpp"

namespace marblewharf::middleware::detail {

class gate_impl : private front, private backend {
 public:
  gate_impl(admission_policy::settings settings, std::optional<keyed_settings> keys, std::uint64_t seed);
  ~gate_impl() override;

  enum class state { waiting, running, refused, failed, answered };
  struct visit {
    request_id id = 0;
    state where = state::waiting;
    bool overdue = false, in_doubt = false, conflict = false;  // where it failed
    duration retry_after{};
    time_point begun{};
    std::string result;  // where it is answered
  };

  // Whether its requests have keys; null where they have not.
  const keyed_settings* keys_of(unsigned request_class) const;

  // Blocks until it may run or is answered. `key`, `content`: of a keyed request.
  visit enter(const traits& t, std::string key = {}, std::uint64_t content = 0);

  // Its handler ended. False: it had been given up meanwhile.
  bool leave(const visit& v, bool well);

  // The same of a keyed request: blocks until the response is on disk or the request is given up. None: the
  // handler left no response that could be kept.
  visit leave_keyed(const visit& v, const std::optional<std::string>& response);

  void drain(duration left);
  bool healthy();
  tally counts();

 private:
  void respond(request_id id, const answer& final) override;
  void close_idle(duration) override {}
  void run(request_id id, const request&) override;
  void pause(request_id) override {}
  void resume(request_id) override {}

  void step();
  void measure(time_point now);
  void let_time_pass();

  mutable std::mutex guard_;
  std::condition_variable changed_;
  telemetry::counters counters_;
  double cores_;
  std::vector<std::string> gauges_;
  std::optional<keyed_settings> keys_;
  dispatcher dispatcher_;
  store::posix_file_system disk_;
  std::unordered_map<request_id, visit*> visits_;  // that wait
  std::unordered_map<request_id, bool> given_up_;  // that run
  double busy_ = 1;  // until it was measured: the module then adds no run beyond the cores
  std::clock_t measured_ = std::clock();
  time_point measured_at_;
  bool stopping_ = false;
  std::unique_ptr<idempotency::durable_service> keeper_;
  std::thread ticker_;
};

}  // namespace marblewharf::middleware::detail
