#include "idempotency/durable_service.hpp"

#include <algorithm>
#include <utility>

namespace marblewharf::idempotency {

using telemetry::log;

namespace {

constexpr duration age_every = std::chrono::milliseconds(100);

std::size_t longest(const std::vector<std::string>& names) {
  std::size_t most = 0;
  for (const std::string& n : names) most = std::max(most, n.size());
  return most;
}

idempotency_store::opinion to_core(const idempotency::opinion& o) {
  using kind = idempotency_store::standing;
  switch (o.how) {
    case standing::first: return {kind::first, o.leader, {}};
    case standing::joins: return {kind::joins, o.leader, {}};
    case standing::answered: return {kind::answered, 0, {}};
    case standing::in_doubt: return {kind::in_doubt, 0, {}};
    case standing::asks: return {kind::asks, o.leader, {}};
    case standing::conflict: return {kind::conflict, 0, {}};
    case standing::no_room: return {kind::no_room, 0, o.come_back};
  }
  return {kind::no_room, 0, {}};
}

}  // namespace

durable_service::durable_service(store::file_system& fs, durable_service_options options,
                                 telemetry::counters& counters, std::function<void()> notify)
    : options_(std::move(options)), counters_(counters), now_(options_.steady_now) {
  key_table_options l;
  l.entries = options_.entries;
  l.open = options_.open;
  l.intent_room = intent_room(options_.longest_key, longest(options_.tenants), longest(options_.classes));
  l.result_room = result_room(options_.largest_result);
  l.retry_disk = options_.retry_disk;
  l.inquiry_tries = options_.inquiry_tries;
  l.inquiry_pause = options_.inquiry_pause;
  ledger_ = std::make_unique<key_table>(l);

  store::log_options where;
  where.folder = options_.folder;
  where.segment = options_.segment;
  where.space = options_.space;
  where.salt = options_.salt;
  // What has aged is only known once the latest time in the folder is: passed over until then is only what
  // has aged by the system's clock set far back, that is nothing; the rest goes with the first look below.
  std::int64_t latest = 0;
  auto kept_log = std::make_unique<store::log>(
      fs, where,
      [&latest](std::uint32_t type, std::string_view body) {
        const auto k = decode(type, body);
        if (k) latest = std::max(latest, k->at);
        return k ? k->expiry : 0;
      },
      [this](std::uint32_t type, std::string_view body, const store::position& at) {
        const auto k = decode(type, body);
        if (!k) return;
        const moment none = 0;
        switch (k->what) {
          case record_type::intent: ledger_->recover_intent(k->key, k->content, k->expiry, none); break;
          case record_type::result: ledger_->recover_result(k->key, k->content, k->expiry, at, none); break;
          case record_type::release: ledger_->recover_release(k->key); break;
        }
      });
  found_ = kept_log->counts();
  salt_ = kept_log->salt();
  clock_ = aging_clock(options_.unix_now, std::chrono::nanoseconds(std::max(latest, found_.latest)),
                       options_.steady_now);
  ledger_->recovered();
  ledger_->age(now());
  kept_log->open(now());
  log("results", "%s: %zu keys known, %zu in doubt, %llu segments", options_.folder.c_str(), ledger_->size(),
      ledger_->doubtful(), static_cast<unsigned long long>(found_.segments));
  if (found_.torn_bytes > 0)
    log("results", "%llu bytes of a commit that a crash cut short were cut off",
        static_cast<unsigned long long>(found_.torn_bytes));
  store::committer_options c;
  c.queue = 2 * options_.open + options_.reads;
  c.batch = options_.commit_records;
  c.retry = options_.retry_disk;
  committer_ = std::make_unique<store::committer>(
      std::move(kept_log), c,
      [clock = clock_] { return clock.at(std::chrono::steady_clock::now().time_since_epoch()); },
      std::move(notify));
  step(now_);
}

durable_service::~durable_service() = default;

void durable_service::step(time_point steady) {
  now_ = std::max(now_, steady);
  std::vector<store::committer::done> done;
  const store::committer::condition c = committer_->collect(done);
  ledger_->set_disk({c.writable, c.room, c.next_ageing});
  counters_.results_bytes = c.used;
  counters_.results_commits = c.commits;
  for (const store::committer::done& d : done) {
    if (d.what == store::committer::kind::write) {
      on_written(d.ticket, d);
    } else if (const auto at = reads_.find(d.ticket); at != reads_.end()) {
      const request_id id = at->second;
      reads_.erase(at);
      on_read(id, d);
    }
  }
  if (writable_ != c.writable) {
    writable_ = c.writable;
    log("results", "%s", c.writable ? "the disk takes writes again" : c.fault.c_str());
  }
  if (c.writable && !unwritten_.empty()) {
    for (writing& w : std::exchange(unwritten_, {})) submit(std::move(w));
  }
  if (now_ >= next_ageing_) {
    next_ageing_ = now_ + age_every;
    ledger_->age(now());
  }
  counters_.results_known = ledger_->size();
  counters_.results_in_doubt = ledger_->doubtful();
}

idempotency_store::opinion durable_service::arrive(request_id id, const request& what) {
  const auto window = options_.windows.at(what.request_class);
  const std::string& tenant =
      what.tenant < options_.tenants.size() ? options_.tenants[what.tenant] : std::string();
  const key_id key = hash_of(tenant, options_.classes.at(what.request_class), what.key, salt_);
  const idempotency::opinion o = ledger_->arrive(key, what.content, id, window, now());
  using idempotency::standing;
  switch (o.how) {
    case standing::first:
    case standing::asks: leaders_[id] = {key, what.content, ledger_->expiry_of(key)}; break;
    case standing::joins: ++counters_.repeats_joined; break;
    case standing::answered:
      ++counters_.repeats_answered;
      answered_[id] = {key, o.at};
      break;
    case standing::in_doubt: ++counters_.repeats_in_doubt; break;
    case standing::conflict: ++counters_.key_conflicts; break;
    case standing::no_room: ++counters_.no_room; break;
  }
  return to_core(o);
}

void durable_service::submit(writing w) {
  const std::uint64_t ticket = ++last_ticket_;
  const bool taken = committer_->write(ticket, w.entry);
  writes_.emplace(ticket, std::move(w));
  if (!taken) on_written(ticket, {});  // not by what the ledger lets in; as if the disk had failed
}

kept durable_service::record_of(record_type what, const leading& l) const {
  kept k;
  k.what = what;
  k.key = l.key;
  k.content = l.content;
  k.expiry = l.expiry;
  k.at = now();
  return k;
}

void durable_service::intend(request_id id, const request& what) {
  const leading& l = leaders_.at(id);
  ledger_->intend(l.key);
  kept k = record_of(record_type::intent, l);
  if (what.tenant < options_.tenants.size()) k.tenant = options_.tenants[what.tenant];
  k.request_class = options_.classes.at(what.request_class);
  k.name = what.key;
  submit({k.what, id, l.key, {encode(k), l.expiry}});
}

bool durable_service::record(request_id id, bool served, std::string_view result) {
  const leading& l = leaders_.at(id);
  if (!ledger_->record(l.key)) return false;
  kept k = record_of(record_type::result, l);
  k.served = served;
  k.bytes = result;
  submit({k.what, id, l.key, {encode(k), l.expiry}});
  return true;
}

void durable_service::doubt(request_id id) {
  ledger_->doubt(leaders_.at(id).key);
}

void durable_service::release(request_id id) {
  const leading& l = leaders_.at(id);
  if (!ledger_->knows(l.key)) return;
  const bool intent_on_disk =
      ledger_->state_of(l.key) != state::held && ledger_->state_of(l.key) != state::intending;
  if (!ledger_->release(l.key) || !intent_on_disk) return;
  const kept k = record_of(record_type::release, l);
  // Not written again where the disk fails: by then the key may run anew, and this must not come behind that.
  // What is lost then is only that the key is in doubt after a crash.
  submit({k.what, id, l.key, {encode(k), l.expiry}});
}

duration durable_service::asked_in_vain(request_id id) {
  return ledger_->asked_in_vain(leaders_.at(id).key, now());
}

void durable_service::fetch(request_id id) {
  const auto at = answered_.find(id);
  if (at == answered_.end()) return;
  const std::uint64_t ticket = ++last_ticket_;
  reads_.emplace(ticket, id);
  if (reads_.size() > options_.reads || !committer_->read(ticket, at->second.second)) {
    reads_.erase(ticket);
    answered_.erase(at);
    log("results", "too many repeats at once: one was failed");
    events_->on_fetched(id, false, false, {});
  }
}

void durable_service::on_written(std::uint64_t ticket, const store::committer::done& d) {
  const auto at = writes_.find(ticket);
  if (at == writes_.end()) return;
  writing w = std::move(at->second);
  writes_.erase(at);
  switch (w.what) {
    case record_type::intent:
      if (d.ok) {
        ledger_->intended(w.key);
      } else {
        ledger_->release(w.key);
        log("results", "an intent could not be written, its request is refused");
      }
      events_->on_intended(w.leader, d.ok);
      break;
    case record_type::result:
      if (!d.ok) {
        unwritten_.push_back(std::move(w));
        return;
      }
      ledger_->recorded(w.key, d.at, now());
      events_->on_recorded(w.leader);
      break;
    case record_type::release: break;
  }
}

void durable_service::on_read(request_id id, const store::committer::done& d) {
  const auto at = answered_.find(id);
  if (at == answered_.end()) return;
  const key_id key = at->second.first;
  answered_.erase(at);
  const auto k = d.ok ? decode(static_cast<std::uint32_t>(record_type::result), d.body) : std::nullopt;
  if (!k || !(k->key == key)) {
    log("results", "a kept result cannot be read: %s", d.ok ? "it is another one's" : d.body.c_str());
    events_->on_fetched(id, false, false, {});
    return;
  }
  events_->on_fetched(id, true, k->served, k->bytes);
}

}  // namespace marblewharf::idempotency
