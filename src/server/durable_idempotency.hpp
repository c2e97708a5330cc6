// Sets up the idempotency service that stores keys and results on disk.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "idempotency/deferred_service.hpp"
#include "idempotency/durable_service.hpp"
#include "store/file_system.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

// Opens the durable service and connects it to the dispatcher. While another process (the predecessor in a
// hot restart) has locked the folder, keyed requests are rejected and step() retries to open the folder.
// Owned by the reactor's thread. All arguments that are passed by reference outlive this object.
class durable_idempotency {
 public:
  // Opens the folder that `settings.keyed` names, or schedules the first retry if another process has locked
  // the folder. `notify` is called, on another thread, when step() has work to do. Throws store::io_error or
  // store::damaged if the folder cannot be used.
  durable_idempotency(const config& settings, store::file_system& file_system, dispatcher& requests,
                      telemetry::counters& counters, std::function<void()> notify);
  durable_idempotency(const durable_idempotency&) = delete;
  durable_idempotency& operator=(const durable_idempotency&) = delete;

  // Retries to open the folder if that is due; otherwise reports to the dispatcher which disk operations
  // have completed since the last call.
  void step(time_point now);
  // When step() tries to open the folder next; time_point::max() once the folder is open.
  time_point next_open_attempt() const { return next_open_attempt_; }
  // The number of keyed requests whose result is not on disk yet; 0 while the folder is not open.
  std::size_t open_requests() const;

 private:
  void open();
  void retry_open(time_point now);

  const config& config_;
  store::file_system& file_system_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  const std::function<void()> notify_;
  // Null while another process has locked the folder.
  std::unique_ptr<idempotency::durable_service> durable_service_;
  idempotency::deferred_service deferred_service_;  // the store that the dispatcher uses
  time_point next_open_attempt_ = time_point::max();
};

}  // namespace marblewharf::server
