#include "server/memory_idempotency.hpp"

#include "server/random_seed.hpp"

namespace marblewharf::server {
namespace {

idempotency::memory_service_options options_of(const config& settings) {
  const memory_idempotency_config& repeats = *settings.memory_idempotency;
  idempotency::memory_service_options options;
  options.windows = repeats.windows;
  options.longest_wait = repeats.longest_deadline;
  options.memory = repeats.max_bytes;
  options.largest_result = settings.bounds.max_result_bytes;
  options.max_open_keys = settings.bounds.max_open_keyed_requests;
  options.salt = random_seed();
  return options;
}

}  // namespace

std::unique_ptr<idempotency::memory_service> make_memory_idempotency(const config& settings,
                                                                     dispatcher& requests,
                                                                     telemetry::counters& counters) {
  if (!settings.memory_idempotency) return nullptr;
  auto service = std::make_unique<idempotency::memory_service>(options_of(settings), counters);
  service->set_observer(requests);
  // A run past its deadline is stopped at once. Finishing the run would have no benefit, because results are
  // lost with the process.
  constexpr duration finish_within{};
  requests.enable_idempotency(*service, finish_within);
  return service;
}

}  // namespace marblewharf::server
