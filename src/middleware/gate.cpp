#include "middleware/gate.hpp"

#include <algorithm>
#include <random>

namespace marblewharf::middleware::detail {
namespace {

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// A handler cannot be stopped from outside: the module must not count on it.
admission_policy::settings adapted(admission_policy::settings s, const std::optional<keyed_settings>& keys) {
  s.halt = admission_policy::halt_mode::none;
  for (std::size_t i = 0; keys && i < std::min(keys->windows.size(), s.classes.size()); ++i) {
    if (keys->windows[i].count() == 0) continue;
    s.classes[i].effect = admission_policy::request_effect::keyed;
    s.classes[i].idempotency_window = s.classes[i].deadline;
  }
  return s;
}

idempotency::durable_service_options to_options(const keyed_settings& k,
                                                const admission_policy::settings& s) {
  idempotency::durable_service_options o;
  o.folder = k.folder;
  o.windows = k.windows;
  o.windows.resize(s.classes.size());
  for (const auto& c : s.classes) o.classes.push_back(c.name);
  for (const auto& t : s.tenants) o.tenants.push_back(t.name);
  o.longest_key = k.longest_key;
  o.largest_result = k.largest_response;
  o.entries = k.entries;
  o.space = k.space;
  o.segment = std::clamp<std::uint64_t>(16 * k.largest_response, std::uint64_t{1} << 20, k.space / 4);
  std::random_device random;
  o.salt = std::uint64_t{random()} << 32 | random();
  o.unix_now = std::chrono::system_clock::now().time_since_epoch();
  o.steady_now = steady_now();
  return o;
}

}  // namespace

gate_impl::gate_impl(admission_policy::settings settings, std::optional<keyed_settings> keys,
                     std::uint64_t seed)
    : cores_(settings.cores),
      gauges_(settings.gauges),
      keys_(std::move(keys)),
      dispatcher_(adapted(settings, keys_), seed, steady_now(), counters_),
      measured_at_(steady_now()) {
  dispatcher_.add(*this);
  if (keys_) {
    keeper_ = std::make_unique<idempotency::durable_service>(
        disk_, to_options(*keys_, settings), counters_, [this] {
          const std::lock_guard lock(guard_);  // else the ticker may look and miss it before it waits
          changed_.notify_all();
        });
    keeper_->report_to(dispatcher_);
    dispatcher_.use(*keeper_, {});
  }
  dispatcher_.on_server_up(settings.cold_start, steady_now());
  ticker_ = std::thread([this] { let_time_pass(); });
}

gate_impl::~gate_impl() {
  {
    const std::lock_guard lock(guard_);
    stopping_ = true;
  }
  changed_.notify_all();
  ticker_.join();
}

const keyed_settings* gate_impl::keys_of(unsigned request_class) const {
  const bool keyed =
      keys_ && request_class < keys_->windows.size() && keys_->windows[request_class].count() > 0;
  return keyed ? &*keys_ : nullptr;
}

gate_impl::visit gate_impl::enter(const traits& t, std::string key, std::uint64_t content) {
  request r;
  r.request_class = t.request_class;
  r.tenant = t.tenant;
  r.reserved_kb = t.held_kb;
  r.expected_work = t.work;
  r.key = std::move(key);
  r.content = content;
  std::unique_lock lock(guard_);
  visit v;
  v.id = dispatcher_.on_arrival(*this, *this, std::move(r));
  visits_.emplace(v.id, &v);
  step();
  changed_.notify_all();  // the ticker may have something sooner to wait for
  changed_.wait(lock, [&v] { return v.where != state::waiting; });
  visits_.erase(v.id);
  v.begun = steady_now();
  return v;
}

bool gate_impl::leave(const visit& v, bool well) {
  const std::lock_guard lock(guard_);
  const bool owed = given_up_.erase(v.id) == 0;
  dispatcher_.on_end(v.id, well ? run_end::succeeded : run_end::failed, {}, steady_now() - v.begun);
  step();
  changed_.notify_all();
  return owed;
}

gate_impl::visit gate_impl::leave_keyed(const visit& v, const std::optional<std::string>& response) {
  std::unique_lock lock(guard_);
  visit end;
  end.id = v.id;
  const bool owed = given_up_.erase(v.id) == 0;
  if (owed) visits_.emplace(end.id, &end);
  if (response) {
    dispatcher_.on_end(v.id, run_end::succeeded, *response, steady_now() - v.begun);
  } else {
    dispatcher_.on_end(v.id, run_end::lost, {}, steady_now() - v.begun);
  }
  step();
  changed_.notify_all();
  if (!owed) {
    end.where = state::failed;
    end.overdue = true;
    return end;
  }
  changed_.wait(lock, [&end] { return end.where != state::waiting; });
  visits_.erase(end.id);
  return end;
}

void gate_impl::drain(duration left) {
  const std::lock_guard lock(guard_);
  dispatcher_.on_drain(left);
  step();
  changed_.notify_all();
}

bool gate_impl::healthy() {
  const std::lock_guard lock(guard_);
  return dispatcher_.healthy();
}

tally gate_impl::counts() {
  const std::lock_guard lock(guard_);
  return {counters_.taken_in, counters_.sent, counters_.served, counters_.refused, counters_.failed};
}

void gate_impl::respond(request_id id, const answer& final) {
  const auto at = visits_.find(id);
  if (at == visits_.end() || at->second->where != state::waiting) {
    if (final.status == response_status::failed && final.deadline_exceeded)
      given_up_.insert_or_assign(id, true);
    return;
  }
  visit& v = *at->second;
  v.retry_after = final.retry_after;
  v.overdue = final.deadline_exceeded;
  v.in_doubt = final.outcome_unknown;
  v.conflict = final.key_conflict;
  switch (final.status) {
    case response_status::served:
      v.result = final.result;
      v.where = state::answered;
      break;
    case response_status::rejected: v.where = state::refused; break;
    case response_status::failed: v.where = state::failed; break;
  }
}

void gate_impl::run(request_id id, const request&) {
  if (const auto at = visits_.find(id); at != visits_.end()) at->second->where = state::running;
}

void gate_impl::step() {
  const time_point now = steady_now();
  measure(now);
  std::vector<double> values;
  for (const std::string& name : gauges_) values.push_back(name == "cpu_busy" ? busy_ : 0);
  if (keeper_) keeper_->step(now);
  dispatcher_.step(now, values);
}

// How busy this process kept the cores of late: what else runs on them is not seen.
void gate_impl::measure(time_point now) {
  constexpr duration span = std::chrono::milliseconds(250);
  if (now - measured_at_ < span) return;
  const std::clock_t used = std::clock();
  const double wall = std::chrono::duration<double>(now - measured_at_).count();
  const double cpu = static_cast<double>(used - measured_) / CLOCKS_PER_SEC;
  busy_ = std::clamp(cpu / (wall * cores_), 0.0, 1.0);
  measured_ = used;
  measured_at_ = now;
}

void gate_impl::let_time_pass() {
  std::unique_lock lock(guard_);
  while (!stopping_) {
    step();
    changed_.notify_all();
    const duration wait = std::clamp<duration>(dispatcher_.due() - steady_now(), std::chrono::milliseconds(1),
                                               std::chrono::milliseconds(100));
    changed_.wait_for(lock, wait);
  }
}

}  // namespace marblewharf::middleware::detail
