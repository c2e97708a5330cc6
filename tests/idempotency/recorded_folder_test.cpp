// Guards against changes of the on-disk format: a folder written by the program of commit 0abc316 must be
// read correctly. It was written at 1000 s of Unix time with the salt below. Class 0 had a window of one
// hour, class 1 of ten minutes.
#include <cstdlib>
#include <filesystem>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "../check.hpp"
#include "idempotency/durable_service.hpp"
#include "idempotency/records.hpp"
#include "store/log.hpp"

using namespace marblewharf;
using namespace marblewharf::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t folder_salt = 0x0123456789abcdef;
constexpr aging_time written_at = 1'000'000'000'000;
constexpr aging_time hour = 3'600'000'000'000;
constexpr aging_time ten_minutes = 600'000'000'000;
const std::string empty_result;
const std::string odd_key = "k\xc3\xa4y /";

// A copy of the folder, because opening a folder writes to it.
class folder_copy {
 public:
  folder_copy() {
    char name[] = "/tmp/marblewharf-recorded-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    root_ = name;
    std::filesystem::copy(RECORDED_FOLDER, path());
  }
  ~folder_copy() { std::filesystem::remove_all(root_); }
  std::string path() const { return root_ + "/results"; }

 private:
  std::string root_;
};

struct expected_record {
  record_type type{};
  std::string client_key;
  std::string request_class;
  std::string tenant;
  std::uint64_t fingerprint = 0;
  aging_time window = 0;
  bool succeeded = false;
  std::string result;
};

const std::vector<expected_record> expected_records = {
    {record_type::intent, "served", "kurs-meldung", "isar-invest", 11, hour, false, ""},
    {record_type::result, "served", "kurs-meldung", "isar-invest", 11, hour, true,
     std::string("re\0sult", 7)},
    {record_type::intent, "failed", "kurs-meldung", "lech-vermoegen", 12, hour, false, ""},
    {record_type::result, "failed", "kurs-meldung", "lech-vermoegen", 12, hour, false, "why"},
    {record_type::intent, "unknown", "kurs-meldung", "isar-invest", 13, hour, false, ""},
    {record_type::intent, "released", "kurs-meldung", "isar-invest", 14, hour, false, ""},
    {record_type::release, "released", "kurs-meldung", "isar-invest", 14, hour, false, ""},
    {record_type::intent, "short", "kurs-abfrage", "isar-invest", 15, ten_minutes, false, ""},
    {record_type::result, "short", "kurs-abfrage", "isar-invest", 15, ten_minutes, true, "ten minutes"},
    {record_type::intent, odd_key, "kurs-meldung", "", 0xfedcba9876543210, hour, false, ""},
    {record_type::result, odd_key, "kurs-meldung", "", 0xfedcba9876543210, hour, true, empty_result},
};

void check_record(const key_record& record, const expected_record& expected) {
  CHECK(record.type == expected.type);
  CHECK(record.key == key_id_of(expected.tenant, expected.request_class, expected.client_key, folder_salt));
  CHECK(record.fingerprint == expected.fingerprint);
  CHECK(record.expiry == written_at + expected.window);
  CHECK(record.written_at == written_at);
  CHECK(record.succeeded == expected.succeeded);
  CHECK(record.result == expected.result);
  if (record.type != record_type::intent) return;
  CHECK(record.tenant == expected.tenant);
  CHECK(record.request_class == expected.request_class);
  CHECK(record.client_key == expected.client_key);
}

// All fields of all records are decoded correctly, and encoding a record again yields the same bytes.
void all_records_are_decoded() {
  const folder_copy folder;
  store::posix_file_system files;
  std::size_t read = 0;
  const auto expiry_of = [](std::uint32_t type, std::string_view body) { return decode(type, body)->expiry; };
  const auto check_next = [&read](std::uint32_t type, std::string_view body, const store::position&) {
    const std::optional<key_record> record = decode(type, body);
    CHECK(record && read < expected_records.size());
    check_record(*record, expected_records[read]);
    const store::record again = encode(*record);
    CHECK(again.type == type && again.body == body);
    ++read;
  };
  store::log::inspect(files, folder.path(), expiry_of, check_next);
  CHECK(read == expected_records.size());
}

struct fetched_copy {
  fetch_outcome outcome = fetch_outcome::unreadable;
  std::string bytes;
};

class recording_observer : public idempotency_observer {
 public:
  void on_intent_written(request_id, bool) override {}
  void on_result_recorded(request_id) override {}
  void on_result_fetched(request_id id, const fetched_result& fetched) override {
    results[id] = {fetched.outcome, std::string(fetched.bytes)};
  }
  std::map<request_id, fetched_copy> results;
};

// A service that opens the folder at a given time. Its classes and tenants have other numbers than when the
// folder was written.
class reopened_service {
 public:
  reopened_service(const folder_copy& folder, std::chrono::nanoseconds unix_now)
      : steady_(std::chrono::steady_clock::now().time_since_epoch()),
        service_(files_, options_of(folder, unix_now, steady_), counters_, [] {}) {
    service_.set_observer(observer_);
  }

  claim_status claim(const std::string& key, const std::string& request_class, const std::string& tenant,
                     std::uint64_t fingerprint) {
    request claimant;
    claimant.key = key;
    claimant.request_class = request_class == "kurs-abfrage" ? 0 : 1;
    claimant.tenant = tenant == "lech-vermoegen" ? 0 : tenant == "isar-invest" ? 1 : 9;
    claimant.fingerprint = fingerprint;
    claimant.arrival_time = steady_;
    return service_.claim(++last_id_, claimant).status;
  }

  // Returns the stored result of the request that was claimed last.
  fetched_copy fetch() {
    service_.fetch_result(last_id_);
    const time_point give_up = std::chrono::steady_clock::now().time_since_epoch() + 15s;
    while (!observer_.results.contains(last_id_)) {
      CHECK(std::chrono::steady_clock::now().time_since_epoch() < give_up);
      service_.step(steady_);
      std::this_thread::sleep_for(1ms);
    }
    return observer_.results.at(last_id_);
  }

  const key_table& known() const { return service_.table(); }

 private:
  static durable_service_options options_of(const folder_copy& folder, std::chrono::nanoseconds unix_now,
                                            std::chrono::nanoseconds steady_now) {
    durable_service_options options;
    options.folder = folder.path();
    options.windows = {10min, 1h};
    options.classes = {"kurs-abfrage", "kurs-meldung"};
    options.tenants = {"lech-vermoegen", "isar-invest"};
    options.max_key_bytes = 32;
    options.max_result_bytes = 256;
    options.segment = 4096;
    options.space = 65536;
    options.salt = 99;  // ignored: the salt of the folder is used
    options.unix_now = unix_now;
    options.steady_now = steady_now;
    return options;
  }

  store::posix_file_system files_;
  telemetry::counters counters_;
  recording_observer observer_;
  time_point steady_;
  durable_service service_;
  request_id last_id_ = 0;
};

void check_result(reopened_service& service, fetch_outcome outcome, const std::string& bytes) {
  const fetched_copy fetched = service.fetch();
  CHECK(fetched.outcome == outcome);
  CHECK(fetched.bytes == bytes);
}

// After a restart within all windows, duplicates get their stored results.
void duplicates_get_stored_results() {
  const folder_copy folder;
  reopened_service service(folder, 1500s);
  CHECK(service.known().size() == 5 && service.known().outcomes_unknown() == 1);
  CHECK(service.claim("served", "kurs-meldung", "isar-invest", 11) == claim_status::completed);
  check_result(service, fetch_outcome::succeeded, std::string("re\0sult", 7));
  CHECK(service.claim("failed", "kurs-meldung", "lech-vermoegen", 12) == claim_status::completed);
  check_result(service, fetch_outcome::run_failed, "why");
  CHECK(service.claim("short", "kurs-abfrage", "isar-invest", 15) == claim_status::completed);
  check_result(service, fetch_outcome::succeeded, "ten minutes");
  CHECK(service.claim(odd_key, "kurs-meldung", "", 0xfedcba9876543210) == claim_status::completed);
  check_result(service, fetch_outcome::succeeded, empty_result);
  CHECK(service.claim("unknown", "kurs-meldung", "isar-invest", 13) == claim_status::outcome_unknown);
  CHECK(service.claim("served", "kurs-meldung", "isar-invest", 99) == claim_status::key_conflict);
  CHECK(service.claim("served", "kurs-meldung", "lech-vermoegen", 11) == claim_status::primary);
  CHECK(service.claim("released", "kurs-meldung", "isar-invest", 14) == claim_status::primary);
}

// Each key expires exactly at the end of its window, to the nanosecond.
void keys_expire_at_end_of_window() {
  const std::chrono::nanoseconds short_end = 1000s + 10min;
  const std::chrono::nanoseconds long_end = 1000s + 1h;
  const auto known_at = [](std::chrono::nanoseconds unix_now) {
    const folder_copy folder;
    return reopened_service(folder, unix_now).known().size();
  };
  CHECK(known_at(short_end - 1ns) == 5);
  CHECK(known_at(short_end) == 4);
  CHECK(known_at(long_end - 1ns) == 4);
  CHECK(known_at(long_end) == 0);
  const folder_copy folder;
  reopened_service service(folder, short_end);
  CHECK(service.claim("short", "kurs-abfrage", "isar-invest", 15) == claim_status::primary);
  CHECK(service.claim("unknown", "kurs-meldung", "isar-invest", 13) == claim_status::outcome_unknown);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"records", all_records_are_decoded},
                                                   {"claims", duplicates_get_stored_results},
                                                   {"expiry", keys_expire_at_end_of_window}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
