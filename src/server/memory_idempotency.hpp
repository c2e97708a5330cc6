// Sets up the idempotency service that stores keys and results in memory and shares them with the processes
// of the node that this process replaces, or that replace it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "idempotency/deferred_service.hpp"
#include "idempotency/memory_service.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

// Joins the log of shared keys in the temporary folder and connects the service to the dispatcher. While the
// log cannot be joined, keyed requests are rejected, because another process may have run them, and step()
// retries to join. If its folder is unusable, for this process and others, the keys stay in this process.
// Owned by the reactor's thread. All arguments outlive this object.
class memory_idempotency {
 public:
  // `settings` has `memory_idempotency`.
  memory_idempotency(const config& settings, dispatcher& requests, telemetry::counters& counters);
  memory_idempotency(const memory_idempotency&) = delete;
  memory_idempotency& operator=(const memory_idempotency&) = delete;

  // Retries to join the log if that is due; otherwise exchanges events with the other processes and sends the
  // pending replies to the dispatcher.
  void step(time_point now);
  // When step() has to be called next.
  time_point due() const;
  // The number of keyed requests whose run has not ended or has not begun.
  std::size_t open_requests() const { return service_ ? service_->table().open() : 0; }

 private:
  void try_join(time_point now);
  std::unique_ptr<store::shared_log> join(time_point now);
  // `log`: null if this process shares its keys with no other.
  void open_service(std::unique_ptr<store::shared_log> log, time_point now);

  const config& config_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  const std::string folder_;                              // of the shared log
  std::unique_ptr<idempotency::memory_service> service_;  // null while the log cannot be joined
  idempotency::deferred_service deferred_service_;        // the store that the dispatcher uses
  time_point next_join_attempt_ = time_point::max();
  bool failure_logged_ = false;
};

// Returns null if the settings have no class whose keys are kept in memory.
std::unique_ptr<memory_idempotency> make_memory_idempotency(const config& settings, dispatcher& requests,
                                                            telemetry::counters& counters);

}  // namespace marblewharf::server
