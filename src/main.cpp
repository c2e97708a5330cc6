// The price node: one program on real sockets round the decision module. Wiring only.
#include <Poco/Exception.h>

#include <csignal>
#include <cstdio>
#include <exception>

#include "catalog/reporter.hpp"
#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "net/reactor.hpp"
#include "runtime/link.hpp"
#include "telemetry/telemetry.hpp"
#include "thrift/front.hpp"

namespace {

using namespace marblewharf;

volatile std::sig_atomic_t asked_to_leave = 0;
volatile std::sig_atomic_t asked_for_counters = 0;

void on_signal(int which) {
  if (which == SIGUSR1) {
    asked_for_counters = 1;
  } else {
    asked_to_leave = 1;
  }
}

void serve(const config& settings) {
  const limits& bounds = settings.bounds;
  telemetry::counters counters;
  net::reactor reactor(bounds);
  dispatcher desk(settings.settings, settings.seed, net::steady_now(), counters);
  runtime::link runtime(reactor, settings, desk, counters);
  catalog::reporter reporter(settings);
  thrift::server front(reactor, settings, desk, runtime, counters);
  time_point leave_at = time_point::max();
  telemetry::log("start", "%s listens on %s:%u", settings.name.c_str(), settings.listen.host.c_str(),
                 static_cast<unsigned>(settings.listen.port));

  reactor.serve([&]() -> time_point {
    const time_point now = net::steady_now();
    if (asked_for_counters != 0) {
      asked_for_counters = 0;
      telemetry::print(counters);
    }
    if (asked_to_leave != 0 && !desk.draining()) {
      telemetry::log("drain", "notice to leave, %zu requests open", desk.open());
      leave_at = now + bounds.stop;
      desk.on_drain(bounds.stop);
    }
    desk.step(now, runtime.gauges(now));
    if (desk.draining()) {
      if (now >= leave_at - bounds.leave_early) front.leave();
      if (now >= leave_at - bounds.exit_early || (now >= leave_at - bounds.leave_early && front.empty()))
        reactor.stop();
    }
    const time_point due =
        std::min({desk.due(), runtime.step(now), reporter.step(now, desk.healthy()), front.step(now)});
    return desk.due() < now ? now : due;
  });
  telemetry::log("stop", "%zu requests open", desk.open());
  telemetry::print(counters);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGUSR1, on_signal);
  try {
    const config settings = load_config();
    telemetry::limit_lines(settings.bounds.log_lines);
    serve(settings);
    return 0;
  } catch (const Poco::Exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.displayText().c_str());
    return 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.what());
    return 1;
  }
}
