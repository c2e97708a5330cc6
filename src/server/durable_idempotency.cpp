#include "server/durable_idempotency.hpp"

#include <algorithm>
#include <chrono>
#include <cinttypes>
#include <cstdint>
#include <exception>
#include <utility>

#include "net/reactor.hpp"
#include "server/random_seed.hpp"
#include "transaction/coordinator.hpp"

namespace marblewharf::server {
namespace {

idempotency::durable_service_options options_of(const config& settings) {
  const keyed_config& keyed = *settings.keyed;
  idempotency::durable_service_options options;
  options.folder = keyed.folder;
  options.windows = keyed.windows;
  for (const auto& request_class : settings.policy_settings.classes) {
    options.classes.push_back(request_class.name);
    options.longest_wait = std::max(options.longest_wait, request_class.deadline);
  }
  for (const auto& tenant : settings.policy_settings.tenants) options.tenants.push_back(tenant.name);
  if (settings.uwsgi) {
    for (const endpoint& server : settings.uwsgi->servers)
      options.max_server_name_bytes = std::max(options.max_server_name_bytes, name_of(server).size());
  }
  if (settings.transactions)
    options.max_server_name_bytes = std::max(options.max_server_name_bytes, transaction::log_name_bytes);
  options.max_key_bytes = keyed.max_key_bytes;
  options.max_result_bytes = settings.bounds.max_result_bytes + settings.bounds.max_response_head_bytes;
  options.max_keys = keyed.max_keys;
  options.max_open_keys = settings.bounds.max_open_keyed_requests;
  options.max_concurrent_reads = settings.bounds.max_stored_result_reads;
  options.commit_records = settings.bounds.max_records_per_sync;
  options.segment = keyed.segment_bytes;
  options.space = keyed.max_folder_bytes;
  options.retry_disk = keyed.disk_retry_interval;
  // An inquiry about a transaction reads this node's own folder and needs no inquiry variable.
  const bool can_inquire = !keyed.inquiry_var.empty() || settings.transactions.has_value();
  options.inquiry_tries = can_inquire ? keyed.inquiry_tries : 0;
  options.inquiry_pause = keyed.inquiry_retry_delay;
  options.salt = random_seed();
  options.unix_now = std::chrono::system_clock::now().time_since_epoch();
  options.steady_now = net::steady_now();
  return options;
}

}  // namespace

durable_idempotency::durable_idempotency(const config& settings, store::file_system& file_system,
                                         dispatcher& requests, telemetry::counters& counters,
                                         std::function<void()> notify)
    : config_(settings),
      file_system_(file_system),
      dispatcher_(requests),
      counters_(counters),
      notify_(std::move(notify)),
      deferred_service_(settings.keyed->disk_retry_interval, counters) {
  dispatcher_.enable_idempotency(deferred_service_, settings.keyed->max_overrun, settings.keyed->windows);
  try {
    open();
  } catch (const store::folder_locked& error) {  // the predecessor in a hot restart has locked the folder
    telemetry::log("handover", "%s; keyed requests are rejected until the folder is released", error.what());
    next_open_attempt_ = net::steady_now() + settings.keyed->disk_retry_interval;
  }
}

// Recovers the keys and results that the predecessor recorded in the folder, as after a restart.
void durable_idempotency::open() {
  durable_service_ =
      std::make_unique<idempotency::durable_service>(file_system_, options_of(config_), counters_, notify_);
  durable_service_->set_observer(dispatcher_);
  deferred_service_.open_with(*durable_service_);
}

void durable_idempotency::retry_open(time_point now) {
  next_open_attempt_ = now + config_.keyed->disk_retry_interval;
  const char* folder = config_.keyed->folder.c_str();
  try {
    open();
    next_open_attempt_ = time_point::max();
    telemetry::log("handover", "%s opened after its release: %" PRIu64 " keys recovered", folder,
                   static_cast<std::uint64_t>(durable_service_->table().size()));
  } catch (const store::folder_locked&) {
    durable_service_.reset();
  } catch (const std::exception& error) {  // the folder is unusable: keyed requests are still rejected
    durable_service_.reset();
    telemetry::log("handover", "cannot open %s, keyed requests are still rejected: %s", folder, error.what());
  }
}

void durable_idempotency::step(time_point now) {
  if (!durable_service_ && now >= next_open_attempt_) retry_open(now);
  if (durable_service_) durable_service_->step(now);
}

std::size_t durable_idempotency::open_requests() const {
  return durable_service_ ? durable_service_->table().open() : 0;
}

}  // namespace marblewharf::server
