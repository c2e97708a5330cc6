#include "transaction/recovery.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"
#include "transaction/participant_placement.hpp"

namespace marblewharf::transaction {
namespace {

using telemetry::log;

// An open transaction that cannot be resumed with these settings, and why.
struct unresumable {
  std::string participant;  // empty: the class has no plan
  const char* reason = "";
};

using restored_transaction = std::variant<std::shared_ptr<open_transaction>, unresumable>;

restored_transaction restore(const open_transaction_found& found, const config& settings) {
  const begin_record& begin = found.begin;
  const auto& classes = settings.policy_settings.classes;
  const auto named_class = std::find_if(classes.begin(), classes.end(), [&](const auto& candidate) {
    return candidate.name == begin.request_class;
  });
  const auto request_class = static_cast<std::size_t>(named_class - classes.begin());
  const transaction_plan* plan = find_plan(*settings.transactions, request_class);
  if (plan == nullptr) return unresumable{"", "its class has no plan in the settings"};
  const participant_placement placement = place_participants(begin, *plan, *settings.dependencies);
  if (const auto* unplaced = std::get_if<unplaced_participant>(&placement))
    return unresumable{unplaced->name, text_of(unplaced->fault)};
  auto restored = make_transaction(settings, begin.id, {request_class, begin.payload, begin.key},
                                   std::get<std::vector<participant_place>>(placement));
  restored->last_logged = found.last;
  restored->committed = found.last == log_record::commit;
  return restored;
}

void log_unresumed(const begin_record& begin, const unresumable& obstacle) {
  log("writes",
      "open transaction %s of class %s is not resumed: %s%s%s; its records remain, and it is resumed at the "
      "next "
      "start that finds its participants",
      begin.id.c_str(), begin.request_class.c_str(), obstacle.participant.c_str(),
      obstacle.participant.empty() ? "" : " ", obstacle.reason);
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
    const restored_transaction restored = restore(open, settings);
    if (const auto* obstacle = std::get_if<unresumable>(&restored)) {
      log_unresumed(open.begin, *obstacle);
      recovered.unresumed.push_back({number_of(open.begin.id), open.begin.key});
    } else {
      recovered.open.push_back(std::get<std::shared_ptr<open_transaction>>(restored));
    }
  }
  recovered.outcomes = std::move(found.outcomes);
  recovered.tables = std::move(found.tables);
  return recovered;
}

}  // namespace marblewharf::transaction
