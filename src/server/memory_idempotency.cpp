#include "server/memory_idempotency.hpp"

#include "server/random_seed.hpp"

namespace marblewharf::server {
namespace {

idempotency::memory_service_options options_of(const config& settings) {
  const repeats_config& repeats = *settings.repeats;
  idempotency::memory_service_options options;
  options.windows = repeats.windows;
  options.longest_wait = repeats.longest_wait;
  options.memory = repeats.memory;
  options.largest_result = settings.bounds.result;
  options.open = settings.bounds.keyed_open;
  options.salt = random_seed();
  return options;
}

}  // namespace

std::unique_ptr<idempotency::memory_service> make_memory_idempotency(const config& settings,
                                                                     dispatcher& requests,
                                                                     telemetry::counters& counters) {
  if (!settings.repeats) return nullptr;
  auto service = std::make_unique<idempotency::memory_service>(options_of(settings), counters);
  service->set_observer(requests);
  // A run past its deadline is stopped at once. Finishing the run would have no benefit, because results are
  // lost with the process.
  constexpr duration finish_within{};
  requests.use(*service, finish_within);
  return service;
}

}  // namespace marblewharf::server
