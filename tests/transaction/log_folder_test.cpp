// The folder of the transaction log: its rows, and a legacy log migrated, with crashes and failures at each
// call on the way (ctest -L dependencies).
#include "transaction/log_folder.hpp"

#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <map>
#include <random>

#include "../check.hpp"
#include "../idempotency/crash_fs.hpp"
#include "store/bytes.hpp"

using namespace marblewharf::transaction;
namespace store = marblewharf::store;

namespace {

constexpr std::int64_t second = 1'000'000'000;
constexpr std::uint64_t segment = 8 << 10;

log_folder_options options(std::uint64_t space = 64 * segment) {
  return {"f", segment, space, std::chrono::seconds(60), 7};
}

std::string id_of(std::uint64_t n) {
  char text[33];
  std::snprintf(text, sizeof text, "%016x%016llx", 0xabcu, static_cast<unsigned long long>(n));
  return text;
}

void rows() {
  CHECK(rc::check("rows say what was put into them, and nothing else is a row", [] {
    const auto text = [] { return *rc::gen::arbitrary<std::string>(); };
    const begin_record w{id_of(*rc::gen::inRange(1, 1'000'000)), text(), text(), text(), text()};
    const std::string begun = *begin_batch(w).all().at({open_table, w.id});
    const auto back = parse_begin_record(w.id, begun);
    RC_ASSERT(back && back->request_class == w.request_class && back->key == w.key &&
              back->payload == w.payload && back->endpoints == w.endpoints);
    const std::size_t cut = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(begun.size())));
    RC_ASSERT(!parse_begin_record(w.id, begun.substr(0, cut)) && !parse_begin_record(w.id, begun + "x"));
    const outcome_id o{*rc::gen::arbitrary<std::uint64_t>(),
                       {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()}};
    const auto again = parse_outcome_id(encode_outcome_id(o));
    RC_ASSERT(again && again->number == o.number && again->key == o.key);
    const outcome_id p{*rc::gen::arbitrary<std::uint64_t>(), o.key};
    RC_ASSERT((encode_outcome_id(o) < encode_outcome_id(p)) == (o.number < p.number));
    const store::batch over = end_batch(w.id, committed_outcome{o, result_record{w.key, w.payload}});
    const auto ended = parse_result_record(*over.all().at({outcome_table, encode_outcome_id(o)}));
    RC_ASSERT(ended && ended->key == w.key && ended->result == w.payload);
    RC_ASSERT(!over.all().at({open_table, w.id}) && !over.all().at({record_table, w.id}));
  }));
  for (const log_record m : {log_record::last_agent, log_record::commit, log_record::abort})
    CHECK(parse_log_record(*record_batch("x", m).all().at({record_table, "x"})) == m);
  for (const char* none : {"", "\x01", "\x05", "\x03\x03"}) CHECK(!parse_log_record(none));
}

// As the older program wrote it.
store::entry older_entry(const begin_record& w, log_record what, bool committed, bool whole,
                         std::int64_t expiry, const std::string& result = {}) {
  std::string body = w.id;
  store::put(body, expiry);
  store::put(body, static_cast<std::uint32_t>(what));
  store::put(body, static_cast<std::uint32_t>(committed));
  const std::string none;
  for (const std::string* text : {whole ? &w.request_class : &none, whole ? &w.key : &none,
                                  whole ? &w.payload : &result, whole ? &w.endpoints : &none}) {
    store::put(body, static_cast<std::uint32_t>(text->size()));
    body += *text;
  }
  return {{16, body}, expiry};
}

struct model {
  std::map<std::string, log_record> open;     // by id
  std::map<std::uint64_t, std::string> over;  // by number: the result
  std::map<std::string, begin_record> begun;
};

// A folder of the older program's with `n` writes of which some are under way; it closed at `now`.
model older_folder(crash::fs& fs, unsigned seed, int n, std::int64_t now) {
  std::mt19937 random(seed);
  model m;
  store::log l(
      fs, {"f", segment, 16 * segment, 7}, [](std::uint32_t, std::string_view) { return store::never; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  l.open(second);
  const auto append = [&](const store::entry& e) { l.append(std::span(&e, 1), second); };
  for (int i = 1; i <= n; ++i) {
    const begin_record w{id_of(static_cast<std::uint64_t>(i)), "kurs-meldung", "key" + std::to_string(i),
                         std::string(random() % 400, 'p'),
                         random() % 2 == 0 ? "127.0.0.1:80 127.0.0.1:81" : ""};
    m.begun[w.id] = w;
    append(older_entry(w, log_record::begin, false, true, now + 50 * second));
    log_record last = log_record::begin;
    const auto mark = [&](log_record what) {
      append(older_entry(w, what, what == log_record::commit, false, now + 50 * second));
      last = what;
    };
    if (random() % 2 == 0) mark(log_record::last_agent);
    if (random() % 2 == 0) mark(random() % 3 == 0 ? log_record::abort : log_record::commit);
    // Renewed, perhaps with a mark from before the last one.
    if (random() % 2 == 0)
      append(older_entry(w, random() % 2 == 0 ? last : log_record::begin, false, true, now + 50 * second));
    if (random() % 2 == 0) {
      m.open[w.id] = last;
      continue;
    }
    const bool committed = last == log_record::commit, aged = random() % 4 == 0;
    const std::string result(random() % 900, static_cast<char>('a' + i % 26));
    append(older_entry(w, log_record::end, committed, false, aged ? now - second : now + 50 * second,
                       committed ? result : ""));
    if (committed && !aged) m.over[static_cast<std::uint64_t>(i)] = result;
  }
  return m;
}

void expect(const log_folder& f, const model& m, std::int64_t now) {
  CHECK(f.open.size() == m.open.size() && f.outcomes.size() == m.over.size());
  for (const open_transaction_found& w : f.open) {
    CHECK(m.open.contains(w.begin.id) && m.open.at(w.begin.id) == w.last);
    const begin_record& b = m.begun.at(w.begin.id);
    CHECK(w.begin.key == b.key && w.begin.payload == b.payload && w.begin.endpoints == b.endpoints &&
          w.begin.request_class == b.request_class);
  }
  std::int64_t before = 0;
  for (const outcome_found& o : f.outcomes) {
    CHECK(m.over.contains(o.id.number) && o.expiry >= before && o.expiry > now);
    before = o.expiry;
    const std::string key = "key" + std::to_string(o.id.number);
    CHECK(o.id.key == hash_key(key, f.tables->salt()));
    const auto ended =
        parse_result_record(f.tables->get(outcome_table, encode_outcome_id(o.id), now).value());
    CHECK(ended && ended->key == key && ended->result == m.over.at(o.id.number));
  }
}

// All of an older folder is there, once; what ends afterwards stays ended, though the older marks stand until
// they are cleaned away; and the older program refuses the folder.
void migrated() {
  constexpr std::int64_t now = 1000 * second;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash::fs fs;
    model m = older_folder(fs, seed, 30, now);
    {
      const log_folder f = open_log_folder(fs, options(), now);
      expect(f, m, now);
      CHECK(f.migrated_rows >= m.open.size() + m.over.size());
      const std::string id = m.open.begin()->first;
      f.tables->commit(end_batch(id, std::nullopt), store::durability::now, now);
      m.open.erase(id);
    }
    {
      const log_folder f = open_log_folder(fs, options(), now + second);
      expect(f, m, now + second);
      CHECK(f.migrated_rows == 0);
      for (int i = 0; f.tables->clean_step(now + second); ++i) CHECK(i < 10'000);
      for (int i = 0; i < 200; ++i) {  // some turns of the log, so that the older segments go
        store::batch b;
        b.put("open-for-test", "k", std::string(1000, 'x'));
        CHECK(f.tables->commit(b, store::durability::now, now + second).may);
        while (f.tables->clean_step(now + second)) {
        }
      }
    }
    CHECK(store::inspect_tables(fs, "f", now + second).older == 0);
    expect(open_log_folder(fs, options(), now + second), m, now + second);
    try {
      store::log older(
          fs, {"f", segment, 16 * segment, 7},
          [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
          [](std::uint32_t, std::string_view, const store::position&) {});
      CHECK(false);
    } catch (const store::damaged& e) {
      CHECK(std::string(e.what()).find("format version 2") != std::string::npos);
    }
  }
}

// The power goes, or the disk fails, at each call of the move, and again at some call of the next try: in the
// end all is there, and nothing twice.
void migrated_with_faults() {
  constexpr std::int64_t now = 1000 * second;
  std::uint64_t faults = 0;
  for (const crash::fault how : {crash::fault::power_loss, crash::fault::error, crash::fault::cut_short}) {
    for (std::uint64_t at = 1;; ++at) {
      crash::fs fs;
      const model m = older_folder(fs, static_cast<unsigned>(at), 12, now);
      std::mt19937 random(static_cast<unsigned>(at));
      bool reached = false;
      for (int tries = 0; tries < 2; ++tries) {
        fs.calls = 0;
        fs.how = how;
        fs.fail_at = tries == 0 ? at : 1 + random() % at;
        try {
          open_log_folder(fs, options(), now);
        } catch (const crash::crashed&) {
          reached = true;
          fs.restart(random);
        } catch (const store::io_error&) {
          reached = true;
        }
        reached = reached || fs.calls >= fs.fail_at;
        fs.fail_at = 0;
      }
      expect(open_log_folder(fs, options(), now), m, now);
      faults += reached;
      if (!reached) break;
    }
  }
  std::printf("%llu faults\n", static_cast<unsigned long long>(faults));
  CHECK(faults > 30);
}

// Where what counts does not fit, the start says so and leaves the folder as it is.
void no_room() {
  constexpr std::int64_t now = 1000 * second;
  crash::fs fs;
  const model m = older_folder(fs, 3, 120, now);
  try {
    open_log_folder(fs, options(store::least_segments * segment), now);
    CHECK(false);
  } catch (const store::io_error& e) {
    CHECK(std::string(e.what()).find("more writes.space") != std::string::npos);
  }
  expect(open_log_folder(fs, options(), now), m, now);
}

// The committed folder of commit 0abc316, in a file system in memory.
void load_committed_folder(crash::fs& fs) {
  constexpr std::uint64_t segment_bytes = 1 << 20;
  const std::string name = "0000000000000001.seg";
  std::ifstream in(std::string(COMMITTED_FOLDER) + "/" + name, std::ios::binary);
  CHECK(in);
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  const auto file = fs.create("f/" + name, segment_bytes);
  file->write_at(0, bytes);
  file->sync();
  fs.sync_folder("f");
}

std::string request_of(const std::string& key) {
  const auto field = [](const std::string& text) {
    return std::string{static_cast<char>(text.size()), '\0'} + text;
  };
  const std::string vars = field("PATH_INFO") + field("/kurs/meldung") + field("REMOTE_USER") +
                           field("isar-invest") + field("KEY") + field(key) + field("CONTENT_LENGTH") +
                           field("7");
  return std::string{'\0', static_cast<char>(vars.size()), '\0', '\0'} + vars + "payload";
}

std::string scoped(const std::string& key) {
  const std::string zero(1, '\0');
  return "isar-invest" + zero + "kurs-meldung" + zero + key;
}

std::string result_of(const std::string& key) {
  std::string parts;
  for (const std::string participant : {"konto", "buch", "melde"}) {
    const std::string body = participant + " " + key;
    parts += "--part0\r\nPart: " + participant +
             "\r\nPart-State: fresh\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body +
             "\r\n";
  }
  parts += "--part0--\r\n";
  return "HTTP/1.1 200 OK\r\nContent-Type: multipart/mixed; boundary=part0\r\nPartial: "
         "no\r\nContent-Length: " +
         std::to_string(parts.size()) + "\r\n\r\n" + parts;
}

void expect_open_transactions(const log_folder& folder, std::int64_t now) {
  struct expected_transaction {
    std::string id, key;
    log_record last{};
  };
  const std::vector<expected_transaction> expected = {
      {"0ca237602ed64d2f18edb4c93867a955", "begun", log_record::begin},
      {"0ca237602ed64d2f18edb4c945347f60", "last-agent", log_record::last_agent},
      {"0ca237602ed64d2f18edb4c9503edefe", "committing", log_record::commit},
      {"0ca237602ed64d2f18edb4c95bf88de0", "aborting", log_record::abort}};
  CHECK(folder.open.size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const open_transaction_found& found = folder.open[i];
    CHECK(found.begin.id == expected[i].id && found.last == expected[i].last);
    CHECK(found.begin.request_class == "kurs-meldung" && found.begin.key == scoped(expected[i].key));
    CHECK(found.begin.payload == request_of(expected[i].key));
    CHECK(found.begin.endpoints == "127.1.95.75:51027 127.1.95.75:48723 127.1.95.75:39001");
    // Written anew, the rows are the same, byte for byte.
    CHECK(begin_batch(found.begin).all().at({open_table, found.begin.id}) ==
          folder.tables->get("open", expected[i].id, now));
    const auto record_row = folder.tables->get("mark", expected[i].id, now);
    CHECK(record_row.has_value() == (found.last != log_record::begin));
    if (record_row)
      CHECK(record_batch(found.begin.id, found.last).all().at({record_table, found.begin.id}) == record_row);
  }
}

void expect_outcomes(const log_folder& folder, std::int64_t now) {
  struct expected_outcome {
    std::string key;
    std::uint64_t number = 0;
    std::int64_t expiry = 0;
  };
  const std::vector<expected_outcome> expected = {{"ended-1", 0x18edb4c92b19efc8, 1796291202506981784},
                                                  {"ended-2", 0x18edb4c973e84d96, 1796291203717561940}};
  CHECK(folder.outcomes.size() == expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    const outcome_found& found = folder.outcomes[i];
    CHECK(found.id.number == expected[i].number && found.expiry == expected[i].expiry);
    CHECK(found.id.key == hash_key(scoped(expected[i].key), folder.tables->salt()));
    const std::string row = folder.tables->get("outcome", encode_outcome_id(found.id), now).value();
    const auto result = parse_result_record(row);
    CHECK(result && result->key == scoped(expected[i].key) && result->result == result_of(expected[i].key));
    const auto rewritten = end_batch("id", committed_outcome{found.id, *result});
    CHECK(rewritten.all().at({outcome_table, encode_outcome_id(found.id)}) == row);
  }
}

// A folder that the program of commit 0abc316 wrote says what it said then.
void written_by_0abc316() {
  constexpr std::int64_t now = 1796290700 * second;
  crash::fs fs;
  load_committed_folder(fs);
  log_folder_options committed_options;
  committed_options.folder = "f";
  committed_options.segment_bytes = 1 << 20;
  committed_options.space_bytes = 12 << 20;
  committed_options.outcome_retention = std::chrono::minutes(10);
  const log_folder folder = open_log_folder(fs, committed_options, now);
  CHECK(folder.migrated_rows == 0);
  expect_open_transactions(folder, now);
  expect_outcomes(folder, now);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"rows", rows},
                                                   {"migrated", migrated},
                                                   {"migrated_with_faults", migrated_with_faults},
                                                   {"no_room", no_room},
                                                   {"written_by_0abc316", written_by_0abc316}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
