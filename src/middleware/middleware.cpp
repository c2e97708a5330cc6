#include "marblewharf/middleware.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "core/dispatcher.hpp"

namespace marblewharf::middleware {
namespace {

using Poco::Net::HTTPResponse;

time_point steady_now() {
  return std::chrono::steady_clock::now().time_since_epoch();
}

// A handler cannot be stopped from outside: the module must not count on it.
wrenrill::settings without_stops(wrenrill::settings s) {
  s.halt = wrenrill::halt_mode::none;
  return s;
}

}  // namespace

// The dispatcher under a lock, its front and backend being the threads that wait here, and a thread that lets
// time pass for it.
class detail::gate_impl : private front, private backend {
 public:
  gate_impl(wrenrill::settings settings, std::uint64_t seed)
      : cores_(settings.cores),
        gauges_(settings.gauges),
        dispatcher_(without_stops(settings), seed, steady_now(), counters_) {
    dispatcher_.add(*this);
    dispatcher_.on_server_up(settings.cold, steady_now());
    ticker_ = std::thread([this] { let_time_pass(); });
  }
  ~gate_impl() override {
    {
      const std::lock_guard lock(guard_);
      stopping_ = true;
    }
    changed_.notify_all();
    ticker_.join();
  }

  enum class state { waiting, running, refused, failed };
  struct visit {
    request_id id = 0;
    state where = state::waiting;
    bool given_up = false;  // while it ran
    duration retry_after{};
    time_point begun{};
  };

  // Blocks until it may run or is answered.
  visit enter(const traits& t) {
    request r;
    r.request_class = t.request_class;
    r.tenant = t.tenant;
    r.held_kb = t.held_kb;
    r.work = t.work;
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

  // Its handler ended. False: it had been given up meanwhile.
  bool leave(const visit& v, bool well) {
    const std::lock_guard lock(guard_);
    const bool owed = given_up_.erase(v.id) == 0;
    dispatcher_.on_end(v.id, well ? run_end::fine : run_end::fault, {}, steady_now() - v.begun);
    step();
    changed_.notify_all();
    return owed;
  }

  void drain(duration left) {
    const std::lock_guard lock(guard_);
    dispatcher_.on_drain(left);
    step();
    changed_.notify_all();
  }
  bool healthy() {
    const std::lock_guard lock(guard_);
    return dispatcher_.healthy();
  }
  tally counts() {
    const std::lock_guard lock(guard_);
    return {counters_.taken_in, counters_.sent, counters_.served, counters_.refused, counters_.failed};
  }

 private:
  void respond(request_id id, const answer& final) override {
    const auto at = visits_.find(id);
    if (at != visits_.end() && at->second->where == state::waiting) {
      at->second->where = final.how == verdict::refused ? state::refused : state::failed;
      at->second->retry_after = final.retry_after;
    } else if (final.how == verdict::failed && final.overdue) {
      given_up_.insert_or_assign(id, true);
    }
  }
  void close_idle(duration) override {}
  void run(request_id id, const request&) override {
    if (const auto at = visits_.find(id); at != visits_.end()) at->second->where = state::running;
  }
  void pause(request_id) override {}
  void resume(request_id) override {}

  void step() {
    const time_point now = steady_now();
    measure(now);
    std::vector<double> values;
    for (const std::string& name : gauges_) values.push_back(name == "cpu_busy" ? busy_ : 0);
    dispatcher_.step(now, values);
  }

  // How busy this process kept the cores of late: what else runs on them is not seen.
  void measure(time_point now) {
    constexpr duration span = std::chrono::milliseconds(250);
    if (now - measured_at_ < span) return;
    const std::clock_t used = std::clock();
    const double wall = std::chrono::duration<double>(now - measured_at_).count();
    const double cpu = static_cast<double>(used - measured_) / CLOCKS_PER_SEC;
    busy_ = std::clamp(cpu / (wall * cores_), 0.0, 1.0);
    measured_ = used;
    measured_at_ = now;
  }

  void let_time_pass() {
    std::unique_lock lock(guard_);
    while (!stopping_) {
      step();
      changed_.notify_all();
      const duration wait = std::clamp<duration>(
          dispatcher_.due() - steady_now(), std::chrono::milliseconds(1), std::chrono::milliseconds(100));
      changed_.wait_for(lock, wait);
    }
  }

  mutable std::mutex guard_;
  std::condition_variable changed_;
  telemetry::counters counters_;
  double cores_;
  std::vector<std::string> gauges_;
  dispatcher dispatcher_;
  std::unordered_map<request_id, visit*> visits_;  // that wait
  std::unordered_map<request_id, bool> given_up_;  // that run
  double busy_ = 1;  // until it was measured: the module then adds no run beyond the cores
  std::clock_t measured_ = std::clock();
  time_point measured_at_ = steady_now();
  bool stopping_ = false;
  std::thread ticker_;
};

gate::gate(wrenrill::settings settings, std::uint64_t seed)
    : impl_(std::make_unique<detail::gate_impl>(std::move(settings), seed)) {}
gate::~gate() = default;
void gate::drain(std::chrono::nanoseconds left) {
  impl_->drain(left);
}
bool gate::healthy() const {
  return impl_->healthy();
}
tally gate::counts() const {
  return impl_->counts();
}

namespace {

void respond(Poco::Net::HTTPServerResponse& response, HTTPResponse::HTTPStatus status,
             duration retry_after = {}) {
  response.setStatusAndReason(status);
  response.setContentType("text/plain");
  // Whole seconds, as HTTP has it, and at least one: 0 would ask for a retry at once.
  if (status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE)
    response.set("Retry-After", std::to_string(std::max<std::int64_t>(
                                    1, std::chrono::ceil<std::chrono::seconds>(retry_after).count())));
  const std::string text = response.getReason() + "\n";
  response.setContentLength(static_cast<std::streamsize>(text.size()));
  response.send() << text;
}

class guarded : public Poco::Net::HTTPRequestHandler {
 public:
  guarded(std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped, detail::gate_impl& g, const traits& t)
      : wrapped_(std::move(wrapped)), gate_(g), traits_(t) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const detail::gate_impl::visit v = gate_.enter(traits_);
    if (v.where == detail::gate_impl::state::refused) {
      respond(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, v.retry_after);
      return;
    }
    if (v.where == detail::gate_impl::state::failed) {
      respond(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT);
      return;
    }
    try {
      wrapped_->handleRequest(request, response);
    } catch (...) {
      gate_.leave(v, false);
      throw;  // the server answers as it does without us
    }
    const bool owed = gate_.leave(v, response.getStatus() < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
    if (!owed && !response.sent()) respond(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT);
  }

 private:
  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped_;
  detail::gate_impl& gate_;
  traits traits_;
};

}  // namespace

handler_factory::handler_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr wrapped, gate& g,
                                 classifier classify)
    : wrapped_(std::move(wrapped)), gate_(g), classify_(std::move(classify)) {}

Poco::Net::HTTPRequestHandler* handler_factory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& request) {
  std::unique_ptr<Poco::Net::HTTPRequestHandler> wrapped(wrapped_->createRequestHandler(request));
  if (!wrapped) return nullptr;  // the server says 501 to what nobody handles
  const traits t = classify_(request);
  return new guarded(std::move(wrapped), *gate_.impl_, t);
}

}  // namespace marblewharf::middleware
