#include "idempotency/durable_service.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf::idempotency {

using telemetry::log;

namespace {

std::size_t longest(const std::vector<std::string>& names) {
  std::size_t most = 0;
  for (const std::string& name : names) most = std::max(most, name.size());
  return most;
}

key_table_options table_options_of(const durable_service_options& options) {
  key_table_options table;
  table.entries = options.entries;
  table.open = options.open;
  table.max_intent_bytes =
      max_intent_bytes(options.longest_key, longest(options.tenants), longest(options.classes));
  table.max_result_bytes = max_result_bytes(options.largest_result);
  table.retry_disk = options.retry_disk;
  table.inquiry_tries = options.inquiry_tries;
  table.inquiry_pause = options.inquiry_pause;
  return table;
}

}  // namespace

// ---- Start ------------------------------------------------------------------------------------------------

durable_service::durable_service(store::file_system& files, durable_service_options options,
                                 telemetry::counters& counters, std::function<void()> notify)
    : key_table_service(table_options_of(options), counters),
      options_(std::move(options)),
      now_(options_.steady_now) {
  std::unique_ptr<store::log> opened = open_log(files);
  log("results", "%s: %zu keys known, %zu in doubt, %llu segments", options_.folder.c_str(), table_.size(),
      table_.outcomes_unknown(), static_cast<unsigned long long>(found_.segments));
  if (found_.torn_bytes > 0)
    log("results", "%llu bytes of a commit that a crash cut short were cut off",
        static_cast<unsigned long long>(found_.torn_bytes));
  start_committer(std::move(opened), std::move(notify));
  step(now_);
}

durable_service::~durable_service() = default;

// The time is known only when all records have been read, since the latest of them may set it. So all of them
// are recovered, and those that have expired are removed then.
std::unique_ptr<store::log> durable_service::open_log(store::file_system& files) {
  store::log_options log_options;
  log_options.folder = options_.folder;
  log_options.segment_bytes = options_.segment;
  log_options.space_bytes = options_.space;
  log_options.salt = options_.salt;
  aging_time latest = 0;
  const auto expiry_of = [&latest](std::uint32_t type, std::string_view body) {
    const std::optional<key_record> found = decode(type, body);
    if (!found) return aging_time{0};
    latest = std::max(latest, found->written_at);
    return found->expiry;
  };
  const auto recover_each = [this](std::uint32_t type, std::string_view body,
                                   const store::position& position) {
    if (const std::optional<key_record> found = decode(type, body)) recover(*found, position);
  };
  auto opened = std::make_unique<store::log>(files, log_options, expiry_of, recover_each);
  found_ = opened->counts();
  salt_ = opened->salt();
  clock_ = aging_clock(options_.unix_now, std::chrono::nanoseconds(std::max(latest, found_.latest_time)),
                       options_.steady_now);
  table_.finish_recovery();
  table_.expire(now());
  opened->open(now());
  return opened;
}

void durable_service::recover(const key_record& found, const store::position& position) {
  constexpr aging_time nothing_expired = 0;
  switch (found.type) {
    case record_type::intent:
      table_.recover_intent(found.key, found.fingerprint, found.expiry, nothing_expired);
      break;
    case record_type::result:
      table_.recover_result(found.key, found.fingerprint, found.expiry, position, nothing_expired);
      break;
    case record_type::release: table_.recover_release(found.key); break;
  }
}

void durable_service::start_committer(std::unique_ptr<store::log> log, std::function<void()> notify) {
  store::committer_options committer_options;
  committer_options.queue = 2 * options_.open + options_.reads;  // an intent and a result of each open key
  committer_options.batch = options_.commit_records;
  committer_options.retry = options_.retry_disk;
  const auto clock_now = [clock = clock_] {
    return clock.at(std::chrono::steady_clock::now().time_since_epoch());
  };
  committer_ =
      std::make_unique<store::committer>(std::move(log), committer_options, clock_now, std::move(notify));
}

// ---- Time -------------------------------------------------------------------------------------------------

void durable_service::step(time_point steady_now) {
  now_ = std::max(now_, steady_now);
  std::vector<store::committer::done> all_done;
  const store::committer::disk_status disk = committer_->collect(all_done);
  table_.set_disk({disk.writable, disk.free_bytes, disk.next_expiry});
  counters_.results_bytes = disk.used_bytes;
  counters_.results_commits = disk.commits;
  for (const store::committer::done& done : all_done) {
    if (done.operation == store::committer::kind::write) {
      on_written(done.ticket, done);
    } else {
      on_read(done.ticket, done);
    }
  }
  update_disk_state(disk);
  if (expiry_is_due(now_)) table_.expire(now());
  publish_key_counts();
}

void durable_service::update_disk_state(const store::committer::disk_status& disk) {
  if (writable_ != disk.writable) {
    writable_ = disk.writable;
    log("results", "%s", disk.writable ? "the disk takes writes again" : disk.fault.c_str());
  }
  if (!disk.writable) return;
  for (pending_write& each : std::exchange(failed_results_, {})) submit(std::move(each));
}

// ---- Requests ---------------------------------------------------------------------------------------------

std::string_view durable_service::tenant_name(unsigned tenant) const {
  return tenant < options_.tenants.size() ? std::string_view(options_.tenants[tenant]) : std::string_view();
}

claim_result durable_service::claim(request_id id, const request& what) {
  const std::chrono::nanoseconds window = options_.windows.at(what.request_class);
  const key_id key =
      key_id_of(tenant_name(what.tenant), options_.classes.at(what.request_class), what.key, salt_);
  const key_claim claim = claim_key(id, key, what.fingerprint, window, now());
  if (claim.status == claim_status::completed) readers_[id] = {key, claim.result_at};
  return to_result(claim);
}

key_record durable_service::record_of(record_type type, const claimed_key& claimed) const {
  key_record record;
  record.type = type;
  record.key = claimed.key;
  record.fingerprint = claimed.fingerprint;
  record.expiry = claimed.expiry;
  record.written_at = now();
  return record;
}

void durable_service::write(request_id primary, const claimed_key& claimed, const key_record& record) {
  submit({record.type, primary, claimed.key, {encode(record), claimed.expiry}});
}

// The committer's queue has room for all that the table admits. Where it has not, the write counts as failed.
void durable_service::submit(pending_write write) {
  const std::uint64_t ticket = ++last_ticket_;
  const bool accepted = committer_->write(ticket, write.entry);
  writes_.emplace(ticket, std::move(write));
  if (!accepted) on_written(ticket, {});
}

void durable_service::write_intent(request_id primary, const request& what) {
  const claimed_key& claimed = primary_key(primary);
  table_.begin_intent(claimed.key);
  key_record record = record_of(record_type::intent, claimed);
  record.tenant = tenant_name(what.tenant);
  record.request_class = options_.classes.at(what.request_class);
  record.client_key = what.key;
  write(primary, claimed, record);
}

bool durable_service::record_result(request_id primary, bool succeeded, std::string_view result) {
  const claimed_key& claimed = primary_key(primary);
  if (!table_.begin_recording(claimed.key)) return false;
  key_record record = record_of(record_type::result, claimed);
  record.succeeded = succeeded;
  record.result = result;
  write(primary, claimed, record);
  return true;
}

// A release is not tried again when its write fails: the key may be claimed anew by then, and a late release
// would free it. Lost with it is only that after a crash the key's outcome is unknown.
void durable_service::release_key(request_id primary) {
  const claimed_key& claimed = primary_key(primary);
  if (!table_.contains(claimed.key)) return;
  const key_state state = table_.state_of(claimed.key);
  const bool intent_is_durable = state != key_state::queued && state != key_state::writing_intent;
  if (!table_.release(claimed.key) || !intent_is_durable) return;
  write(primary, claimed, record_of(record_type::release, claimed));
}

duration durable_service::schedule_inquiry_retry(request_id primary) {
  return table_.schedule_inquiry_retry(primary_key(primary).key, now());
}

void durable_service::fetch_result(request_id id) {
  const auto reader = readers_.find(id);
  if (reader == readers_.end()) return;
  const std::uint64_t ticket = ++last_ticket_;
  reads_.emplace(ticket, id);
  const bool accepted = reads_.size() <= options_.reads && committer_->read(ticket, reader->second.result_at);
  if (accepted) return;
  reads_.erase(ticket);
  readers_.erase(reader);
  log("results", "too many repeats at once: one was failed");
  reply_unreadable(id);
}

void durable_service::reply_unreadable(request_id id) {
  observer().on_result_fetched(id, {.outcome = fetch_outcome::unreadable});
}

// ---- What the disk did ------------------------------------------------------------------------------------

void durable_service::on_written(std::uint64_t ticket, const store::committer::done& done) {
  const auto found = writes_.find(ticket);
  if (found == writes_.end()) return;
  pending_write write = std::move(found->second);
  writes_.erase(found);
  switch (write.type) {
    case record_type::intent: on_intent_done(write, done.ok); break;
    case record_type::result:
      if (!done.ok) {
        failed_results_.push_back(std::move(write));
        break;
      }
      table_.result_recorded(write.key, done.location, now());
      observer().on_result_recorded(write.primary);
      break;
    case record_type::release: break;
  }
}

void durable_service::on_intent_done(const pending_write& write, bool durable) {
  if (durable) {
    table_.intent_written(write.key);
  } else {
    table_.release(write.key);
    log("results", "an intent could not be written, its request is refused");
  }
  observer().on_intent_written(write.primary, durable);
}

void durable_service::on_read(std::uint64_t ticket, const store::committer::done& done) {
  const auto read = reads_.find(ticket);
  if (read == reads_.end()) return;
  const request_id id = read->second;
  reads_.erase(read);
  const auto reader = readers_.find(id);
  if (reader == readers_.end()) return;
  const key_id key = reader->second.key;
  readers_.erase(reader);
  std::optional<key_record> record;
  if (done.ok) record = decode(static_cast<std::uint32_t>(record_type::result), done.body);
  if (!record || !(record->key == key)) {
    log("results", "a kept result cannot be read: %s", done.ok ? "it is another one's" : done.body.c_str());
    reply_unreadable(id);
    return;
  }
  const fetch_outcome outcome = record->succeeded ? fetch_outcome::succeeded : fetch_outcome::run_failed;
  observer().on_result_fetched(id, {.outcome = outcome, .bytes = record->result});
}

}  // namespace marblewharf::idempotency
