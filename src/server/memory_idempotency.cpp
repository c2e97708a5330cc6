#include "server/memory_idempotency.hpp"

#include <algorithm>
#include <utility>

#include "lifecycle/hot_restart.hpp"
#include "net/reactor.hpp"
#include "server/random_seed.hpp"
#include "server/temporary_folder.hpp"

namespace marblewharf::server {
namespace {

// The memory for keys and results: one part for this process, one for the log, which may be in memory, too.
constexpr std::size_t memory_parts = 2;
constexpr std::size_t segments_per_log = 8;
constexpr duration join_retry_interval = std::chrono::milliseconds(20);
constexpr duration rejected_retry_after = std::chrono::seconds(1);

std::size_t bytes_per_part(const config& settings) {
  return settings.memory_idempotency->max_bytes / memory_parts;
}

idempotency::memory_service_options options_of(const config& settings) {
  const memory_idempotency_config& repeats = *settings.memory_idempotency;
  idempotency::memory_service_options options;
  options.windows = repeats.windows;
  options.longest_wait = repeats.longest_deadline;
  options.memory = bytes_per_part(settings);
  options.largest_result = settings.bounds.max_result_bytes;
  if (settings.uwsgi) options.largest_result += settings.bounds.max_response_head_bytes;
  options.max_open_keys = settings.bounds.max_open_keyed_requests;
  options.salt = random_seed();
  for (const auto& request_class : settings.policy_settings.classes)
    options.classes.push_back(request_class.name);
  for (const auto& tenant : settings.policy_settings.tenants) options.tenants.push_back(tenant.name);
  return options;
}

store::shared_log_options log_options_of(const config& settings, const std::string& folder) {
  const memory_idempotency_config& repeats = *settings.memory_idempotency;
  const duration longest_window = *std::max_element(repeats.windows.begin(), repeats.windows.end());
  return {.folder = folder,
          .max_bytes = bytes_per_part(settings),
          .segment_bytes = bytes_per_part(settings) / segments_per_log,
          .max_lifetime = (longest_window + repeats.longest_deadline).count(),
          .member = random_seed(),
          .salt = random_seed()};
}

}  // namespace

memory_idempotency::memory_idempotency(const config& settings, dispatcher& requests,
                                       telemetry::counters& counters)
    : config_(settings),
      dispatcher_(requests),
      counters_(counters),
      folder_(lifecycle::shared_keys_path(temporary_folder(), settings.name, settings.listen.host,
                                          settings.listen.port)),
      deferred_service_(rejected_retry_after, counters) {
  // A run past its deadline is stopped at once: its cores are needed for requests that can still be in time.
  constexpr duration finish_within{};
  dispatcher_.enable_idempotency(deferred_service_, finish_within, config_.memory_idempotency->windows);
  try_join(net::steady_now());
}

void memory_idempotency::try_join(time_point now) {
  try {
    open_service(join(now), now);
  } catch (const store::folder_locked&) {  // another process is appending at this moment
    next_join_attempt_ = now + join_retry_interval;
  } catch (const store::folder_unusable& error) {
    telemetry::log("handover",
                   "cannot join the log of shared keys: %s; a process that replaces this one will not know "
                   "its keys",
                   error.what());
    open_service(nullptr, now);
  } catch (const store::io_error& error) {
    next_join_attempt_ = now + join_retry_interval;
    if (!std::exchange(failure_logged_, true))
      telemetry::log("handover",
                     "cannot join the log of shared keys: %s; keyed requests are rejected meanwhile",
                     error.what());
  }
}

std::unique_ptr<store::shared_log> memory_idempotency::join(time_point now) {
  return std::make_unique<store::shared_log>(log_options_of(config_, folder_), now.count());
}

void memory_idempotency::open_service(std::unique_ptr<store::shared_log> log, time_point now) {
  idempotency::memory_service_options options = options_of(config_);
  std::unique_ptr<idempotency::shared_keys> keys;
  if (log) {
    options.salt = log->salt();
    keys = std::make_unique<idempotency::shared_keys>(std::move(log), now);
    telemetry::log("handover", "joined the log of shared keys: %zu keys of other processes",
                   keys->peer_run_count());
  }
  service_ =
      std::make_unique<idempotency::memory_service>(std::move(options), counters_, std::move(keys), now);
  service_->set_observer(dispatcher_);
  deferred_service_.open_with(*service_);
  next_join_attempt_ = time_point::max();
}

void memory_idempotency::step(time_point now) {
  if (!service_ && now >= next_join_attempt_) try_join(now);
  if (service_) service_->step(now);
}

time_point memory_idempotency::due() const {
  return service_ ? service_->due() : next_join_attempt_;
}

std::unique_ptr<memory_idempotency> make_memory_idempotency(const config& settings, dispatcher& requests,
                                                            telemetry::counters& counters) {
  if (!settings.memory_idempotency) return nullptr;
  return std::make_unique<memory_idempotency>(settings, requests, counters);
}

}  // namespace marblewharf::server
