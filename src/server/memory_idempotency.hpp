// Wiring of the idempotency service that keeps keys and results in memory.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "idempotency/memory_service.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

// Null where the settings have no `repeats`. The dispatcher uses the service from then on; both `requests`
// and `counters` outlive it.
std::unique_ptr<idempotency::memory_service> make_memory_idempotency(const config& settings,
                                                                     dispatcher& requests,
                                                                     telemetry::counters& counters);

}  // namespace marblewharf::server
