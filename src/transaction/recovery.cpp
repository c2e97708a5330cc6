#include "transaction/recovery.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::transaction {
namespace {

using telemetry::log;

endpoint parse_endpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

// Restores the endpoints at which the transaction started; its remaining requests must go to the same
// endpoints.
void restore_endpoints(open_transaction& transaction, const std::string& endpoints, const config& settings) {
  std::istringstream addresses(endpoints);
  std::string address;
  for (std::size_t i = 0; i < transaction.calls.size() && addresses >> address; ++i) {
    participant_call& call = transaction.calls[i];
    call.address = parse_endpoint(address);
    const auto& configured = settings.dependencies->upstreams[transaction.plan->participants[i]].endpoints;
    const auto found = std::find(configured.begin(), configured.end(), call.address);
    call.endpoint_index = static_cast<std::size_t>(found - configured.begin());
  }
}

std::shared_ptr<open_transaction> restore(const open_transaction_found& found, const config& settings) {
  const begin_record& begin = found.begin;
  const auto& classes = settings.policy_settings.classes;
  const auto named_class = std::find_if(classes.begin(), classes.end(), [&](const auto& candidate) {
    return candidate.name == begin.request_class;
  });
  std::shared_ptr<open_transaction> restored;
  if (named_class != classes.end()) {
    const auto request_class = static_cast<std::size_t>(named_class - classes.begin());
    restored = make_transaction(settings, begin.id, request_class, begin.payload, begin.key);
  }
  if (restored == nullptr) {
    log("writes",
        "an open transaction of class %s has no plan in the settings: it is not resumed, and its records "
        "remain unchanged",
        begin.request_class.c_str());
    return nullptr;
  }
  restored->last_logged = found.last;
  restored->committed = found.last == log_record::commit;
  restore_endpoints(*restored, begin.endpoints, settings);
  return restored;
}

}  // namespace

recovered_log recover_log(store::file_system& fs, const config& settings,
                          std::chrono::nanoseconds outcome_retention, std::uint64_t salt) {
  const transactions_config& writes = *settings.transactions;
  const std::chrono::nanoseconds unix_now = std::chrono::system_clock::now().time_since_epoch();
  log_folder found = open_log_folder(
      fs, {writes.folder, writes.segment_bytes, writes.max_folder_bytes, outcome_retention, salt},
      unix_now.count());
  recovered_log recovered;
  recovered.clock = idempotency::aging_clock(unix_now, std::chrono::nanoseconds(found.tables->latest_time()),
                                             net::steady_now());
  if (found.migrated_rows > 0)
    log("writes", "%s: migrated the legacy log to %zu table rows", writes.folder.c_str(),
        found.migrated_rows);
  for (const open_transaction_found& open : found.open) {
    if (auto restored = restore(open, settings)) recovered.open.push_back(std::move(restored));
  }
  recovered.outcomes = std::move(found.outcomes);
  recovered.tables = std::move(found.tables);
  return recovered;
}

}  // namespace marblewharf::transaction
