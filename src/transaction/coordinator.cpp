#include "transaction/coordinator.hpp"

#include <algorithm>
#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf::transaction {
namespace {

using telemetry::log;

constexpr duration expiry_check_interval = std::chrono::seconds(1);

std::vector<double> in_flight_limits(const dependencies_config& dependencies) {
  std::vector<double> limits;
  for (const upstream::dependency_rules& rules : dependencies.rules) limits.push_back(rules.most_in_flight);
  return limits;
}

duration longest_idempotency_window(const transactions_config& writes) {
  duration longest{};
  for (const transaction_plan& plan : writes.plans) longest = std::max(longest, plan.window);
  return longest;
}

}  // namespace

coordinator::coordinator(net::reactor& reactor, const config& settings, dispatcher& request_dispatcher,
                         fan_out::client& fan_out, std::shared_ptr<store::file_system> file_system,
                         std::uint64_t random, std::function<void()> notify)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(request_dispatcher),
      fan_out_(fan_out),
      file_system_(std::move(file_system)),
      notify_(std::move(notify)),
      outcome_retention_(longest_idempotency_window(*settings.transactions)),
      random_(random),
      participants_(reactor, settings, random,
                    [this](const transaction_id& id, const send_request& request,
                           const participant_response& response) { on_response(id, request, response); }),
      in_flight_(in_flight_limits(*settings.dependencies),
                 [this](std::size_t dependency) { return fan_out_.calls_at(dependency).in_flight; }),
      outcomes_(settings.transactions->max_outcomes) {
  try {
    open_log();
  } catch (const store::folder_locked& e) {
    log("handover", "%s: transactions are rejected until the other process releases the folder", e.what());
    next_take_over_ = net::steady_now() + config_.keyed->disk_retry_interval;
  }
}

// Background work may still share the table service; when the work ends, it must not notify an event loop
// that no longer exists.
coordinator::~coordinator() {
  log_.stop();
}

// ---- Opening the log's folder -----------------------------------------------------------------------------

void coordinator::open_log() {
  const std::string& folder = config_.transactions->folder;
  recovered_log recovered = recover_log(*file_system_, config_, outcome_retention_, random_);
  clock_ = recovered.clock;
  salt_ = recovered.tables->salt();
  restore_outcomes(recovered.outcomes);
  for (const auto& restored : recovered.open) {
    last_number_ = std::max(last_number_, restored->number);
    outcomes_.on_begin(hash_of(restored->key), restored->number);
    open_transactions_[restored->id] = restored;
  }
  for (const unresumed_transaction& unresumed : recovered.unresumed) {
    last_number_ = std::max(last_number_, unresumed.number);
    outcomes_.on_begin(hash_of(unresumed.key), unresumed.number);
  }
  unresumed_ = recovered.unresumed.size();
  const auto aging_time = [clock = clock_] {
    return clock.at(std::chrono::steady_clock::now().time_since_epoch());
  };
  log_.open(std::make_shared<store::table_service>(file_system_, folder, std::move(recovered.tables),
                                                   store::table_service_options{}, aging_time, notify_));
  log("writes", "%s: log opened with %zu open transactions, %zu that are not resumed, and %zu outcomes",
      folder.c_str(), open_transactions_.size(), unresumed_, outcomes_.size());
  for (const auto& [id, restored] : open_transactions_) queue_recovered(*restored);
}

void coordinator::restore_outcomes(const std::vector<outcome_found>& outcomes) {
  for (const outcome_found& found : outcomes) {
    last_number_ = std::max(last_number_, found.id.number);
    outcomes_.on_begin(found.id.key, found.id.number);
    outcomes_.on_commit(found.id.key, found.id.number, found.expiry);
  }
  outcomes_.expire(aging_now());
}

// Queues a recovered transaction; it is resumed once its participants have capacity for its calls in flight.
void coordinator::queue_recovered(open_transaction& restored) {
  restored.reserved_bytes =
      disk_space_of_transaction(restored.payload.size(), config_.bounds.max_write_buffer_bytes);
  reserved_bytes_ += restored.reserved_bytes;
  participants_.bind(restored);
  restored.needs_calls = true;
  ++waiting_recovered_;
  restored.retry_at = restored.begun_at;
  schedule(restored);
}

void coordinator::try_take_over(time_point now) {
  next_take_over_ = now + config_.keyed->disk_retry_interval;
  try {
    open_log();
    next_take_over_ = time_point::max();
    log("handover", "%s: taken over from the other process", config_.transactions->folder.c_str());
  } catch (const store::folder_locked&) {
    // The other process still holds the folder.
  } catch (const std::exception& e) {
    // Do not retry if the folder is damaged: the damage would remain, and each attempt reads the folder on
    // the event loop's thread.
    if (dynamic_cast<const store::damaged*>(&e) != nullptr) next_take_over_ = time_point::max();
    open_transactions_.clear();
    outcomes_ = outcome_cache(config_.transactions->max_outcomes);
    log_.abandon();
    log("handover", "%s: taking over the folder failed, transactions remain rejected: %s",
        config_.transactions->folder.c_str(), e.what());
  }
}

outcome_cache::timestamp coordinator::aging_now() const {
  return clock_.at(net::steady_now());
}

// ---- Processing of open transactions ----------------------------------------------------------------------

// Carries out the actions of the state machine.
void coordinator::advance(const std::shared_ptr<open_transaction>& transaction) {
  while (const auto next = transaction->machine.next_action())
    std::visit([&](const auto& pending_action) { apply(*transaction, pending_action); }, *next);
  if (transaction->machine.current_state() == state_machine::state::ended) end(transaction);
}

void coordinator::apply(open_transaction& transaction, const send_request& request) {
  if (participants_.send(transaction, request)) return;
  transaction.machine.on_reply(request.participant, request.request, participant_reply::unknown);
}

void coordinator::apply(open_transaction& transaction, const write_log_record& record) {
  log_.append(transaction.id, record.record, make_log_batch(transaction, record.record, config_, salt_));
}

void coordinator::apply(open_transaction& transaction, const report_outcome& report) {
  // An outcome in doubt is not reported here: the dispatcher answers the client when its deadline passes.
  if (report.outcome == client_outcome::in_doubt || transaction.client == 0) return;
  const request_id client = std::exchange(transaction.client, 0);
  waiting_clients_.erase(client);
  reactor_.wake();
  const bool committed = report.outcome == client_outcome::committed;
  dispatcher_.on_run_ended(client, outcome::end_of_decision(committed),
                           committed ? compose_result(transaction, config_) : std::string(),
                           net::steady_now() - transaction.begun_at);
}

void coordinator::on_response(const transaction_id& id, const send_request& request,
                              const participant_response& response) {
  const auto found = open_transactions_.find(id);
  if (found == open_transactions_.end()) return;
  const auto transaction = found->second;
  participants_.close(*transaction, request.participant);
  reactor_.wake();
  if (request.request == participant_request::commit && response.reply == participant_reply::yes) {
    transaction->committed = true;
    transaction->calls[request.participant].result = {fan_out::sub_response_state::fresh, {}, response.body};
  }
  const bool answered = response.reply != participant_reply::unknown;
  participants_.on_request_ended(
      *transaction, request.participant,
      answered ? upstream::call_outcome::succeeded : upstream::call_outcome::failed);
  transaction->machine.on_reply(request.participant, request.request, response.reply);
  advance(transaction);
}

void coordinator::on_event(const transaction_log::record_written& written) {
  const auto found = open_transactions_.find(written.id);
  if (found == open_transactions_.end()) return;
  const auto transaction = found->second;
  if (written.durable) transaction->last_logged = std::max(transaction->last_logged, written.record);
  transaction->machine.on_logged(written.record, written.durable);
  advance(transaction);
}

void coordinator::on_event(const transaction_log::result_read& read) {
  dispatcher_.on_inquiry_reply(read.client,
                               read.result ? inquiry_outcome::completed : inquiry_outcome::unknown,
                               read.result.value_or(std::string()));
}

void coordinator::end(const std::shared_ptr<open_transaction>& transaction) {
  const outcome_cache::key key = hash_of(transaction->key);
  if (transaction->committed && transaction->last_logged == log_record::end) {
    outcomes_.on_commit(key, transaction->number, aging_now() + outcome_retention_.count());
  } else {
    outcomes_.on_abort(key, transaction->number);
  }
  for (std::size_t i = 0; i < transaction->calls.size(); ++i) {
    if (transaction->calls[i].exchange != nullptr)
      participants_.on_request_ended(*transaction, i, upstream::call_outcome::cancelled);
  }
  participants_.unbind(*transaction);
  in_flight_.release(transaction->dependencies());
  update_fan_out_share(*transaction);
  reserved_bytes_ -= transaction->reserved_bytes;
  timers_.erase({transaction->due_at, transaction->id});
  open_transactions_.erase(transaction->id);
}

// ---- Timers -----------------------------------------------------------------------------------------------

void coordinator::schedule(open_transaction& transaction) {
  timers_.erase({transaction.due_at, transaction.id});
  transaction.due_at = std::min(transaction.decision_deadline, transaction.retry_at);
  timers_.insert({transaction.due_at, transaction.id});
}

void coordinator::on_timer(const std::shared_ptr<open_transaction>& transaction, time_point now) {
  if (transaction->needs_calls) try_resume(*transaction);
  if (now >= transaction->decision_deadline) {
    transaction->decision_deadline = time_point::max();
    transaction->machine.on_deadline();
  }
  if (now >= transaction->retry_at) {
    if (transaction->needs_calls) {
      transaction->retry_at = now + config_.transactions->retry_delay;
    } else {
      retry_requests(*transaction, now);
    }
  }
  schedule(*transaction);
  advance(transaction);
}

// Resumes a recovered transaction if one call in flight can be acquired at each participant.
void coordinator::try_resume(open_transaction& transaction) {
  if (!in_flight_.try_acquire_recovered(transaction.dependencies())) return;
  transaction.needs_calls = false;
  --waiting_recovered_;
  update_fan_out_share(transaction);
  transaction.machine.recover(transaction.last_logged);
}

void coordinator::retry_requests(open_transaction& transaction, time_point now) {
  transaction.retry_at = now + transaction.retry_interval;
  transaction.retry_interval =
      std::min<duration>(transaction.retry_interval * 2, config_.transactions->max_retry_delay);
  for (std::size_t i = 0; i < transaction.calls.size(); ++i) time_out_request(transaction, i, now);
  transaction.machine.retry();
}

// Closes a commit or abort request that has not been answered within the participant's budget; it is sent
// again on a new connection. Prepare requests have no such timeout: they end at the deadline of the decision.
void coordinator::time_out_request(open_transaction& transaction, std::size_t participant, time_point now) {
  const participant_call& call = transaction.calls[participant];
  const duration budget = config_.dependencies->rules[call.dependency].budget;
  const state_machine::state state = transaction.machine.current_state();
  if (state == state_machine::state::preparing || call.exchange == nullptr || now - call.sent_at < budget)
    return;
  participants_.close(transaction, participant);
  participants_.on_request_ended(transaction, participant, upstream::call_outcome::failed);
  const bool aborting = state == state_machine::state::aborting;
  transaction.machine.on_reply(participant,
                               aborting ? participant_request::abort : participant_request::commit,
                               participant_reply::unknown);
}

void coordinator::run_timers(time_point now) {
  while (!timers_.empty() && timers_.begin()->due <= now) {
    const auto found = open_transactions_.find(timers_.begin()->id);
    if (found == open_transactions_.end()) {
      timers_.erase(timers_.begin());
    } else {
      on_timer(std::shared_ptr<open_transaction>(found->second), now);
    }
  }
}

time_point coordinator::step(time_point now) {
  if (!log_.is_open() && now >= next_take_over_) try_take_over(now);
  if (!log_.is_open()) return next_take_over_;
  for (const store::table_service::done& done : log_.collect()) {
    if (const auto event = log_.to_event(done))
      std::visit([this](const auto& log_event) { on_event(log_event); }, *event);
  }
  log_.flush();
  run_timers(now);
  if (now >= next_expiry_check_) {
    next_expiry_check_ = now + expiry_check_interval;
    outcomes_.expire(aging_now());
  }
  const time_point next = outcomes_.next_expiry() != 0 ? next_expiry_check_ : time_point::max();
  return timers_.empty() ? next : std::min(next, timers_.begin()->due);
}

// ---- Calls in flight and statistics -----------------------------------------------------------------------

void coordinator::update_reachability(const std::function<bool(const std::string&)>& routable) {
  participants_.set_reachable(routable);
}

void coordinator::set_share(std::size_t dependency, double share) {
  in_flight_.set_share(dependency, share);
  fan_out_.set_share(dependency, in_flight_.remaining_share(dependency));
}

fan_out::client::call_load coordinator::calls_at(std::size_t dependency) const {
  fan_out::client::call_load calls = fan_out_.calls_at(dependency);
  calls.in_flight += in_flight_.transactions(dependency);
  calls.waiting += waiting_recovered_;
  calls.rejected += in_flight_.rejected(dependency);
  return calls;
}

// Called after the transaction's calls were acquired or released: fan-out receives the remaining quota share
// of the same dependencies.
void coordinator::update_fan_out_share(const open_transaction& transaction) {
  for (const std::size_t dependency : transaction.dependencies())
    fan_out_.set_share(dependency, in_flight_.remaining_share(dependency));
}

std::string coordinator::statistics() const {
  std::string lines;
  const auto add = [&](const char* name, std::uint64_t value) {
    lines += "writes." + std::string(name) + "=" + std::to_string(value) + "\n";
  };
  add("open", open_transactions_.size());
  add("unresumed", unresumed_);
  add("outcomes", outcomes_.size());
  add("turned_away", rejected_);
  add("holds_folder", log_.is_open() ? 1 : 0);
  const auto& condition = log_.condition();
  if (!condition) return lines;
  add("disk_used", condition->disk.used_bytes);
  add("disk_live", condition->disk.live_bytes);
  add("disk_writable", condition->writable ? 1 : 0);
  return lines;
}

}  // namespace marblewharf::transaction
