#include "idempotency/key_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace marblewharf::idempotency {
namespace {

using namespace std::chrono_literals;

constexpr std::int64_t found_on_disk = 0;  // the queue of those whose window is not known
constexpr std::chrono::nanoseconds least_advice = 1s;
constexpr unsigned most_doublings = 10;

}  // namespace

// ---- Recovery ---------------------------------------------------------------------------------------------

void key_table::recover_intent(const key_id& key, std::uint64_t content, moment expiry, moment now) {
  if (expiry <= now) return;
  entry& e = table_[key];
  // A key that was answered or set free, aged out and came again within one folder: the later record holds.
  e = entry{};
  e.content = content;
  e.expiry = expiry;
  e.where = state::in_doubt;
}

void key_table::recover_result(const key_id& key, std::uint64_t content, moment expiry,
                               const store::position& at, moment now) {
  if (expiry <= now) return;
  entry& e = table_[key];
  e = entry{};
  e.content = content;
  e.expiry = expiry;
  e.at = at;
  e.where = state::answered;
}

void key_table::recover_release(const key_id& key) {
  table_.erase(key);
}

void key_table::recovered() {
  std::vector<due> all;
  all.reserve(table_.size());
  doubtful_ = 0;
  for (const auto& [key, e] : table_) {
    all.push_back({e.expiry, key});
    doubtful_ += e.where == state::in_doubt;
  }
  std::sort(all.begin(), all.end(), [](const due& a, const due& b) { return a.expiry < b.expiry; });
  ageing_[found_on_disk].assign(all.begin(), all.end());
}

// ---- Requests ---------------------------------------------------------------------------------------------

opinion key_table::arrive(const key_id& key, std::uint64_t content, owner id, std::chrono::nanoseconds window,
                          moment now) {
  if (const auto at = table_.find(key); at != table_.end()) {
    entry& e = at->second;
    if (e.expiry <= now && !is_open(e.where)) {
      erase(at);  // aged out, and about to be forgotten anyway
    } else if (e.content != content) {
      return {standing::conflict, 0, {}, {}};
    } else if (is_open(e.where)) {
      return {standing::joins, e.leader, {}, {}};
    } else if (e.where == state::answered) {
      return {standing::answered, 0, e.at, {}};
    } else if (options_.inquiry_tries == 0 || now < e.ask_after) {
      return {standing::in_doubt, 0, {}, {}};
    } else if (!disk_.writable || reserved_ + options_.result_room > disk_.room || open_ >= options_.open) {
      return {standing::in_doubt, 0, {}, {}};  // what is learned could not be kept
    } else {
      enter(e, state::asking);
      e.leader = id;
      return {standing::asks, id, {}, {}};
    }
  }
  const std::uint64_t needed = options_.intent_room + options_.result_room;
  if (!disk_.writable || reserved_ + needed > disk_.room || table_.size() >= options_.entries ||
      open_ >= options_.open)
    return no_room(now);
  entry e;
  e.content = content;
  e.expiry = now + window.count();
  e.leader = id;
  e.where = state::held;
  ++open_;
  reserved_ += set_aside(e.where);
  table_.emplace(key, e);
  ageing_[window.count()].push_back({e.expiry, key});
  return {standing::first, id, {}, {}};
}

// When it is worth coming back: the disk is tried again, a segment goes, or some of those open have ended.
opinion key_table::no_room(moment now) const {
  std::chrono::nanoseconds wait = least_advice;
  if (!disk_.writable) {
    wait = std::max(wait, options_.retry_disk);
  } else if (open_ < options_.open && disk_.next_ageing > now) {
    wait = std::max(wait, std::chrono::nanoseconds(disk_.next_ageing - now));
  }
  return {standing::no_room, 0, {}, wait};
}

// ---- Steps ------------------------------------------------------------------------------------------------

std::uint64_t key_table::set_aside(state s) const {
  switch (s) {
    case state::held:
    case state::intending: return options_.intent_room + options_.result_room;
    case state::running:
    case state::recording:
    case state::asking: return options_.result_room;
    case state::in_doubt:
    case state::answered: return 0;
  }
  return 0;
}

void key_table::enter(entry& e, state to) {
  reserved_ -= set_aside(e.where);
  reserved_ += set_aside(to);
  open_ -= is_open(e.where);
  open_ += is_open(to);
  doubtful_ -= e.where == state::in_doubt;
  doubtful_ += to == state::in_doubt;
  e.where = to;
  if (!is_open(to)) e.leader = 0;
}

bool key_table::move(const key_id& key, state from, state to) {
  const auto at = table_.find(key);
  if (at == table_.end() || at->second.where != from) return false;
  enter(at->second, to);
  return true;
}

bool key_table::intend(const key_id& key) {
  return move(key, state::held, state::intending);
}

bool key_table::intended(const key_id& key) {
  return move(key, state::intending, state::running);
}

// Also of one in doubt whose run ends after all: what is known is kept.
bool key_table::record(const key_id& key) {
  return move(key, state::running, state::recording) || move(key, state::asking, state::recording) ||
         move(key, state::in_doubt, state::recording);
}

bool key_table::recorded(const key_id& key, const store::position& at, moment now) {
  const auto found = table_.find(key);
  if (found == table_.end() || found->second.where != state::recording) return false;
  found->second.at = at;
  enter(found->second, state::answered);
  if (found->second.expiry <= now) erase(found);  // it was kept for its run alone
  return true;
}

bool key_table::doubt(const key_id& key) {
  return move(key, state::running, state::in_doubt);
}

bool key_table::release(const key_id& key) {
  const auto at = table_.find(key);
  if (at == table_.end() || at->second.where == state::answered || at->second.where == state::recording)
    return false;
  erase(at);
  return true;
}

std::chrono::nanoseconds key_table::asked_in_vain(const key_id& key, moment now) {
  const auto at = table_.find(key);
  if (at == table_.end() || at->second.where != state::asking) return 0ns;
  entry& e = at->second;
  const std::chrono::nanoseconds pause =
      options_.inquiry_pause * (1u << std::min<unsigned>(e.tries, most_doublings));
  if (++e.tries < options_.inquiry_tries) return pause;
  // The next repeat asks anew, though not before a pause that goes on growing.
  e.tries =
      static_cast<std::uint8_t>(std::min<unsigned>(e.tries, std::numeric_limits<std::uint8_t>::max() - 1));
  e.ask_after = now + pause.count();
  enter(e, state::in_doubt);
  return 0ns;
}

// ---- Ageing -----------------------------------------------------------------------------------------------

void key_table::age(moment now) {
  for (auto& [window, queue] : ageing_) {
    while (!queue.empty() && queue.front().expiry <= now) {
      const due next = queue.front();
      queue.pop_front();
      const auto at = table_.find(next.key);
      // Not one that came anew since, nor one that is open: that is let go when it ends.
      if (at != table_.end() && at->second.expiry == next.expiry && !is_open(at->second.where)) erase(at);
    }
  }
}

void key_table::erase(table::iterator at) {
  const state last = at->second.where;
  reserved_ -= set_aside(last);
  open_ -= is_open(last);
  doubtful_ -= last == state::in_doubt;
  table_.erase(at);
}

}  // namespace marblewharf::idempotency
