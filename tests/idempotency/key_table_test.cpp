// Tests the log and the key table on a failing file system: each call fails in turn, the files are truncated
// at each byte, and each byte is changed.
#include "idempotency/key_table.hpp"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "../check.hpp"
#include "crash_fs.hpp"
#include "idempotency/aging_clock.hpp"
#include "idempotency/records.hpp"
#include "store/log.hpp"

using namespace marblewharf;
using namespace marblewharf::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr aging_time key_window = 1'000'000'000;  // ns

// A node without sockets: a key table on a log, and a backend that counts executions per key.
struct test_node {
  explicit test_node(crash::fs& f, std::map<std::uint64_t, int>& runs, aging_time at)
      : now(at), executions(runs), table(key_table_options{100000, 100000, 200, 600, 1s, 0, 0s}) {
    store::log_options o{"d", 4096, 40960, 7};
    disk = std::make_unique<store::log>(
        f, o, [](std::uint32_t type, std::string_view body) { return decode(type, body)->expiry; },
        [this](std::uint32_t type, std::string_view body, const store::position& p) {
          const auto k = *decode(type, body);
          if (k.type == record_type::intent)
            table.recover_intent(k.key, k.fingerprint, k.expiry, unnamed_server, now);
          if (k.type == record_type::result) table.recover_result(k.key, k.fingerprint, k.expiry, p, now);
          if (k.type == record_type::release) table.recover_release(k.key);
        });
    table.finish_recovery();
    open();
  }
  void open() {
    try {
      disk->open(now);
    } catch (const store::io_error&) {  // tried again at the next request
    }
  }
  std::optional<store::position> append(const key_record& k) {
    try {
      return disk->append(std::vector<store::entry>{{encode(k), k.expiry}}, now).front();
    } catch (const store::io_error&) {
      return std::nullopt;
    }
  }

  enum class answer_kind { served, rejected, failed, outcome_unknown };
  // Sends a write with the key n. Returns the kind of the answer and the result.
  std::pair<answer_kind, std::string> write(std::uint64_t n, bool prove_never_ran = false) {
    now += 1000;
    if (!disk->is_open()) open();
    try {
      disk->reclaim(now);
    } catch (const store::io_error&) {
    }
    table.set_disk({disk->is_open(), disk->reserved_free_bytes(), disk->next_expiry()});
    const key_id key{n, n};
    const key_claim claim = table.claim(key, n, 1, std::chrono::nanoseconds(key_window), now);
    if (claim.status == claim_status::no_capacity) return {answer_kind::rejected, ""};
    if (claim.status == claim_status::outcome_unknown) return {answer_kind::outcome_unknown, ""};
    if (claim.status == claim_status::coalesced) {  // its result is not on disk yet
      const std::string result = unrecorded.at(n);
      return record(n, result) ? std::pair{answer_kind::served, result}
                               : std::pair{answer_kind::failed, std::string()};
    }
    if (claim.status == claim_status::completed)
      return {answer_kind::served, std::string(decode(2, disk->read(claim.result_at))->result)};
    CHECK(claim.status == claim_status::primary);
    key_record k;
    k.key = key;
    k.fingerprint = n;
    k.expiry = table.expiry_of(key);
    k.written_at = now;
    k.client_key = "key";
    k.type = record_type::intent;
    CHECK(table.begin_intent(key));
    if (!append(k)) {
      CHECK(table.release(key));
      return {answer_kind::rejected, ""};
    }
    CHECK(table.intent_written(key));
    if (prove_never_ran) {  // the backend reports that the request never ran
      k.type = record_type::release;
      CHECK(table.release(key));
      append(k);
      return {answer_kind::rejected, ""};
    }
    ++executions[n];
    const std::string result = "result " + std::to_string(n) + std::string(n % 7 * 40, 'x');
    CHECK(table.begin_recording(key));
    unrecorded[n] = result;
    if (!record(n, result)) return {answer_kind::failed, ""};
    return {answer_kind::served, result};
  }
  bool record(std::uint64_t n, const std::string& result) {
    key_record k;
    k.type = record_type::result;
    k.key = {n, n};
    k.fingerprint = n;
    k.expiry = table.expiry_of(k.key);
    k.written_at = now;
    k.succeeded = true;
    k.result = result;
    if (!disk->is_open()) open();
    const auto at = append(k);
    if (!at) return false;
    unrecorded.erase(n);
    CHECK(table.result_recorded(k.key, *at, now));
    return true;
  }

  aging_time now;
  std::map<std::uint64_t, int>& executions;
  std::map<std::uint64_t, std::string> unrecorded;  // results whose write failed, by key
  key_table table;
  std::unique_ptr<store::log> disk;
};

constexpr std::uint64_t writes = 60;  // enough for several segments

// Runs all writes with one injected fault, then sends them all again twice with a restart in between. No
// write may be executed twice, and no answered result may be lost.
std::uint64_t run_with_fault(std::uint64_t fail_at, crash::fault fault_kind, bool permanent, unsigned seed) {
  crash::fs fs;
  fs.fail_at = fail_at;
  fs.how = fault_kind;
  fs.stays_broken = permanent;
  std::mt19937 random(seed);
  std::map<std::uint64_t, int> executions;
  std::map<std::uint64_t, std::string> served;
  std::set<std::uint64_t> refused;
  aging_time now = 5000;
  std::unique_ptr<test_node> node;
  const auto run_all = [&] {
    if (!node) node = std::make_unique<test_node>(fs, executions, now);
    for (std::uint64_t n = 1; n <= writes; ++n) {
      const auto [kind, result] = node->write(n, n % 11 == 0 && !executions.contains(n));
      now = node->now;
      if (kind == test_node::answer_kind::served) {
        const auto [at, added] = served.emplace(n, result);
        CHECK(at->second == result);
      } else if (kind == test_node::answer_kind::rejected) {
        CHECK(!executions.contains(n) ||
              executions[n] == 0);  // only a request that never ran may be answered 'rejected'
      }
    }
  };
  try {
    run_all();
  } catch (const crash::crashed&) {
    node.reset();
    fs.restart(random);
  }
  fs.fail_at = 0;
  const std::uint64_t calls = fs.calls;
  for (int pass = 0; pass < 2; ++pass) {
    run_all();
    for (const auto& [n, times] : executions) CHECK(times <= 1);
    for (const auto& [n, result] : served) {
      const auto [kind, repeated] = node->write(n);
      CHECK(kind == test_node::answer_kind::served && repeated == result);
    }
    node.reset();  // the next pass starts after a restart without a fault
  }
  return calls;
}

void each_file_system_call_fails() {
  const std::uint64_t calls = run_with_fault(0, crash::fault::none, false, 1);
  CHECK(calls > writes);
  std::uint64_t tried = 0;
  for (std::uint64_t at = 1; at <= calls; ++at) {
    for (const auto fault_kind : {crash::fault::error, crash::fault::cut_short, crash::fault::power_loss}) {
      for (unsigned seed = 1; seed <= (fault_kind == crash::fault::power_loss ? 6u : 1u); ++seed, ++tried)
        run_with_fault(at, fault_kind, false, seed);
    }
    run_with_fault(at, crash::fault::error, true, 1);
  }
  std::printf("%llu histories, each with one of %llu calls failing\n", static_cast<unsigned long long>(tried),
              static_cast<unsigned long long>(calls));
}

// Recovers a folder: the size of the result by key, 0 for an unknown outcome. Nothing if the folder is
// reported as damaged.
std::optional<std::map<std::uint64_t, std::uint64_t>> recover_content(
    const std::map<std::string, std::string>& image) {
  crash::fs fs;
  fs.load(image);
  std::map<std::uint64_t, std::uint64_t> found;
  try {
    store::log::inspect(
        fs, "d", [](std::uint32_t type, std::string_view body) { return decode(type, body)->expiry; },
        [&](std::uint32_t type, std::string_view body, const store::position&) {
          const auto k = *decode(type, body);
          if (k.type == record_type::release) {
            found.erase(k.key.low);
          } else {
            found[k.key.low] = k.type == record_type::intent ? 0 : k.result.size();
          }
        });
  } catch (const store::damaged&) {
    return std::nullopt;
  }
  return found;
}

std::map<std::string, std::string> folder_after(std::uint64_t n) {
  crash::fs fs;
  std::map<std::uint64_t, int> executions;
  test_node node(fs, executions, 5000);
  for (std::uint64_t i = 1; i <= n; ++i) node.write(i);
  return fs.image();
}

// Truncates each segment at each byte. The last segment must be recovered to an earlier state; a truncated
// earlier segment must be reported as damaged.
void truncation_at_each_byte() {
  const auto original = folder_after(30);
  std::vector<std::map<std::uint64_t, std::uint64_t>> states = {{}};
  for (std::uint64_t n = 1; n <= 30; ++n) states.push_back(*recover_content(folder_after(n)));
  std::vector<std::string> segments;
  for (const auto& [path, bytes] : original) {
    if (path.ends_with(".seg")) segments.push_back(path);
  }
  CHECK(segments.size() > 2);
  std::uint64_t tried = 0;
  for (const std::string& path : segments) {
    const bool last = path == segments.back();
    for (std::size_t size = 0; size < original.at(path).size(); ++size, ++tried) {
      auto image = original;
      image[path].resize(size);
      const auto content = recover_content(image);
      if (!last) {
        const bool cuts_valid_data = original.at(path).find_last_not_of('\0') >= size;
        CHECK(!content || !cuts_valid_data || *content == states.back());
        continue;
      }
      if (size < store::header_size) {
        CHECK(!content);
        continue;
      }
      CHECK(content);
      // The state must be the one after some write, or after that write and the intent of the next one.
      bool matches = false;
      for (std::size_t i = 0; i < states.size() && !matches; ++i) {
        auto next = states[i];
        matches = *content == next;
        if (i + 1 < states.size()) {
          next[i + 1] = 0;
          matches = matches || *content == next;
        }
      }
      CHECK(matches);
    }
  }
  std::printf("%llu truncations\n", static_cast<unsigned long long>(tried));
}

// Changes each byte. The change must be reported as damage or treated as the torn end of the last commit, and
// never be read as valid data.
void corruption_of_each_byte() {
  const auto original = folder_after(30);
  const auto expected_content = *recover_content(original);
  std::uint64_t damage = 0, torn = 0;
  for (const auto& [path, bytes] : original) {
    if (!path.ends_with(".seg")) continue;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      auto image = original;
      image[path][at] = static_cast<char>(image[path][at] ^ 0x41);
      const auto content = recover_content(image);
      if (!content) {
        ++damage;
      } else if (*content != expected_content) {
        ++torn;
        for (const auto& [n, size] : *content) CHECK(expected_content.at(n) == size || size == 0);
      }
    }
  }
  CHECK(damage > 0 && torn > 0);
  std::printf("%llu changed bytes reported as damage, %llu treated as a torn end\n",
              static_cast<unsigned long long>(damage), static_cast<unsigned long long>(torn));
}

// A full folder rejects new keys but still answers duplicates. After all keys have expired, it has space for
// as many keys again.
void expired_segments_free_their_space() {
  crash::fs fs;
  std::map<std::uint64_t, int> executions;
  test_node node(fs, executions, 5000);
  std::uint64_t n = 0;
  while (node.write(n + 1).first == test_node::answer_kind::served) CHECK(++n < 10000);
  CHECK(node.disk->used_bytes() <= 40960);
  CHECK(node.write(1).first == test_node::answer_kind::served &&
        executions[1] == 1);  // duplicates are still answered
  const std::uint64_t first = n;
  node.now += 2 * key_window;
  node.table.expire(node.now);
  CHECK(node.table.size() == 0);
  CHECK(node.write(n + 1).first == test_node::answer_kind::served);
  CHECK(node.disk->used_bytes() <= 40960);
  while (node.write(n + 1).first == test_node::answer_kind::served) CHECK(++n < 10000);
  CHECK(n > first + first / 2);
}

// Guards against a false report of a missing segment. An expired segment is deleted while its successor has
// been open for long; recovery then knows no later time than the creation of the successor, at which the
// segment had not expired. Each call fails in turn, with an error and by a power loss.
void expired_segment_is_not_reported_missing() {
  const auto run_all = [](std::uint64_t fail_at, crash::fault fault_kind, unsigned seed) {
    crash::fs fs;
    fs.fail_at = fail_at;
    fs.how = fault_kind;
    std::mt19937 random(seed);
    std::map<std::uint64_t, int> executions;
    aging_time now = 5000;
    std::set<std::uint64_t> served;  // served keys that have not expired
    const auto segments = [&] {
      std::size_t n = 0;
      for (const auto& [path, bytes] : fs.image()) n += path.ends_with(".seg");
      return n;
    };
    std::unique_ptr<test_node> node;
    std::uint64_t n = 0, before = 0;
    try {
      node = std::make_unique<test_node>(fs, executions, now);
      while (segments() < 4 && n < 200) {
        node->write(++n);
        now = node->now;
      }
      now = node->now += 2 * key_window;
      node->table.expire(now);
      before = segments();
      try {
        node->disk->reclaim(now);
      } catch (const store::io_error&) {
      }
      if (fail_at == 0) CHECK(segments() < before);
      for (int i = 0; i < 3; ++i)
        if (node->write(++n).first == test_node::answer_kind::served) served.insert(n);
      now = node->now;
    } catch (const crash::crashed&) {
      node.reset();
      fs.restart(random);
    }
    const std::uint64_t calls = fs.calls;
    fs.fail_at = 0;
    for (int start = 0; start < 3; ++start) {
      node.reset();
      node = std::make_unique<test_node>(fs, executions, now);  // throws `damaged` if a segment seems missing
      for (const std::uint64_t k : served) CHECK(node->write(k).first == test_node::answer_kind::served);
      for (const auto& [k, times] : executions) CHECK(times <= 1);
    }
    // The space is freed, and the marker files are deleted.
    for (int round = 0; round < 4; ++round) {
      now = node->now += 2 * key_window;
      node->table.expire(now);
      for (int i = 0; i < 40; ++i) node->write(++n);
    }
    CHECK(node->disk->used_bytes() <= 40960);
    std::size_t names = 0;
    for (const auto& [path, bytes] : fs.image()) names += path.ends_with(".aged");
    CHECK(names <= 12);
    return calls;
  };
  const std::uint64_t calls = run_all(0, crash::fault::none, 1);
  for (std::uint64_t at = 1; at <= calls; ++at) {
    run_all(at, crash::fault::error, 1);
    for (unsigned seed = 1; seed <= 6; ++seed) run_all(at, crash::fault::power_loss, seed);
  }
  std::printf("each of %llu calls failed in turn\n", static_cast<unsigned long long>(calls));
}

// The aging clock starts at the latest known time if the system clock was set back, and otherwise at the
// system clock, so that a long stop counts towards expiry.
void aging_clock_never_goes_back() {
  const aging_clock back(10s, 1000s, 5s);
  CHECK(back.at(5s) == std::chrono::nanoseconds(1000s).count() &&
        back.at(6s) == std::chrono::nanoseconds(1001s).count());
  const aging_clock later(5000s, 1000s, 5s);
  CHECK(later.at(5s) == std::chrono::nanoseconds(5000s).count());
}

// Tries each transition from each state: a transition that is not documented at key_state must change
// nothing.
void only_documented_transitions() {
  const key_table_options o{4, 4, 100, 200, 1s, 2, 10ms};
  const key_id key{1, 1};
  const auto in = [&](key_state s) {
    key_table table(o);
    table.set_disk({true, 100000, 0});
    CHECK(table.claim(key, 5, 9, 10s, 0).status == claim_status::primary);
    if (s == key_state::queued) return table;
    CHECK(table.begin_intent(key));
    if (s == key_state::writing_intent) return table;
    CHECK(table.intent_written(key));
    if (s == key_state::running) return table;
    if (s == key_state::outcome_unknown || s == key_state::inquiring) {
      CHECK(table.mark_outcome_unknown(key));
      if (s == key_state::inquiring)
        CHECK(table.claim(key, 5, 10, 10s, 1).status == claim_status::inquiry_primary);
      return table;
    }
    CHECK(table.begin_recording(key));
    if (s == key_state::recording_result) return table;
    CHECK(table.result_recorded(key, {1, 2, 3}, 1));
    return table;
  };
  using step = std::function<bool(key_table&)>;
  const std::vector<std::pair<step, std::set<key_state>>> steps = {
      {[&](key_table& table) { return table.begin_intent(key); }, {key_state::queued, key_state::running}},
      {[&](key_table& table) { return table.intent_written(key); }, {key_state::writing_intent}},
      {[&](key_table& table) { return table.begin_recording(key); },
       {key_state::running, key_state::inquiring, key_state::outcome_unknown}},
      {[&](key_table& table) { return table.result_recorded(key, {}, 1); }, {key_state::recording_result}},
      {[&](key_table& table) { return table.mark_outcome_unknown(key); }, {key_state::running}},
      {[&](key_table& table) { return table.release(key); },
       {key_state::queued, key_state::writing_intent, key_state::running, key_state::outcome_unknown,
        key_state::inquiring}},
  };
  const std::vector<key_state> states = {
      key_state::queued,          key_state::writing_intent, key_state::running,  key_state::recording_result,
      key_state::outcome_unknown, key_state::inquiring,      key_state::completed};
  for (const key_state s : states) {
    for (const auto& [transition, from] : steps) {
      key_table table = in(s);
      CHECK(transition(table) == from.contains(s));
      if (!from.contains(s)) CHECK(table.state_of(key) == s);
    }
    key_table known = in(s);
    CHECK(known.claim(key, 6, 11, 10s, 1).status == claim_status::key_conflict && known.state_of(key) == s);
    const claim_status pass = known.claim(key, 5, 11, 10s, 1).status;
    CHECK(pass == (s == key_state::completed         ? claim_status::completed
                   : s == key_state::outcome_unknown ? claim_status::inquiry_primary
                                                     : claim_status::coalesced));
    key_table abandoned = in(s);
    abandoned.abandon(key);
    CHECK(abandoned.contains(key) == (s != key_state::queued));
    CHECK(s == key_state::queued ||
          abandoned.state_of(key) ==
              (s == key_state::completed ? key_state::completed : key_state::outcome_unknown));
    CHECK(abandoned.open() == 0 && abandoned.reserved_bytes() == 0);
    CHECK(abandoned.outcomes_unknown() == (s != key_state::queued && s != key_state::completed));
    // Space is reserved only for records that are not written yet.
    CHECK(known.reserved_bytes() <= 300 && (s != key_state::completed || known.reserved_bytes() == 0));
    // Open keys do not expire; the others do.
    key_table old = in(s);
    old.expire(std::chrono::nanoseconds(20s).count());
    CHECK(old.contains(key) == (s != key_state::completed && s != key_state::outcome_unknown));
  }
}

// The number of inquiries is bounded, and their delay grows. After the last one, a duplicate does not start
// new inquiries at once.
void inquiries_are_bounded_and_back_off() {
  key_table table({4, 4, 100, 200, 1s, 3, 10ms});
  table.set_disk({true, 100000, 0});
  const key_id key{1, 1};
  constexpr server_index server = 7;
  table.recover_intent(key, 5, std::chrono::nanoseconds(100s).count(), server, 0);
  table.finish_recovery();
  CHECK(table.outcomes_unknown() == 1);
  const key_claim inquiry = table.claim(key, 5, 2, 10s, 0);
  CHECK(inquiry.status == claim_status::inquiry_primary && inquiry.server == server);
  CHECK(table.claim(key, 5, 3, 10s, 0).status == claim_status::coalesced);
  CHECK(table.schedule_inquiry_retry(key, 0) == 10ms && table.schedule_inquiry_retry(key, 0) == 20ms &&
        table.schedule_inquiry_retry(key, 0) == 0ms);
  CHECK(table.claim(key, 5, 2, 10s, 0).status == claim_status::outcome_unknown);
  CHECK(table.claim(key, 5, 2, 10s, std::chrono::nanoseconds(1s).count()).status ==
        claim_status::inquiry_primary);
  CHECK(table.begin_recording(key) && table.result_recorded(key, {}, 1));
  CHECK(table.claim(key, 5, 2, 10s, 0).status == claim_status::completed);
}

// The bounds are enforced by rejecting new keys, never by dropping known keys.
void bounds_reject_new_keys_only() {
  key_table table({3, 2, 100, 200, 500ms, 0, 0ms});
  CHECK(table.claim({1, 1}, 5, 1, 10s, 0).status ==
        claim_status::no_capacity);  // the state of the disk is not known yet
  table.set_disk({true, 650, 4'000'000'000});
  CHECK(table.claim({1, 1}, 5, 1, 10s, 0).status == claim_status::primary);
  CHECK(table.claim({2, 2}, 5, 2, 10s, 0).status == claim_status::primary);
  const key_claim full = table.claim({3, 3}, 5, 3, 10s, 0);
  CHECK(full.status == claim_status::no_capacity && full.retry_after >= 1s);
  CHECK(table.claim({1, 1}, 5, 4, 10s, 0).status == claim_status::coalesced);
  for (const std::uint64_t n : {1u, 2u}) {
    const key_id key{n, n};
    CHECK(table.begin_intent(key) && table.intent_written(key) && table.begin_recording(key) &&
          table.result_recorded(key, {}, 1));
  }
  table.set_disk({true, 250, 4'000'000'000});
  const key_claim filled = table.claim({3, 3}, 5, 3, 10s, 0);
  CHECK(filled.status == claim_status::no_capacity &&
        filled.retry_after == 4s);  // when the next segment expires
  table.set_disk({true, 5000, 0});
  CHECK(table.claim({3, 3}, 5, 3, 10s, 0).status == claim_status::primary);
  CHECK(table.claim({4, 4}, 5, 4, 10s, 0).status ==
        claim_status::no_capacity);  // the table is full with three entries
  CHECK(table.claim({1, 1}, 5, 4, 10s, 0).status == claim_status::completed);
  table.set_disk({false, 5000, 0});
  CHECK(table.claim({5, 5}, 5, 4, 10s, 0).status == claim_status::no_capacity);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"failing_calls", each_file_system_call_fails},
      {"truncation", truncation_at_each_byte},
      {"corruption", corruption_of_each_byte},
      {"expiry", expired_segments_free_their_space},
      {"segment_removal", expired_segment_is_not_reported_missing},
      {"clock", aging_clock_never_goes_back},
      {"transitions", only_documented_transitions},
      {"inquiry", inquiries_are_bounded_and_back_off},
      {"bounds", bounds_reject_new_keys_only}};
  tests.at(argv[1])();
  return 0;
}
