#include "fan_out/client.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "fan_out/response_assembly.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::fan_out {

using telemetry::log;

namespace {

constexpr duration usual_come_back = std::chrono::seconds(1);  // where it is not said
constexpr unsigned busy_status = 503, too_many_status = 429;

std::vector<int> plans_by_class(const config& c) {
  std::vector<int> by_class(c.settings.classes.size(), -1);
  for (std::size_t p = 0; p < c.dependencies->plans.size(); ++p) {
    for (std::size_t i = 0; i < by_class.size(); ++i) {
      if (c.settings.classes[i].name == c.dependencies->plans[p].request_class)
        by_class[i] = static_cast<int>(p);
    }
  }
  return by_class;
}

}  // namespace

client::client(net::reactor& r, const config& settings, dispatcher& d, backend& behind)
    : reactor_(r),
      config_(settings),
      dispatcher_(d),
      behind_(behind),
      state_machine_(settings.dependencies->plans, settings.dependencies->rules, settings.dependencies->cache,
                     settings.seed),
      plan_of_(plans_by_class(settings)) {}

client::~client() = default;

void client::run(request_id id, const request& what) {
  const int plan = plan_of_[what.request_class];
  if (plan < 0) {
    behind_.run(id, what);
    return;
  }
  const time_point now = net::steady_now();
  runs_[id] = {what, static_cast<std::size_t>(plan), now, {}, false};
  dispatcher_.on_call_needed(id);
  reactor_.wake();
}

void client::place_call(request_id id, duration limit) {
  const auto at = runs_.find(id);
  if (at == runs_.end()) return;
  const time_point now = net::steady_now();
  const auto& c = config_.settings.classes[at->second.what.request_class];
  const upstream::request_plan& p = state_machine_.plan_at(at->second.plan);
  const time_point aim = at->second.what.arrived +
                         (c.latency_objective.count() > 0 ? c.latency_objective : c.deadline) - p.reserve;
  begin(id, std::min(now + limit, std::max(now, aim)));
}

// The answer goes without calls: its time is over at once, and what needs none stands in.
void client::skip_call(request_id id) {
  begin(id, net::steady_now());
}

void client::begin(request_id id, time_point by) {
  const auto at = runs_.find(id);
  if (at == runs_.end() || at->second.gathering) return;
  const time_point now = net::steady_now();
  at->second.gathering = true;
  at->second.called = now;
  state_machine_.begin(id, at->second.plan, at->second.what.fingerprint, by, now);
  apply();
}

void client::pause(request_id id) {
  const auto at = runs_.find(id);
  if (at == runs_.end()) {
    behind_.pause(id);
    return;
  }
  const duration ran = net::steady_now() - at->second.begun;
  state_machine_.cancel(id, net::steady_now());
  runs_.erase(at);
  apply();
  reactor_.wake();
  dispatcher_.on_end(id, run_end::aborted, {}, ran);
}

void client::resume(request_id id) {
  if (!runs_.contains(id)) behind_.resume(id);
}

time_point client::step(time_point now) {
  if (state_machine_.due() <= now) state_machine_.step(now);
  apply();
  return state_machine_.due();
}

// What an action leads to may bring more actions: they are carried out in their order.
void client::apply() {
  if (std::exchange(applying_, true)) return;
  while (const auto next = state_machine_.pick()) {
    std::visit([this](const auto& a) { apply(a); }, *next);
  }
  applying_ = false;
}

void client::apply(const start_call& a) {
  const auto at = runs_.find(a.gathering);
  if (at == runs_.end()) return;
  const dependency_config& d = config_.dependencies->endpoints[a.dependency];
  const endpoint& to = d.at[a.endpoint];
  std::string bytes;
  if (const auto p = uwsgi::next_packet(at->second.what.payload, config_.bounds)) {
    std::vector<std::pair<std::string, std::string>> vars = p->vars;
    const std::string& budget = config_.dependencies->budget_var;
    if (!budget.empty()) {
      std::erase_if(vars, [&](const auto& v) { return v.first == budget; });
      vars.emplace_back(budget, std::to_string(a.budget / std::chrono::milliseconds(1)));
    }
    if (!d.path.empty()) {
      std::erase_if(vars, [](const auto& v) { return v.first == "PATH_INFO"; });
      vars.emplace_back("PATH_INFO", d.path);
    }
    bytes = uwsgi::encode_packet(vars, p->body);
  }
  const call_id id = a.id;
  try {
    calls_[id] = std::make_shared<uwsgi::exchange>(
        reactor_, config_.bounds, to, std::move(bytes),
        [this, id](uwsgi::exchange_end how, const uwsgi::response_head* head, std::string_view response) {
          on_exchanged(id, how, head, response);
        });
  } catch (const Poco::Exception& e) {
    log("dependency", "%s: no connection: %s", d.name.c_str(), e.displayText().c_str());
    calls_.erase(id);
    state_machine_.on_result(id, call_end::failed, {}, {}, net::steady_now());
  }
}

void client::apply(const cancel_call& a) {
  const auto at = calls_.find(a.id);
  if (at == calls_.end()) return;
  at->second->close();
  reactor_.retire(std::move(at->second));
  calls_.erase(at);
}

void client::on_exchanged(call_id id, uwsgi::exchange_end how, const uwsgi::response_head* head,
                          std::string_view response) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  at->second->close();
  reactor_.retire(std::move(at->second));
  calls_.erase(at);
  call_end end = call_end::failed;
  duration come_back{};
  std::string bytes;
  if (how == uwsgi::exchange_end::whole && head->status >= 200 && head->status <= 299) {
    end = call_end::good;
    bytes = response.substr(head->size);
  } else if (how == uwsgi::exchange_end::whole &&
             (head->status == busy_status || head->status == too_many_status)) {
    end = call_end::not_now;
    come_back = head->retry_after ? duration(*head->retry_after) : usual_come_back;
  }
  reactor_.wake();
  state_machine_.on_result(id, end, std::move(bytes), come_back, net::steady_now());
  apply();
}

void client::apply(const finished& a) {
  const auto at = runs_.find(a.id);
  if (at == runs_.end()) return;
  const run_state run = std::move(at->second);
  runs_.erase(at);
  const time_point now = net::steady_now();
  dispatcher_.on_call_ended(a.id, now - run.called);
  reactor_.wake();
  if (a.lacks >= 0) {
    dispatcher_.on_end(a.id, run_end::failed, {}, now - run.begun);
  } else {
    dispatcher_.on_end(a.id, run_end::succeeded, assemble_response(state_machine_.plan_at(run.plan), a.parts),
                       now - run.begun);
  }
}

void client::apply(const notable& a) {
  log("dependency", "%s: %s", config_.dependencies->endpoints[a.dependency].name.c_str(), a.what.c_str());
}

void client::routes_changed(const std::function<bool(const std::string&)>& routable) {
  for (std::size_t d = 0; d < config_.dependencies->endpoints.size(); ++d) {
    const std::vector<std::string>& places = config_.dependencies->endpoints[d].places;
    for (std::size_t e = 0; e < places.size(); ++e) state_machine_.set_reachable(d, e, routable(places[e]));
  }
}

std::string client::figures() const {
  std::string out;
  for (std::size_t i = 0; i < config_.dependencies->endpoints.size(); ++i) {
    const dependency_config& d = config_.dependencies->endpoints[i];
    if (d.places.empty()) continue;
    const auto& at = state_machine_.counts(i).at_level;
    const char* const names[] = {"zone", "region", "rest"};
    for (std::size_t l = 0; l < at.size(); ++l)
      out += "dependency." + d.name + ".calls_" + names[l] + "=" + std::to_string(at[l]) + "\n";
  }
  return out;
}

void client::print() const {
  for (std::size_t i = 0; i < config_.dependencies->endpoints.size(); ++i) {
    const dependency_counts& n = state_machine_.counts(i);
    const auto count = [](std::uint64_t v) { return static_cast<unsigned long long>(v); };
    log("dependencies",
        "%s calls=%llu retries=%llu hedges=%llu good=%llu failed=%llu late=%llu not_now=%llu no_room=%llu "
        "held_out=%llu allowed=%u in_flight=%u fresh=%llu stale=%llu stand_in=%llu missing=%llu "
        "stale_age_ms=%llu spent_ms=%llu "
        "zone=%llu region=%llu rest=%llu",
        config_.dependencies->endpoints[i].name.c_str(), count(n.calls), count(n.retries), count(n.hedges),
        count(n.good), count(n.failed), count(n.late), count(n.not_now), count(n.no_room), count(n.held_out),
        state_machine_.allowed(i), state_machine_.in_flight(i), count(n.fresh), count(n.stale),
        count(n.stand_in), count(n.missing),
        count(static_cast<std::uint64_t>(n.stale_age / std::chrono::milliseconds(1))),
        count(static_cast<std::uint64_t>(n.spent / std::chrono::milliseconds(1))), count(n.at_level[0]),
        count(n.at_level[1]), count(n.at_level[2]));
  }
}

}  // namespace marblewharf::fan_out
