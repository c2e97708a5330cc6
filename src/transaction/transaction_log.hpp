// Persistence of transactions: writes log records to the table service, in their order, and reads results
// back. The owner's thread makes the calls; the disk has a thread of its own, whose results are collected.
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
    bool durable = false;  // false: it may be on disk or not
  };
  // A result was read for a client's inquiry. None: it is not there, or the disk failed.
  struct result_read {
    request_id client = 0;
    std::optional<std::string> result;
  };
  using event = std::variant<record_written, result_read>;

  bool is_open() const { return service_ != nullptr; }
  void open(std::shared_ptr<store::table_service> service);
  // Forgets the service after a recovery that failed.
  void abandon() { service_ = nullptr; }
  // What was written is finished; from then on the service notifies nobody. Whoever shares the service may
  // keep it.
  void stop();

  // The record is written behind all earlier ones; a record_written event reports it.
  void append(const transaction_id& id, log_record record, store::batch batch);
  // A result_read event brings the result. `key`: of the request, as the result must have it. False: the
  // service's queue is full, and no event comes.
  bool read_result(request_id client, const std::string& key, const outcome_id& id);
  // Writes records that the service's queue had no room for.
  void flush();

  // What the service has done since the last call, in order; each is to be handed to event_of().
  std::vector<store::table_service::done> collect();
  // None: nobody waits for it.
  std::optional<event> event_of(const store::table_service::done& done);

  // As of the last collect(). None: the log is not open.
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
