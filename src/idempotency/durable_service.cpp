#include "idempotency/durable_service.hpp"

#include <algorithm>
#include <utility>

#include "core/tenant_name.hpp"

namespace marblewharf::idempotency {

using telemetry::log;

namespace {

std::size_t longest_name_bytes(const std::vector<std::string>& names) {
  std::size_t max_bytes = 0;
  for (const std::string& name : names) max_bytes = std::max(max_bytes, name.size());
  return max_bytes;
}

key_table_options table_options_of(const durable_service_options& options) {
  key_table_options table;
  table.max_keys = options.max_keys;
  table.max_open_keys = options.max_open_keys;
  table.max_intent_bytes = max_intent_bytes({.key = options.max_key_bytes,
                                             .tenant = longest_name_bytes(options.tenants),
                                             .request_class = longest_name_bytes(options.classes),
                                             .server = options.max_server_name_bytes});
  table.max_result_bytes = max_result_bytes(options.max_result_bytes);
  table.retry_disk = options.retry_disk;
  table.inquiry_tries = options.inquiry_tries;
  table.inquiry_pause = options.inquiry_pause;
  return table;
}

// A record whose checksums are valid but whose content is not: a later version or another program wrote it.
// Its key must not be forgotten, so the folder is not used.
store::damaged unknown_record(const std::string& folder, std::uint32_t type) {
  return store::damaged(
      folder + ": a record of type " + std::to_string(type) +
      " is of a later version, and keys would be forgotten without it; start that version, or "
      "use another folder once the windows of its keys have ended");
}

}  // namespace

// ---- Start ------------------------------------------------------------------------------------------------

durable_service::durable_service(store::file_system& files, durable_service_options options,
                                 telemetry::counters& counters, std::function<void()> notify)
    : key_table_service(table_options_of(options), counters, options.longest_wait),
      options_(std::move(options)),
      now_(options_.steady_now) {
  std::unique_ptr<store::log> opened = open_log(files);
  log("results", "%s: recovered %zu keys, %zu of them in doubt, from %llu segments", options_.folder.c_str(),
      table_.size(), table_.outcomes_unknown(), static_cast<unsigned long long>(recovered_.segments));
  if (recovered_.torn_bytes > 0)
    log("results", "truncated %llu bytes of a torn commit at the end of the log, written before a crash",
        static_cast<unsigned long long>(recovered_.torn_bytes));
  start_committer(std::move(opened), std::move(notify));
  step(now_);
}

durable_service::~durable_service() = default;

// The current time is known only after all records have been read, as the clock must not be behind the latest
// record. Therefore all records are recovered first, and expired keys are removed afterwards.
std::unique_ptr<store::log> durable_service::open_log(store::file_system& files) {
  store::log_options log_options;
  log_options.folder = options_.folder;
  log_options.segment_bytes = options_.segment;
  log_options.space_bytes = options_.space;
  log_options.salt = options_.salt;
  aging_time latest = 0;
  const auto expiry_of = [this, &latest](std::uint32_t type, std::string_view body) {
    const std::optional<key_record> record = decode(type, body);
    if (!record) return aging_time{0};
    latest = std::max(latest, record->written_at);
    return kept_until(record->expiry);
  };
  const auto recover_each = [this](std::uint32_t type, std::string_view body,
                                   const store::position& position) {
    const std::optional<key_record> record = decode(type, body);
    if (!record) throw unknown_record(options_.folder, type);
    recover(*record, position);
  };
  auto opened = std::make_unique<store::log>(files, log_options, expiry_of, recover_each);
  recovered_ = opened->counts();
  salt_ = opened->salt();
  clock_ = aging_clock(options_.unix_now, std::chrono::nanoseconds(std::max(latest, recovered_.latest_time)),
                       options_.steady_now);
  table_.finish_recovery();
  table_.expire(expiry_horizon(now_));
  opened->open(now());
  return opened;
}

void durable_service::recover(const key_record& record, const store::position& position) {
  constexpr aging_time nothing_expired = 0;
  switch (record.type) {
    case record_type::intent:
      table_.recover_intent(record.key, record.fingerprint, record.expiry, servers_.index_of(record.server),
                            nothing_expired);
      break;
    case record_type::result:
      table_.recover_result(record.key, record.fingerprint, record.expiry, position, nothing_expired);
      break;
    case record_type::release: table_.recover_release(record.key); break;
  }
}

void durable_service::start_committer(std::unique_ptr<store::log> log, std::function<void()> notify) {
  store::committer_options committer_options;
  committer_options.queue =
      2 * options_.max_open_keys + options_.max_concurrent_reads;  // an intent and a result for each open key
  committer_options.max_batch_records = options_.commit_records;
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
  std::vector<store::committer::done> completed;
  const store::committer::disk_status status = committer_->collect(completed);
  table_.set_disk({status.writable, status.free_bytes, status.next_expiry});
  stored_bytes_.set(status.used_bytes);
  counters_.store_commits = status.commits;
  for (const store::committer::done& done : completed) {
    if (done.operation == store::committer::kind::write) {
      on_written(done.ticket, done);
    } else {
      on_read(done.ticket, done);
    }
  }
  update_disk_state(status);
  if (expiry_is_due(now_)) table_.expire(expiry_horizon(now_));
  publish_key_counts();
}

void durable_service::update_disk_state(const store::committer::disk_status& status) {
  if (writable_ != status.writable) {
    writable_ = status.writable;
    log("results", "%s", status.writable ? "the disk is writable again" : status.fault.c_str());
  }
  if (!status.writable) return;
  for (pending_write& result : std::exchange(failed_results_, {})) submit(std::move(result));
}

// ---- Requests ---------------------------------------------------------------------------------------------

claim_result durable_service::claim(request_id id, const request& claimant) {
  const std::chrono::nanoseconds window = options_.windows.at(claimant.request_class);
  const key_id key = key_id_of(tenant_name(options_.tenants, claimant.tenant),
                               options_.classes.at(claimant.request_class), claimant.key, salt_);
  const key_claim claim = claim_key(id, key, claimant.fingerprint, window, claimant);
  if (claim.status == claim_status::completed) readers_[id] = {key, claim.result_at};
  claim_result result = to_result(claim);
  result.server = servers_.name_of(claim.server);
  return result;
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
  submit({record.type, primary, claimed.key, {encode(record), kept_until(claimed.expiry)}});
}

// The committer's queue is large enough for all keys that the table admits. If it is full nevertheless, the
// write is treated as failed.
void durable_service::submit(pending_write write) {
  const std::uint64_t ticket = ++last_ticket_;
  const bool accepted = committer_->write(ticket, write.entry);
  writes_.emplace(ticket, std::move(write));
  if (!accepted) on_written(ticket, {});
}

void durable_service::write_intent(request_id primary, const request& claimant) {
  const claimed_key& claimed = primary_key(primary);
  table_.begin_intent(claimed.key, servers_.index_of(claimant.server));
  key_record record = record_of(record_type::intent, claimed);
  record.tenant = tenant_name(options_.tenants, claimant.tenant);
  record.request_class = options_.classes.at(claimant.request_class);
  record.client_key = claimant.key;
  record.server = claimant.server;
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

// A failed write of a release is not repeated: the key may have been claimed again by then, and a late
// release would free it. The only consequence is that the key's outcome is unknown after a crash.
void durable_service::release_key(request_id primary) {
  const claimed_key& claimed = primary_key(primary);
  if (!table_.contains(claimed.key)) return;
  const key_state state = table_.state_of(claimed.key);
  const bool intent_is_durable = state != key_state::queued && state != key_state::writing_intent;
  if (!table_.release(claimed.key) || !intent_is_durable) return;
  write(primary, claimed, record_of(record_type::release, claimed));
}

void durable_service::abandon(request_id id) {
  readers_.erase(id);
  key_table_service::abandon(id);
}

duration durable_service::schedule_inquiry_retry(request_id primary) {
  return table_.schedule_inquiry_retry(primary_key(primary).key, now());
}

void durable_service::fetch_result(request_id id) {
  const auto reader = readers_.find(id);
  if (reader == readers_.end()) return;
  const std::uint64_t ticket = ++last_ticket_;
  reads_.emplace(ticket, id);
  const bool accepted =
      reads_.size() <= options_.max_concurrent_reads && committer_->read(ticket, reader->second.result_at);
  if (accepted) return;
  reads_.erase(ticket);
  readers_.erase(reader);
  log("results", "too many concurrent reads of results: failed one duplicate request");
  reply_unreadable(id);
}

void durable_service::reply_unreadable(request_id id) {
  observer().on_result_fetched(id, {.outcome = fetch_outcome::unreadable});
}

// ---- Disk completions -------------------------------------------------------------------------------------

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
      table_.result_recorded(write.key, done.location, expiry_horizon(now_));
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
    log("results", "could not write an intent to disk: rejected its request");
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
    log("results", "could not read a stored result: %s",
        done.ok ? "the record belongs to another key" : done.body.c_str());
    reply_unreadable(id);
    return;
  }
  const fetch_outcome outcome = record->succeeded ? fetch_outcome::succeeded : fetch_outcome::run_failed;
  observer().on_result_fetched(id, {.outcome = outcome, .bytes = record->result});
}

}  // namespace marblewharf::idempotency
