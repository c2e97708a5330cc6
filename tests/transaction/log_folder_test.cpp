// Tests of the folder of the transaction log: encoding of rows, and migration of a legacy log with a crash or
// an I/O error at each file system call (ctest -L dependencies).
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

// Guards against rows that decode to other values, and against invalid bytes that are accepted as a row.
void rows_are_decoded_as_encoded() {
  CHECK(rc::check("rows decode to the encoded values, and truncated or longer rows are invalid", [] {
    const auto text = [] { return *rc::gen::arbitrary<std::string>(); };
    begin_record begin{id_of(*rc::gen::inRange(1, 1'000'000)), text(), text(), text()};
    const int participants = *rc::gen::inRange(0, 4);  // 0: the record of an earlier version
    if (participants == 0) begin.endpoints = text();
    for (int i = 0; i < participants; ++i)
      begin.participants.push_back(
          {text(), text(), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<std::uint32_t>()});
    const std::string begin_row = *begin_batch(begin).changes().at({open_table, begin.id});
    const auto parsed = parse_begin_record(begin.id, begin_row);
    RC_ASSERT(parsed && parsed->request_class == begin.request_class && parsed->key == begin.key &&
              parsed->payload == begin.payload && parsed->endpoints == begin.endpoints &&
              parsed->participants == begin.participants);
    const std::size_t cut =
        static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(begin_row.size())));
    RC_ASSERT(!parse_begin_record(begin.id, begin_row.substr(0, cut)) &&
              !parse_begin_record(begin.id, begin_row + "x"));
    const outcome_id id{*rc::gen::arbitrary<std::uint64_t>(),
                        {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()}};
    const auto parsed_id = parse_outcome_id(encode_outcome_id(id));
    RC_ASSERT(parsed_id && parsed_id->number == id.number && parsed_id->key == id.key);
    const outcome_id other_id{*rc::gen::arbitrary<std::uint64_t>(), id.key};
    RC_ASSERT((encode_outcome_id(id) < encode_outcome_id(other_id)) == (id.number < other_id.number));
    const store::batch end =
        end_batch(begin.id, committed_outcome{id, result_record{begin.key, begin.payload}});
    const auto result = parse_result_record(*end.changes().at({outcome_table, encode_outcome_id(id)}));
    RC_ASSERT(result && result->key == begin.key && result->result == begin.payload);
    RC_ASSERT(!end.changes().at({open_table, begin.id}) && !end.changes().at({record_table, begin.id}));
  }));
  for (const log_record record : {log_record::last_agent, log_record::commit, log_record::abort})
    CHECK(parse_log_record(*record_batch("x", record).changes().at({record_table, "x"})) == record);
  for (const char* invalid : {"", "\x01", "\x05", "\x03\x03"}) CHECK(!parse_log_record(invalid));
}

// A record in the legacy format. `with_request`: the record contains the whole request.
store::entry legacy_entry(const begin_record& begin, log_record record, bool committed, bool with_request,
                          std::int64_t expiry, const std::string& result = {}) {
  std::string body = begin.id;
  store::put(body, expiry);
  store::put(body, static_cast<std::uint32_t>(record));
  store::put(body, static_cast<std::uint32_t>(committed));
  const std::string empty;
  for (const std::string* text :
       {with_request ? &begin.request_class : &empty, with_request ? &begin.key : &empty,
        with_request ? &begin.payload : &result, with_request ? &begin.endpoints : &empty}) {
    store::put(body, static_cast<std::uint32_t>(text->size()));
    body += *text;
  }
  return {{16, body}, expiry};
}

// The expected content of a folder.
struct expected_folder {
  std::map<std::string, log_record> last_record;  // of open transactions, by id
  std::map<std::uint64_t, std::string> results;   // of committed transactions, by number
  std::map<std::string, begin_record> begin_records;
};

// Writes a legacy log with `count` transactions, some of them open, as it is at the time `now`.
expected_folder write_legacy_folder(crash::fs& fs, unsigned seed, int count, std::int64_t now) {
  std::mt19937 random(seed);
  expected_folder expected;
  store::log log(
      fs, {"f", segment, 16 * segment, 7}, [](std::uint32_t, std::string_view) { return store::no_expiry; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  log.open(second);
  const auto append = [&](const store::entry& entry) { log.append(std::span(&entry, 1), second); };
  for (int i = 1; i <= count; ++i) {
    const begin_record begin{id_of(static_cast<std::uint64_t>(i)), "kurs-meldung", "key" + std::to_string(i),
                             std::string(random() % 400, 'p'),
                             random() % 2 == 0 ? "127.0.0.1:80 127.0.0.1:81" : ""};
    expected.begin_records[begin.id] = begin;
    append(legacy_entry(begin, log_record::begin, false, true, now + 50 * second));
    log_record last = log_record::begin;
    const auto append_record = [&](log_record record) {
      append(legacy_entry(begin, record, record == log_record::commit, false, now + 50 * second));
      last = record;
    };
    if (random() % 2 == 0) append_record(log_record::last_agent);
    if (random() % 2 == 0) append_record(random() % 3 == 0 ? log_record::abort : log_record::commit);
    // A record that repeats the whole request, with the last or an earlier state.
    if (random() % 2 == 0)
      append(
          legacy_entry(begin, random() % 2 == 0 ? last : log_record::begin, false, true, now + 50 * second));
    if (random() % 2 == 0) {
      expected.last_record[begin.id] = last;
      continue;
    }
    const bool committed = last == log_record::commit, expired = random() % 4 == 0;
    const std::string result(random() % 900, static_cast<char>('a' + i % 26));
    append(legacy_entry(begin, log_record::end, committed, false, expired ? now - second : now + 50 * second,
                        committed ? result : ""));
    if (committed && !expired) expected.results[static_cast<std::uint64_t>(i)] = result;
  }
  return expected;
}

void check_folder(const log_folder& folder, const expected_folder& expected, std::int64_t now) {
  CHECK(folder.open.size() == expected.last_record.size() &&
        folder.outcomes.size() == expected.results.size());
  for (const open_transaction_found& found : folder.open) {
    CHECK(expected.last_record.contains(found.begin.id) &&
          expected.last_record.at(found.begin.id) == found.last);
    const begin_record& begin = expected.begin_records.at(found.begin.id);
    CHECK(found.begin.key == begin.key && found.begin.payload == begin.payload &&
          found.begin.endpoints == begin.endpoints && found.begin.request_class == begin.request_class);
  }
  std::int64_t previous_expiry = 0;
  for (const outcome_found& outcome : folder.outcomes) {
    CHECK(expected.results.contains(outcome.id.number) && outcome.expiry >= previous_expiry &&
          outcome.expiry > now);
    previous_expiry = outcome.expiry;
    const std::string key = "key" + std::to_string(outcome.id.number);
    CHECK(outcome.id.key == hash_key(key, folder.tables->salt()));
    const auto result =
        parse_result_record(folder.tables->get(outcome_table, encode_outcome_id(outcome.id), now).value());
    CHECK(result && result->key == key && result->result == expected.results.at(outcome.id.number));
  }
}

// Guards against transactions or outcomes that the migration loses or duplicates; against a migrated
// transaction that is open again after its end, because its legacy records remain on disk until compaction;
// and against an earlier version of the program that opens a migrated folder.
void legacy_log_is_migrated() {
  constexpr std::int64_t now = 1000 * second;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    crash::fs fs;
    expected_folder expected = write_legacy_folder(fs, seed, 30, now);
    {
      const log_folder folder = open_log_folder(fs, options(), now);
      check_folder(folder, expected, now);
      CHECK(folder.migrated_rows >= expected.last_record.size() + expected.results.size());
      const std::string id = expected.last_record.begin()->first;
      folder.tables->commit(end_batch(id, std::nullopt), store::durability::now, now);
      expected.last_record.erase(id);
    }
    {
      const log_folder folder = open_log_folder(fs, options(), now + second);
      check_folder(folder, expected, now + second);
      CHECK(folder.migrated_rows == 0);
      for (int i = 0; folder.tables->clean_step(now + second); ++i) CHECK(i < 10'000);
      for (int i = 0; i < 200; ++i) {  // enough writes that compaction removes all legacy segments
        store::batch batch;
        batch.put("open-for-test", "k", std::string(1000, 'x'));
        CHECK(folder.tables->commit(batch, store::durability::now, now + second).accepted);
        while (folder.tables->clean_step(now + second)) {
        }
      }
    }
    CHECK(store::inspect_tables(fs, "f", now + second).legacy_records == 0);
    check_folder(open_log_folder(fs, options(), now + second), expected, now + second);
    try {
      store::log earlier_version(
          fs, {"f", segment, 16 * segment, 7},
          [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
          [](std::uint32_t, std::string_view, const store::position&) {});
      CHECK(false);
    } catch (const store::damaged& e) {
      CHECK(std::string(e.what()).find("format version 2") != std::string::npos);
    }
  }
}

// Guards against lost or duplicated transactions if the power fails or the disk reports an error at any file
// system call of the migration, and again during the second attempt.
void migration_survives_faults() {
  constexpr std::int64_t now = 1000 * second;
  std::uint64_t faults = 0;
  for (const crash::fault fault : {crash::fault::power_loss, crash::fault::error, crash::fault::cut_short}) {
    for (std::uint64_t failing_call = 1;; ++failing_call) {
      crash::fs fs;
      const expected_folder expected = write_legacy_folder(fs, static_cast<unsigned>(failing_call), 12, now);
      std::mt19937 random(static_cast<unsigned>(failing_call));
      bool reached = false;
      for (int tries = 0; tries < 2; ++tries) {
        fs.calls = 0;
        fs.how = fault;
        fs.fail_at = tries == 0 ? failing_call : 1 + random() % failing_call;
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
      check_folder(open_log_folder(fs, options(), now), expected, now);
      faults += reached;
      if (!reached) break;
    }
  }
  std::printf("%llu faults\n", static_cast<unsigned long long>(faults));
  CHECK(faults > 30);
}

// Guards against a partial migration if the rows do not fit into the configured space: opening the folder
// must fail with a message, and must succeed later with more space.
void migration_fails_without_space() {
  constexpr std::int64_t now = 1000 * second;
  crash::fs fs;
  const expected_folder expected = write_legacy_folder(fs, 3, 120, now);
  try {
    open_log_folder(fs, options(store::min_segments * segment), now);
    CHECK(false);
  } catch (const store::io_error& e) {
    CHECK(std::string(e.what()).find("increase writes.space") != std::string::npos);
  }
  check_folder(open_log_folder(fs, options(), now), expected, now);
}

// Loads the folder tests/data/transactions-0abc316, written by the program of commit 0abc316, into an
// in-memory file system.
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

std::string scoped_key(const std::string& key) {
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
    CHECK(found.begin.request_class == "kurs-meldung" && found.begin.key == scoped_key(expected[i].key));
    CHECK(found.begin.payload == request_of(expected[i].key));
    CHECK(found.begin.endpoints == "127.1.95.75:51027 127.1.95.75:48723 127.1.95.75:39001");
    // Encoding the record again gives the same row, byte for byte.
    CHECK(begin_batch(found.begin).changes().at({open_table, found.begin.id}) ==
          folder.tables->get("open", expected[i].id, now));
    const auto record_row = folder.tables->get("mark", expected[i].id, now);
    CHECK(record_row.has_value() == (found.last != log_record::begin));
    if (record_row)
      CHECK(record_batch(found.begin.id, found.last).changes().at({record_table, found.begin.id}) ==
            record_row);
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
    CHECK(found.id.key == hash_key(scoped_key(expected[i].key), folder.tables->salt()));
    const std::string row = folder.tables->get("outcome", encode_outcome_id(found.id), now).value();
    const auto result = parse_result_record(row);
    CHECK(result && result->key == scoped_key(expected[i].key) &&
          result->result == result_of(expected[i].key));
    const auto rewritten = end_batch("id", committed_outcome{found.id, *result});
    CHECK(rewritten.changes().at({outcome_table, encode_outcome_id(found.id)}) == row);
  }
}

// Guards against changes of the disk format: a folder written by the program of commit 0abc316 must be read
// correctly.
void folder_of_0abc316_is_read() {
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
  const std::map<std::string, void (*)()> tests = {{"rows", rows_are_decoded_as_encoded},
                                                   {"migrated", legacy_log_is_migrated},
                                                   {"migrated_with_faults", migration_survives_faults},
                                                   {"no_space", migration_fails_without_space},
                                                   {"written_by_0abc316", folder_of_0abc316_is_read}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
