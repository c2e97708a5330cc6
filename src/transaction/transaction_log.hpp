// Persistence of transactions: writes log records to the table service in their order, and reads results
// back. All functions are called on the owner's thread. Disk I/O runs on the thread of the table service;
// collect() returns what that thread has completed.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/dispatcher.hpp"
#include "store/table_service.hpp"
#include "transaction/log_records.hpp"

namespace marblewharf::transaction {

class transaction_log {
 public:
  struct record_written {
    transaction_id id;
    log_record record{};
    bool durable = false;  // false: it is not known whether the record is on disk
  };
  // A result was read for a client's inquiry. None: the result is not on disk, or the disk failed.
  struct result_read {
    request_id client = 0;
    std::optional<std::string> result;
  };
  using event = std::variant<record_written, result_read>;

  bool is_open() const { return service_ != nullptr; }
  void open(std::shared_ptr<store::table_service> service);
  // Releases the service after a failed recovery.
  void abandon() { service_ = nullptr; }
  // Completes the pending writes. After that the service sends no more notifications. Other owners of the
  // service may keep using it.
  void stop();

  // Writes the record after all earlier ones; a record_written event reports the result.
  void append(const transaction_id& id, log_record record, store::batch batch);
  // Starts reading a result; a result_read event returns it. `key`: the key of the request, which must match
  // the key in the result. False: the service's queue is full, and there will be no event.
  bool read_result(request_id client, const std::string& key, const outcome_id& id);
  // Submits the records that did not fit into the service's queue.
  void flush();

  // Returns the operations that the service has completed since the previous call, in order. The caller
  // passes each to to_event().
  std::vector<store::table_service::done> collect();
  // Converts a completed operation to an event. None: the operation is not known to this log.
  std::optional<event> to_event(const store::table_service::done& done);

  // The state of the disk at the last collect(). None: the log is not open.
  const std::optional<store::table_service::condition>& condition() const { return condition_; }
  // Null: the log is not open.
  std::shared_ptr<store::table_service> service() const { return service_; }

 private:
  struct pending_record {
    transaction_id id;
    log_record record{};
  };
  struct pending_read {
    request_id client = 0;
    std::string key;
  };
  struct unsent_batch {
    std::uint64_t ticket = 0;
    store::batch batch;
  };

  std::optional<std::string> parse_result(const pending_read& read,
                                          const store::table_service::done& done) const;

  std::uint64_t last_ticket_ = 0;
  std::unordered_map<std::uint64_t, pending_record> records_;  // by ticket
  std::unordered_map<std::uint64_t, pending_read> reads_;      // by ticket
  std::deque<unsent_batch> unsent_;
  std::optional<store::table_service::condition> condition_;
  std::shared_ptr<store::table_service> service_;
};

}  // namespace marblewharf::transaction
