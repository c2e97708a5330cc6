// Stores the results of keyed requests in a folder, across restarts: the key table decides, the committer's
// thread writes and reads, and this class passes on what either has to tell the other and the dispatcher. Not
// synchronized: owned by the dispatcher's thread, which calls step().
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/aging_clock.hpp"
#include "idempotency/key_table_service.hpp"
#include "idempotency/records.hpp"
#include "store/committer.hpp"

namespace marblewharf::idempotency {

struct durable_service_options {
  std::string folder;
  std::vector<std::chrono::nanoseconds> windows;  // by class: how long a duplicate may arrive; 0 = not keyed
  // Names by number. Keys are scoped by name, so that numbers may change between restarts.
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::size_t longest_key = 255;                   // bytes
  std::size_t largest_result = 4096;               // bytes
  std::size_t entries = 1'000'000;                 // keys known at once
  std::size_t open = 1024;                         // keyed requests between their arrival and their result
  std::size_t reads = 1024;                        // results being read at once
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes of a file
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes of the folder
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);  // after a failed write
  std::size_t commit_records = 1024;                                     // in one commit, at most
  unsigned inquiry_tries = 0;                // 0 = no backend can be asked for outcomes
  std::chrono::nanoseconds inquiry_pause{};  // after the first inquiry
  std::uint64_t salt = 0;                    // random; used for a folder that is new
  std::chrono::nanoseconds unix_now{};       // the system's clock and the steady clock at the same moment
  std::chrono::nanoseconds steady_now{};
};

class durable_service : public key_table_service {
 public:
  // Reads what the folder holds. `notify`: step() has something to do; called from the committer's thread.
  // Throws store::io_error or store::damaged where the folder cannot be used.
  durable_service(store::file_system& files, durable_service_options options, telemetry::counters& counters,
                  std::function<void()> notify);
  ~durable_service() override;

  // Takes in what the disk did since the last call, gives the dispatcher its replies, and removes what has
  // expired.
  void step(time_point steady_now);

  // ---- idempotency_store ----------------------------------------------------------------------------------
  claim_result claim(request_id id, const request& what) override;
  void write_intent(request_id primary, const request& what) override;
  bool record_result(request_id primary, bool succeeded, std::string_view result) override;
  void release_key(request_id primary) override;
  duration schedule_inquiry_retry(request_id primary) override;
  void fetch_result(request_id id) override;

  // What the folder held at the start.
  const store::recovered_counts& found() const { return found_; }

 private:
  struct pending_write {
    record_type type{};
    request_id primary = 0;
    key_id key;
    store::entry entry;  // of a result: tried again until it is on disk
  };
  struct result_reader {
    key_id key;
    store::position result_at;
  };

  std::unique_ptr<store::log> open_log(store::file_system& files);
  void recover(const key_record& found, const store::position& position);
  void start_committer(std::unique_ptr<store::log> log, std::function<void()> notify);
  aging_time now() const { return clock_.at(now_); }
  std::string_view tenant_name(unsigned tenant) const;
  key_record record_of(record_type type, const claimed_key& claimed) const;
  void write(request_id primary, const claimed_key& claimed, const key_record& record);
  void submit(pending_write write);
  void update_disk_state(const store::committer::disk_status& disk);
  void on_written(std::uint64_t ticket, const store::committer::done& done);
  void on_intent_done(const pending_write& write, bool durable);
  void on_read(std::uint64_t ticket, const store::committer::done& done);
  void reply_unreadable(request_id id);

  const durable_service_options options_;
  aging_clock clock_;
  time_point now_;  // steady
  store::recovered_counts found_;
  std::uint64_t salt_ = 0;
  std::unordered_map<request_id, result_reader> readers_;  // of stored results
  std::map<std::uint64_t, pending_write> writes_;          // by ticket
  std::unordered_map<std::uint64_t, request_id> reads_;    // by ticket
  std::vector<pending_write> failed_results_;              // to be written once the disk takes writes again
  std::uint64_t last_ticket_ = 0;
  bool writable_ = true;
  std::unique_ptr<store::committer> committer_;  // the last member: its thread ends first
};

}  // namespace marblewharf::idempotency
