#include "fan_out/client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <utility>

#include "core/tenant_name.hpp"
#include "fan_out/response_assembly.hpp"
#include "outcome/effect.hpp"
#include "upstream/response_deadline.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::fan_out {

using telemetry::log;

namespace {

constexpr const char* path_var = "PATH_INFO";

std::vector<std::optional<std::size_t>> plans_by_class(const config& settings) {
  const auto& classes = settings.policy_settings.classes;
  const std::vector<upstream::request_plan>& plans = settings.dependencies->plans;
  std::vector<std::optional<std::size_t>> by_class(classes.size());
  for (std::size_t plan = 0; plan < plans.size(); ++plan) {
    for (std::size_t i = 0; i < classes.size(); ++i) {
      if (classes[i].name == plans[plan].request_class) by_class[i] = plan;
    }
  }
  return by_class;
}

struct interpreted_response {
  call_result result = call_result::failed;
  duration retry_after{};  // after a rejection
  std::string bytes;       // the body, after a success
};

// 2xx is a success. 503 and 429 are rejections, with the retry-after of the response or a default. Everything
// else is a failure.
interpreted_response interpret_response(uwsgi::exchange_end end, const uwsgi::response_head* head,
                                        std::string_view response) {
  constexpr duration default_retry_after = std::chrono::seconds(1);
  constexpr unsigned first_success_status = 200;
  constexpr unsigned last_success_status = 299;
  constexpr unsigned too_many_requests_status = 429;
  constexpr unsigned unavailable_status = 503;
  if (end != uwsgi::exchange_end::complete) return {};
  if (head->status >= first_success_status && head->status <= last_success_status)
    return {call_result::succeeded, {}, std::string(response.substr(head->size))};
  if (head->status == unavailable_status || head->status == too_many_requests_status)
    return {
        call_result::rejected, head->retry_after ? duration(*head->retry_after) : default_retry_after, {}};
  return {};
}

}  // namespace

client::client(net::reactor& reactor, const config& settings, dispatcher& request_dispatcher,
               backend& next_backend)
    : reactor_(reactor),
      config_(settings),
      dispatcher_(request_dispatcher),
      next_backend_(next_backend),
      state_machine_(settings.dependencies->plans, settings.dependencies->rules,
                     settings.dependencies->cache_bytes, settings.seed),
      plan_of_class_(plans_by_class(settings)) {}

client::~client() = default;

// ---- backend ----------------------------------------------------------------------------------------------

std::optional<std::string> client::choose_server(const request& client_request,
                                                 const std::vector<std::string>& unreachable) {
  if (plan_of_class_[client_request.request_class]) return std::string();
  return next_backend_.choose_server(client_request, unreachable);
}

void client::run(request_id id, const request& client_request) {
  const std::optional<std::size_t> plan = plan_of_class_[client_request.request_class];
  if (!plan) {
    next_backend_.run(id, client_request);
    return;
  }
  runs_[id] = {client_request, *plan, net::steady_now(), {}, false};
  dispatcher_.on_dependency_call_needed(id);
  reactor_.wake();
}

void client::place_call(request_id id, duration limit) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  const run_state& run = found->second;
  const time_point now = net::steady_now();
  const time_point deadline = upstream::response_deadline(
      run.client_request, config_.policy_settings.classes[run.client_request.request_class],
      state_machine_.plan_at(run.plan).reserve);
  begin_fan_out(id, std::min(now + limit, std::max(now, deadline)));
}

// Continues the request without calls: with the deadline set to now, only fallbacks without a call are used.
void client::skip_call(request_id id) {
  begin_fan_out(id, net::steady_now());
}

void client::begin_fan_out(request_id id, time_point deadline) {
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.fan_out_begun) return;
  run_state& run = found->second;
  const time_point now = net::steady_now();
  run.fan_out_begun = true;
  run.fan_out_begun_at = now;
  const std::string_view tenant = tenant_name(config_.policy_settings, run.client_request.tenant);
  state_machine_.begin(id, run.plan, {tenant, run.client_request.fingerprint}, deadline, now);
  apply_actions();
}

void client::pause(request_id id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    next_backend_.pause(id);
    return;
  }
  const duration elapsed = net::steady_now() - found->second.begun_at;
  state_machine_.cancel(id, net::steady_now());
  runs_.erase(found);
  apply_actions();
  reactor_.wake();
  dispatcher_.on_run_ended(id, run_end::aborted, {}, elapsed);
}

void client::end_waiting_run(request_id id) {
  const auto found = runs_.find(id);
  if (found == runs_.end() || found->second.fan_out_begun) return;
  const duration elapsed = net::steady_now() - found->second.begun_at;
  runs_.erase(found);
  reactor_.wake();
  const outcome::effect effect_of_calls;  // no call was sent
  dispatcher_.on_run_ended(id, effect_of_calls.conclusion(), {}, elapsed);
}

void client::resume(request_id id) {
  if (!runs_.contains(id)) next_backend_.resume(id);
}

time_point client::step(time_point now) {
  if (state_machine_.next_timer_at() <= now) state_machine_.step(now);
  apply_actions();
  return state_machine_.next_timer_at();
}

// ---- Actions ----------------------------------------------------------------------------------------------

// Carries out the pending actions. An action may cause further actions; the outermost call carries them out
// in their order.
void client::apply_actions() {
  if (std::exchange(applying_, true)) return;
  while (const auto next = state_machine_.next_action()) {
    std::visit([this](const auto& pending_action) { apply(pending_action); }, *next);
  }
  applying_ = false;
}

// Returns the client's request with the path of the dependency and the budget of the call.
std::string client::encode_call(const request& client_request, const start_call& start) const {
  const auto packet = uwsgi::next_packet(client_request.payload, config_.bounds);
  if (!packet) return {};
  std::vector<std::pair<std::string, std::string>> vars = packet->vars;
  const auto replace_var = [&vars](const std::string& name, std::string value) {
    std::erase_if(vars, [&](const auto& var) { return var.first == name; });
    vars.emplace_back(name, std::move(value));
  };
  const std::string& budget_var = config_.dependencies->budget_var;
  if (!budget_var.empty())
    replace_var(budget_var, std::to_string(start.budget / std::chrono::milliseconds(1)));
  const std::string& path = config_.dependencies->upstreams[start.dependency].path;
  if (!path.empty()) replace_var(path_var, path);
  return uwsgi::encode_packet(vars, packet->body);
}

void client::apply(const start_call& start) {
  const auto found = runs_.find(start.request);
  if (found == runs_.end()) return;
  const dependency_config& dependency = config_.dependencies->upstreams[start.dependency];
  const call_id id = start.id;
  const auto on_end = [this, id](uwsgi::exchange_end end, const uwsgi::response_head* head,
                                 std::string_view response) { on_exchange_ended(id, end, head, response); };
  std::string bytes = encode_call(found->second.client_request, start);
  try {
    calls_[id] = std::make_shared<uwsgi::exchange>(
        reactor_, config_.bounds, dependency.endpoints[start.endpoint], std::move(bytes), on_end);
  } catch (const Poco::Exception& e) {
    log("dependency", "%s: connecting to an endpoint failed: %s; the call counts as failed",
        dependency.name.c_str(), e.displayText().c_str());
    calls_.erase(id);
    state_machine_.on_result(id, call_result::failed, {}, {}, net::steady_now());
  }
}

void client::apply(const cancel_call& cancel) {
  const auto found = calls_.find(cancel.id);
  if (found == calls_.end()) return;
  found->second->close();
  reactor_.retire(std::move(found->second));
  calls_.erase(found);
}

void client::apply(const request_finished& finished) {
  const auto found = runs_.find(finished.id);
  if (found == runs_.end()) return;
  const run_state run = std::move(found->second);
  runs_.erase(found);
  const time_point now = net::steady_now();
  dispatcher_.on_dependency_call_ended(finished.id, now - run.fan_out_begun_at);
  reactor_.wake();
  const duration elapsed = now - run.begun_at;
  if (finished.missing_required) {
    dispatcher_.on_run_ended(finished.id, run_end::failed, {}, elapsed);
    return;
  }
  const std::string response = assemble_response(state_machine_.plan_at(run.plan), finished.parts);
  dispatcher_.on_run_ended(finished.id, run_end::succeeded, response, elapsed);
}

void client::apply(const endpoint_changed& change) {
  log("dependency", "%s: endpoint %zu %s", config_.dependencies->upstreams[change.dependency].name.c_str(),
      change.endpoint, change.reason.c_str());
}

void client::on_exchange_ended(call_id id, uwsgi::exchange_end end, const uwsgi::response_head* head,
                               std::string_view response) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  found->second->close();
  reactor_.retire(std::move(found->second));
  calls_.erase(found);
  interpreted_response interpreted = interpret_response(end, head, response);
  reactor_.wake();
  state_machine_.on_result(id, interpreted.result, std::move(interpreted.bytes), interpreted.retry_after,
                           net::steady_now());
  apply_actions();
}

// ---- Reachability and statistics --------------------------------------------------------------------------

void client::update_reachability(const std::function<bool(const std::string&)>& routable) {
  for (std::size_t dependency = 0; dependency < config_.dependencies->upstreams.size(); ++dependency) {
    const std::vector<std::string>& places = config_.dependencies->upstreams[dependency].places;
    for (std::size_t i = 0; i < places.size(); ++i)
      state_machine_.set_reachable(dependency, i, routable(places[i]));
  }
}

std::string client::statistics() const {
  constexpr std::array<const char*, failover::level_count> level_names = {"zone", "region", "rest"};
  std::string lines;
  for (std::size_t i = 0; i < config_.dependencies->upstreams.size(); ++i) {
    const dependency_config& dependency = config_.dependencies->upstreams[i];
    if (dependency.places.empty()) continue;
    const auto& calls_by_level = state_machine_.counts(i).calls_by_level;
    for (std::size_t level = 0; level < calls_by_level.size(); ++level)
      lines += "dependency." + dependency.name + ".calls_" + level_names[level] + "=" +
               std::to_string(calls_by_level[level]) + "\n";
  }
  return lines;
}

void client::log_counters() const {
  for (std::size_t i = 0; i < config_.dependencies->upstreams.size(); ++i) {
    const dependency_counts& counts = state_machine_.counts(i);
    std::string line = config_.dependencies->upstreams[i].name;
    const auto add = [&line](const char* name, std::uint64_t value) {
      line += std::string(" ") + name + "=" + std::to_string(value);
    };
    const auto milliseconds = [](duration d) {
      return static_cast<std::uint64_t>(d / std::chrono::milliseconds(1));
    };
    add("calls", counts.calls);
    add("retries", counts.retries);
    add("hedges", counts.hedges);
    add("good", counts.succeeded);
    add("failed", counts.failed);
    add("late", counts.timed_out);
    add("not_now", counts.rejected);
    add("no_room", counts.without_capacity);
    add("held_out", counts.ejections);
    add("allowed", state_machine_.allowed(i));
    add("in_flight", state_machine_.in_flight(i));
    add("fresh", counts.fresh);
    add("stale", counts.stale);
    add("stand_in", counts.fallback);
    add("missing", counts.missing);
    add("stale_age_ms", milliseconds(counts.stale_age));
    add("spent_ms", milliseconds(counts.time_in_calls));
    add("zone", counts.calls_by_level[0]);
    add("region", counts.calls_by_level[1]);
    add("rest", counts.calls_by_level[2]);
    log("dependencies", "%s", line.c_str());
  }
}

}  // namespace marblewharf::fan_out
