// Stores the results of keyed requests in a folder, so that they survive restarts. The key table holds the
// states of the keys, the committer's thread writes and reads records, and this class connects both with the
// dispatcher. Not thread-safe: owned by the dispatcher's thread, which calls step().
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/key_table_service.hpp"
#include "idempotency/records.hpp"
#include "idempotency/server_names.hpp"
#include "store/committer.hpp"

namespace marblewharf::idempotency {

struct durable_service_options {
  std::string folder;
  // By request class: how long after the first arrival duplicates are recognized; 0 = not keyed.
  std::vector<std::chrono::nanoseconds> windows;
  duration longest_wait{};  // maximum time from the arrival of a request at the host until it is read
  // Names by number. Keys are scoped by names, so that numbers may change between restarts.
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::size_t max_server_name_bytes = 0;  // bytes; 0 = no backend distinguishes servers
  std::size_t max_key_bytes = 255;        // bytes
  std::size_t max_result_bytes = 4096;    // bytes
  std::size_t max_keys = 1'000'000;       // maximum number of known keys
  // Maximum number of open keys. A key is open from the arrival of its request to the result.
  std::size_t max_open_keys = 1024;
  std::size_t max_concurrent_reads = 1024;         // maximum number of concurrent reads of results
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes of a segment file
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes of the folder
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);  // delay after a failed write
  std::size_t commit_records = 1024;         // maximum number of records in one commit
  unsigned inquiry_tries = 0;                // 0 = no backend supports inquiries
  std::chrono::nanoseconds inquiry_pause{};  // pause after the first inquiry
  std::uint64_t salt = 0;                    // random; used for a new folder only
  // The system clock and the steady clock, read at the same moment.
  std::chrono::nanoseconds unix_now{};
  std::chrono::nanoseconds steady_now{};
};

class durable_service : public key_table_service {
 public:
  // Recovers the keys from the folder. `notify`: called from the committer's thread when step() has something
  // to do. Throws store::io_error or store::damaged if the folder cannot be used or has records that this
  // version does not know.
  durable_service(store::file_system& files, durable_service_options options, telemetry::counters& counters,
                  std::function<void()> notify);
  ~durable_service() override;

  // Processes the completed writes and reads, sends replies to the dispatcher, and removes expired keys.
  void step(time_point steady_now);

  // ---- idempotency_store ----------------------------------------------------------------------------------
  claim_result claim(request_id id, const request& claimant) override;
  void write_intent(request_id primary, const request& claimant) override;
  bool record_result(request_id primary, bool succeeded, std::string_view result) override;
  void release_key(request_id primary) override;
  void abandon(request_id id) override;
  duration schedule_inquiry_retry(request_id primary) override;
  void fetch_result(request_id id) override;

  // The counts of what recovery read from the folder.
  const store::recovered_counts& recovered() const { return recovered_; }

 private:
  struct pending_write {
    record_type type{};
    request_id primary = 0;
    key_id key;
    store::entry entry;  // a result is written again until it is on disk
  };
  struct result_reader {
    key_id key;
    store::position result_at;
  };

  std::unique_ptr<store::log> open_log(store::file_system& files);
  void recover(const key_record& record, const store::position& position);
  void start_committer(std::unique_ptr<store::log> log, std::function<void()> notify);
  aging_time now() const { return clock_.at(now_); }
  // Until when a record of a key with this expiry is kept on disk.
  aging_time kept_until(aging_time expiry) const { return expiry + longest_wait().count(); }
  key_record record_of(record_type type, const claimed_key& claimed) const;
  void write(request_id primary, const claimed_key& claimed, const key_record& record);
  void submit(pending_write write);
  void update_disk_state(const store::committer::disk_status& disk);
  void on_written(std::uint64_t ticket, const store::committer::done& done);
  void on_intent_done(const pending_write& write, bool durable);
  void on_read(std::uint64_t ticket, const store::committer::done& done);
  void reply_unreadable(request_id id);

  const durable_service_options options_;
  time_point now_;  // on the steady clock
  store::recovered_counts recovered_;
  std::uint64_t salt_ = 0;
  server_names servers_;
  std::unordered_map<request_id, result_reader> readers_;  // requests that will fetch a result
  std::map<std::uint64_t, pending_write> writes_;          // by ticket
  std::unordered_map<std::uint64_t, request_id> reads_;    // by ticket
  std::vector<pending_write> failed_results_;              // to be written again once the disk is writable
  std::uint64_t last_ticket_ = 0;
  bool writable_ = true;
  std::unique_ptr<store::committer> committer_;  // the last member, so that its thread ends first
};

}  // namespace marblewharf::idempotency
