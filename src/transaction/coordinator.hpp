// The transaction coordinator: a backend that runs requests of classes with several participants as
// distributed transactions, committed at all participants or at none, across restarts. It takes requests in
// and drives each transaction from its begin to its end; all other requests go to the fan-out client behind
// it.
//
// Requests have idempotency keys (src/idempotency): the run of a key is one transaction, and after a crash
// its outcome is found by the key.
//
// Two processes never have the log's folder at once. One that finds it held (a hot restart) rejects
// transactions with a retry-after, answers no inquiry, and takes the folder over once it is released.
//
// Owned by the event loop's thread; the disk has a thread of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/client.hpp"
#include "idempotency/aging_clock.hpp"
#include "net/reactor.hpp"
#include "store/table_service.hpp"
#include "transaction/open_transaction.hpp"
#include "transaction/outcome_cache.hpp"
#include "transaction/participant_calls.hpp"
#include "transaction/recovery.hpp"
#include "transaction/transaction_log.hpp"
#include "upstream/in_flight_calls.hpp"

namespace marblewharf::transaction {

class coordinator : public backend {
 public:
  // Reads the log's folder and goes on with its open transactions, unless another process has it. `random`:
  // the first half of new transactions' ids, and the seed of choices. `notify`: step() has something to do;
  // called from another thread. Throws store::io_error or store::damaged.
  coordinator(net::reactor& reactor, const config& settings, dispatcher& requests, fan_out::client& fan_out,
              std::shared_ptr<store::file_system> file_system, std::uint64_t random,
              std::function<void()> notify);
  ~coordinator() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& what) override;
  void place_call(request_id id, duration limit) override { fan_out_.place_call(id, limit); }
  void skip_call(request_id id) override { fan_out_.skip_call(id); }

  // Does what is due; returns when it wants to be called again.
  time_point step(time_point now);
  // The cluster's view has changed. `routable`: whether calls may go to a place (a zone or a member).
  void routes_changed(const std::function<bool(const std::string&)>& routable);
  // Transactions that have begun and not ended.
  std::size_t open() const { return open_.size(); }
  // This node's quota share of calls in flight at a dependency, for transactions and fan-out together.
  void set_share(std::size_t dependency, double most);
  // What transactions and fan-out together have and want of a dependency's calls.
  fan_out::client::calls calls_at(std::size_t dependency) const;
  // Lines of `writes.NAME=VALUE` for show-stat.
  std::string figures() const;
  // For background work on the log. Null: another process has the folder.
  std::shared_ptr<store::table_service> tables() const { return log_.service(); }

 private:
  struct timer {
    time_point due{};
    transaction_id id;
    bool operator<(const timer& other) const { return std::tie(due, id) < std::tie(other.due, other.id); }
  };

  // Taking the log's folder.
  void open_log();
  void try_take_over(time_point now);
  void restore_outcomes(const std::vector<outcome_found>& outcomes);
  void resume_recovered(open_transaction& restored);

  // Intake.
  std::optional<duration> reject_for(const write_plan& plan, const request& what);
  std::shared_ptr<open_transaction> begin(request_id id, const request& what);
  transaction_id next_id() const;
  const write_plan* plan_of(const request& what) const;
  std::string key_of(const request& what) const;
  void inquire_result(request_id id, const std::string& key, const outcome_id& outcome);

  // Life of a transaction.
  void advance(const std::shared_ptr<open_transaction>& transaction);
  void apply(open_transaction& transaction, const send_request& request);
  void apply(open_transaction& transaction, const write_log_record& record);
  void apply(open_transaction& transaction, const report_outcome& report);
  void on_response(const transaction_id& id, const send_request& request,
                   const participant_response& response);
  void on_event(const transaction_log::record_written& written);
  void on_event(const transaction_log::result_read& read);
  void end(const std::shared_ptr<open_transaction>& transaction);

  // Timers.
  void schedule(open_transaction& transaction);
  void run_timers(time_point now);
  void on_timer(const std::shared_ptr<open_transaction>& transaction, time_point now);
  void begin_waiting(open_transaction& transaction);
  void retry_requests(open_transaction& transaction, time_point now);
  void give_up_hanging_request(open_transaction& transaction, std::size_t participant, time_point now);

  void update_fan_out_share(const open_transaction& transaction);
  outcome_cache::key hash_of(const std::string& key) const { return hash_key(key, salt_); }
  outcome_cache::timestamp aging_now() const;

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  fan_out::client& fan_out_;
  const std::shared_ptr<store::file_system> file_system_;
  const std::function<void()> notify_;
  const duration outcome_retention_;  // the longest idempotency window of any class
  const std::uint64_t random_;
  idempotency::aging_clock clock_;
  std::uint64_t salt_ = 0;  // of the folder
  participant_calls participants_;
  upstream::in_flight_calls in_flight_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<transaction_id, std::shared_ptr<open_transaction>> open_;
  std::unordered_map<request_id, transaction_id> running_;  // of clients that wait for the outcome
  std::set<timer> timers_;                                  // one for each of open_
  outcome_cache outcomes_;
  std::uint64_t reserved_bytes_ = 0;  // on disk, by open transactions
  std::size_t waiting_ = 0;           // recovered transactions that wait for calls in flight
  std::uint64_t rejected_ = 0;
  time_point next_take_over_ = time_point::max();
  time_point next_expiry_check_{};
  transaction_log log_;  // last: its thread ends first
};

}  // namespace marblewharf::transaction
