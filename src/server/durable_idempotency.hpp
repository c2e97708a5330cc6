// Wiring of the idempotency service that keeps keys and results on disk.
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

// Opens the durable service and hands it to the dispatcher. While another process holds the folder (the
// predecessor in a hot restart) keyed requests are rejected and the opening is retried from step(). Owned by
// the reactor's thread; what it is given outlives it.
class durable_idempotency {
 public:
  // Opens the folder that `settings.keyed` names, or schedules the first retry where another process holds
  // it. `notify`: step() has something to do; called from another thread. Throws store::io_error or
  // store::damaged where the folder cannot be used.
  durable_idempotency(const config& settings, store::file_system& file_system, dispatcher& requests,
                      telemetry::counters& counters, std::function<void()> notify);
  durable_idempotency(const durable_idempotency&) = delete;
  durable_idempotency& operator=(const durable_idempotency&) = delete;

  // Retries the opening when that is due, else passes on what the disk has done since the last call.
  void step(time_point now);
  // When step() is to open the folder; time_point::max() once it is open.
  time_point next_open_attempt() const { return next_open_attempt_; }
  // Keyed requests whose result is not on disk yet; 0 while the folder is not open.
  std::size_t open_requests() const;

 private:
  void open();
  void retry_open(time_point now);

  const config& config_;
  store::file_system& file_system_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  const std::function<void()> notify_;
  std::unique_ptr<idempotency::durable_service> durable_service_;  // null: another process holds the folder
  idempotency::deferred_service deferred_service_;                 // what the dispatcher asks
  time_point next_open_attempt_ = time_point::max();
};

}  // namespace marblewharf::server
