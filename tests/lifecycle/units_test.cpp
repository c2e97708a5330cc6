// The pure parts of daily operation: the drain state, the console's lines, the figures (ctest -L ops).
#include <map>
#include <string>

#include "../check.hpp"
#include "admin/console_command.hpp"
#include "admin/statistics.hpp"
#include "lifecycle/drain_state.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "lifecycle/hot_restart.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

void drain_state() {
  lifecycle::drain_state d;
  CHECK(d.healthy(true) && !d.healthy(false));
  CHECK(!d.resume(1s));  // resume without a drain changes nothing
  CHECK(d.current() == lifecycle::drain_state::state::serving && d.since() == 0s);
  CHECK(d.drain(2s) && !d.healthy(true));
  CHECK(!d.drain(3s) && d.since() == 2s);  // twice: the first time stays
  CHECK(d.resume(4s) && d.healthy(true) && d.since() == 4s);
  CHECK(!d.healthy(false));  // the module's own word still counts
}

void console_lines() {
  using admin::console_command;
  CHECK(admin::parse_console_command("ready") == console_command::ready);
  CHECK(admin::parse_console_command(" show-stat\r") == console_command::show_stat);
  CHECK(admin::parse_console_command("drain\t") == console_command::drain);
  CHECK(admin::parse_console_command("resume") == console_command::resume);
  for (const char* none : {"", "\r", "  ", "READY", "ready now", "rea", "show stat", "drain\r\r"})
    CHECK(!admin::parse_console_command(none));
  CHECK(!admin::parse_console_command(std::string_view("ready\0", 6)));
}

void figures() {
  telemetry::counters c;
  c.served_by_class = {3, 0};
  c.refused_by_class = {1, 2};
  c.failed_by_class = {0, 5};
  c.sent = 9;
  const std::string text = admin::render_statistics(c, {"a", "b"}, 4);
  CHECK(text ==
        "app.completed.a=3\napp.rejected.a=1\napp.failed.a=0\napp.completed.b=0\napp.rejected.b=2\n"
        "app.failed.b=5\napp.upstream_requests=9\napp.pending=4\n");
  telemetry::counters empty;  // vectors not sized: zeros, no fault
  CHECK(admin::render_statistics(empty, {"a"}, 0).find("app.completed.a=0\n") == 0);
}

void handover_marks() {
  const lifecycle::hot_restart_mark old{100, 1'000'000}, successor{200, 1'003'500};
  CHECK(lifecycle::parse_mark(lifecycle::format_mark(successor)) == successor);
  const std::string whole = lifecycle::format_mark(successor);
  for (std::size_t cut = 0; cut < whole.size(); ++cut) CHECK(!lifecycle::parse_mark(whole.substr(0, cut)));
  for (const char* bad :
       {"marblewharf ready 1 2", "marblewharf ready x 2\n", "marblewharf ready 1\n", "marblewharf ready  2\n",
        "marblewharf ready 1 \n", "marblewharf ready 1 2 3\n", "marblewharf ready -1 2\n", "other 1 2\n"})
    CHECK(!lifecycle::parse_mark(bad));
  CHECK(lifecycle::successor_took_over(old, successor));
  CHECK(!lifecycle::successor_took_over(old, std::nullopt));
  CHECK(!lifecycle::successor_took_over(old, old));        // its own mark
  CHECK(!lifecycle::successor_took_over(successor, old));  // left from before
  CHECK(!lifecycle::successor_took_over(
      old, lifecycle::hot_restart_mark{300, 1'000'000}));  // same millisecond: no proof
  CHECK(lifecycle::mark_path("/t", "n3", "127.0.0.2", 9000) == "/t/marblewharf-n3-127.0.0.2-9000.ready");
  CHECK(lifecycle::mark_path("/t", "n3", "127.0.0.2", 9000) !=
        lifecycle::mark_path("/t", "n3", "127.0.0.2", 9001));
}

void graceful_shutdown() {
  limits bounds;
  bounds.stop = 3200ms;
  const lifecycle::connection_progress open{}, ended{.all_closed = false, .all_ended = true},
      closed{.all_closed = true, .all_ended = true};
  lifecycle::graceful_shutdown alone(10s, false, bounds);
  CHECK(!alone.drains_connections(12s) && !alone.is_complete(12s, closed));  // still serving
  CHECK(alone.drains_connections(12600ms) && alone.is_complete(12600ms, closed));
  CHECK(!alone.closes_connections(12900ms) && !alone.is_complete(12900ms, ended));
  CHECK(alone.closes_connections(12950ms) &&
        !alone.is_complete(12950ms, ended));  // callers may see the end and close
  CHECK(alone.is_complete(13050ms, ended) && !alone.is_complete(13050ms, open));
  CHECK(alone.is_complete(13100ms, open));  // the kill is near
  lifecycle::graceful_shutdown replaced(10s, true, bounds);
  CHECK(replaced.drains_connections(10s) && replaced.is_complete(10s, closed) &&
        !replaced.is_complete(10s, ended));
  lifecycle::graceful_shutdown late(10s, false, bounds);  // stood still until after the kill was due
  CHECK(late.drains_connections(14s) && late.closes_connections(14s));
  CHECK(!late.is_complete(14s, open) && late.is_complete(14010ms, ended) && late.is_complete(14050ms, open));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"drain_state", drain_state},
                                                   {"console_lines", console_lines},
                                                   {"figures", figures},
                                                   {"handover", handover_marks},
                                                   {"departure", graceful_shutdown}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  std::printf("%s passed\n", found->first.c_str());
  return 0;
}
