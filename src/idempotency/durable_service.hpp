// Keeps the results of keyed requests: the ledger decides, the committer's thread writes, and this passes
// what either says to the other and to the dispatcher. One thread, the one that calls step().
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/idempotency_store.hpp"
#include "idempotency/aging_clock.hpp"
#include "idempotency/key_table.hpp"
#include "idempotency/records.hpp"
#include "store/committer.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::idempotency {

struct durable_service_options {
  std::string folder;
  std::vector<std::chrono::nanoseconds> windows;  // by class; 0 = not keyed
  std::vector<std::string> classes,
      tenants;  // by their numbers: keys are scoped by name, so that both may change
  std::size_t longest_key = 255;
  std::size_t largest_result = 4096;
  std::size_t entries = 1'000'000;
  std::size_t open = 1024;
  std::size_t reads = 1024;  // results on their way from disk
  std::uint64_t segment = std::uint64_t{8} << 20;
  std::uint64_t space = std::uint64_t{1} << 30;
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);
  std::size_t commit_records = 1024;  // in one commit, at most
  unsigned inquiry_tries = 0;
  std::chrono::nanoseconds inquiry_pause{};
  std::uint64_t salt = 0;  // random; for a folder that is new
  std::chrono::nanoseconds unix_now{}, steady_now{};
};

class durable_service : public idempotency_store {
 public:
  // Reads what the folder holds. `notify`: step() has something to do; called from another thread. Throws
  // store::io_error or store::damaged where the folder cannot be used.
  durable_service(store::file_system& fs, durable_service_options options, telemetry::counters& counters,
                  std::function<void()> notify);
  ~durable_service() override;

  void report_to(idempotency_observer& events) { events_ = &events; }

  // Takes in what the disk did since the last call and tells the dispatcher.
  void step(time_point now);

  // key_book
  idempotency_store::opinion arrive(request_id id, const request& what) override;
  void intend(request_id leader, const request& what) override;
  bool record(request_id leader, bool served, std::string_view result) override;
  void doubt(request_id leader) override;
  void release(request_id leader) override;
  duration asked_in_vain(request_id leader) override;
  void fetch(request_id id) override;
  void close(request_id leader) override { leaders_.erase(leader); }

  const key_table& known() const { return *ledger_; }
  const store::recovered_counts& found() const { return found_; }

 private:
  struct leading {
    key_id key;
    std::uint64_t content = 0;
    moment expiry = 0;
  };
  struct writing {
    record_type what{};
    request_id leader = 0;
    key_id key;
    store::entry entry;  // of a result: kept until it is on disk
  };

  moment now() const { return clock_.at(now_); }
  kept record_of(record_type what, const leading& l) const;
  void submit(writing w);
  void on_written(std::uint64_t ticket, const store::committer::done& d);
  void on_read(request_id id, const store::committer::done& d);

  const durable_service_options options_;
  telemetry::counters& counters_;
  idempotency_observer* events_ = nullptr;
  aging_clock clock_;
  time_point now_;
  store::recovered_counts found_;
  std::uint64_t salt_ = 0;
  std::unique_ptr<key_table> ledger_;
  std::unordered_map<request_id, leading> leaders_;
  std::unordered_map<request_id, std::pair<key_id, store::position>>
      answered_;                             // repeats that want their result
  std::map<std::uint64_t, writing> writes_;  // by ticket
  std::vector<writing> unwritten_;           // results that the disk did not take
  std::unordered_map<std::uint64_t, request_id> reads_;
  std::uint64_t last_ticket_ = 0;
  time_point next_ageing_{};
  bool writable_ = true;
  std::unique_ptr<store::committer> committer_;  // last: its thread goes first
};

}  // namespace marblewharf::idempotency
