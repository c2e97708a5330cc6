// Sets up the idempotency service that stores keys and results in memory.
#pragma once

#include <memory>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "idempotency/memory_service.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

// Creates the service and connects it to the dispatcher `requests`. Returns null if the settings have no
// `repeats`. Both `requests` and `counters` outlive the service.
std::unique_ptr<idempotency::memory_service> make_memory_idempotency(const config& settings,
                                                                     dispatcher& requests,
                                                                     telemetry::counters& counters);

}  // namespace marblewharf::server
