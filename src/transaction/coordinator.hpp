// The transaction coordinator: a backend that runs requests whose class has several participants as
// distributed transactions, which are committed at all participants or at none, also across restarts.
// Requests of other classes go to the fan-out client.
//
// Requests have idempotency keys (src/idempotency). The run of a key is one transaction, and after a crash
// its outcome is found by the key.
//
// The folder of the transaction log is held by one process at a time. A process that finds the folder held by
// another one (hot restart) rejects transactions with a retry-after, answers inquiries as unknown, and opens
// the folder once the other process has released it.
//
// Used by the event loop's thread only; disk I/O runs on a separate thread.
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

// Size of the name of a log in intents: "writes:" and 16 hexadecimal digits.
inline constexpr std::size_t log_name_bytes = 23;

class coordinator : public backend {
 public:
  // Opens the log's folder and resumes its open transactions, unless another process holds the folder.
  // `random`: a random number, used as the first half of the ids of new transactions and as the seed for
  // endpoint selection. `notify`: called from another thread when step() has work to do. Throws
  // store::io_error or store::damaged.
  coordinator(net::reactor& reactor, const config& settings, dispatcher& request_dispatcher,
              fan_out::client& fan_out, std::shared_ptr<store::file_system> file_system, std::uint64_t random,
              std::function<void()> notify);
  ~coordinator() override;

  // Interface of backend.
  std::optional<std::string> choose_server(const request& client_request,
                                           const std::vector<std::string>& unreachable) override;
  void run(request_id id, const request& client_request) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& client_request) override;
  void place_call(request_id id, duration limit) override { fan_out_.place_call(id, limit); }
  void skip_call(request_id id) override { fan_out_.skip_call(id); }
  void end_waiting_run(request_id id) override { fan_out_.end_waiting_run(id); }

  // Processes disk results and runs the timers that are due. Returns the time at which it must be called
  // again.
  time_point step(time_point now);
  // Updates the reachability of the endpoints after a change in the cluster. `routable`: returns whether
  // calls may go to a place (a zone or a member).
  void update_reachability(const std::function<bool(const std::string&)>& routable);
  // The number of transactions that have started but not ended.
  std::size_t open() const { return open_transactions_.size(); }
  // Sets this node's quota share of calls in flight at a dependency, for transactions and fan-out together.
  void set_share(std::size_t dependency, double share);
  // The current use of a dependency's calls by transactions and fan-out together, and the demand for more.
  fan_out::client::call_load calls_at(std::size_t dependency) const;
  // Lines of the form `writes.NAME=VALUE` for the console command show-stat.
  std::string statistics() const;
  // The table service, for background work on the log. Null: another process holds the folder.
  std::shared_ptr<store::table_service> tables() const { return log_.service(); }

 private:
  struct timer {
    time_point due{};
    transaction_id id;
    bool operator<(const timer& other) const { return std::tie(due, id) < std::tie(other.due, other.id); }
  };

  // Opening the log's folder.
  void open_log();
  void try_take_over(time_point now);
  void restore_outcomes(const std::vector<outcome_found>& outcomes);
  void queue_recovered(open_transaction& restored);

  // Start of transactions, and inquiries (coordinator_intake.cpp).
  std::optional<duration> try_admit(const transaction_plan& plan, const request& client_request);
  std::shared_ptr<open_transaction> begin(request_id id, const request& client_request);
  transaction_id next_id() const;
  const transaction_plan* plan_of(const request& client_request) const;
  std::string scoped_key(const request& client_request) const;
  void inquire_result(request_id id, const std::string& key, const outcome_id& outcome);
  // The name of the log in the intents of its requests.
  std::string log_name() const;
  inquiry_outcome outcome_of_missing(const request& client_request) const;

  // Processing of open transactions.
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
  void try_resume(open_transaction& transaction);
  void retry_requests(open_transaction& transaction, time_point now);
  void time_out_request(open_transaction& transaction, std::size_t participant, time_point now);

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
  std::uint64_t salt_ = 0;  // the salt of the log's folder
  participant_calls participants_;
  upstream::in_flight_calls in_flight_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<transaction_id, std::shared_ptr<open_transaction>> open_transactions_;
  // Requests whose clients wait for the outcome.
  std::unordered_map<request_id, transaction_id> waiting_clients_;
  std::set<timer> timers_;     // one for each open transaction
  std::size_t unresumed_ = 0;  // open transactions whose participants are not in the settings
  outcome_cache outcomes_;
  std::uint64_t reserved_bytes_ = 0;   // disk space reserved by open transactions
  std::size_t waiting_recovered_ = 0;  // recovered transactions that wait for calls in flight
  std::uint64_t rejected_ = 0;
  time_point next_take_over_ = time_point::max();
  time_point next_expiry_check_{};
  // The last member: destroyed first, so that its thread ends before the other members are destroyed.
  transaction_log log_;
};

}  // namespace marblewharf::transaction
