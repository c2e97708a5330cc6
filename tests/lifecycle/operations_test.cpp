// Unit tests of the operations code without I/O: operator drain, console commands, statistics, hot-restart
// marks and the schedule of the graceful shutdown (ctest -L ops).
#include <map>
#include <string>

#include "../check.hpp"
#include "admin/console_command.hpp"
#include "admin/statistics.hpp"
#include "lifecycle/graceful_shutdown.hpp"
#include "lifecycle/hot_restart.hpp"
#include "lifecycle/operator_drain.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

// Health checks fail during the drain; repeated commands do not change the state or its start time.
void operator_drain() {
  lifecycle::operator_drain drain;
  CHECK(drain.healthy(true) && !drain.healthy(false));
  CHECK(!drain.resume(1s));  // a resume without a drain has no effect
  CHECK(drain.current() == lifecycle::operator_drain::state::serving && drain.since() == 0s);
  CHECK(drain.drain(2s) && !drain.healthy(true));
  CHECK(!drain.drain(3s) && drain.since() == 2s);  // a second drain does not change the start time
  CHECK(drain.resume(4s) && drain.healthy(true) && drain.since() == 4s);
  CHECK(!drain.healthy(false));  // the policy's health still applies after a resume
}

// Only a complete command name, with optional blanks and one trailing carriage return, is accepted.
void console_commands() {
  using admin::console_command;
  CHECK(admin::parse_console_command("ready") == console_command::ready);
  CHECK(admin::parse_console_command(" show-stat\r") == console_command::show_stat);
  CHECK(admin::parse_console_command("drain\t") == console_command::drain);
  CHECK(admin::parse_console_command("resume") == console_command::resume);
  for (const char* invalid_line : {"", "\r", "  ", "READY", "ready now", "rea", "show stat", "drain\r\r"})
    CHECK(!admin::parse_console_command(invalid_line));
  CHECK(!admin::parse_console_command(std::string_view("ready\0", 6)));
}

void statistics() {
  telemetry::counters counters;
  counters.served_by_class = {3, 0};
  counters.rejected_by_class = {1, 2};
  counters.failed_by_class = {0, 5};
  counters.started_runs = 9;
  const std::string text = admin::render_statistics(counters, {"a", "b"}, 4);
  CHECK(text ==
        "app.completed.a=3\napp.rejected.a=1\napp.failed.a=0\napp.completed.b=0\napp.rejected.b=2\n"
        "app.failed.b=5\napp.upstream_requests=9\napp.pending=4\n");
  telemetry::counters empty;  // vectors without elements count as zeros
  CHECK(admin::render_statistics(empty, {"a"}, 0).find("app.completed.a=0\n") == 0);
}

// Only a complete mark of another process that started later identifies a successor: truncated, altered and
// older marks do not.
void hot_restart_marks() {
  const lifecycle::hot_restart_mark predecessor{100, 1'000'000}, successor{200, 1'003'500};
  CHECK(lifecycle::parse_mark(lifecycle::format_mark(successor)) == successor);
  const std::string complete = lifecycle::format_mark(successor);
  for (std::size_t length = 0; length < complete.size(); ++length)
    CHECK(!lifecycle::parse_mark(complete.substr(0, length)));
  for (const char* invalid_mark :
       {"marblewharf ready 1 2", "marblewharf ready x 2\n", "marblewharf ready 1\n", "marblewharf ready  2\n",
        "marblewharf ready 1 \n", "marblewharf ready 1 2 3\n", "marblewharf ready -1 2\n", "other 1 2\n"})
    CHECK(!lifecycle::parse_mark(invalid_mark));
  CHECK(lifecycle::successor_took_over(predecessor, successor));
  CHECK(!lifecycle::successor_took_over(predecessor, std::nullopt));
  CHECK(!lifecycle::successor_took_over(predecessor, predecessor));  // the process's own mark
  CHECK(!lifecycle::successor_took_over(successor, predecessor));    // a mark of an earlier process
  CHECK(!lifecycle::successor_took_over(
      predecessor,
      lifecycle::hot_restart_mark{300, 1'000'000}));  // equal start times do not prove a successor
  CHECK(lifecycle::mark_path("/t", "n3", "127.0.0.2", 9000) == "/t/marblewharf-n3-127.0.0.2-9000.ready");
  CHECK(lifecycle::mark_path("/t", "n3", "127.0.0.2", 9000) !=
        lifecycle::mark_path("/t", "n3", "127.0.0.2", 9001));
}

// The phases begin on time, a successor makes the drain begin at the notice, and a process that was suspended
// past the kill time still serves `late_answer_time`.
void graceful_shutdown() {
  limits bounds;
  bounds.shutdown_duration = 3200ms;
  const lifecycle::connection_progress open{}, ended{.all_closed = false, .all_ended = true},
      closed{.all_closed = true, .all_ended = true};
  lifecycle::graceful_shutdown without_successor(10s, false, bounds);
  CHECK(!without_successor.drains_connections(12s) &&
        !without_successor.is_complete(12s, closed));  // still serving
  CHECK(without_successor.drains_connections(12600ms) && without_successor.is_complete(12600ms, closed));
  CHECK(!without_successor.closes_connections(12900ms) && !without_successor.is_complete(12900ms, ended));
  CHECK(without_successor.closes_connections(12950ms) &&
        !without_successor.is_complete(12950ms, ended));  // callers still have time to see the end and close
  CHECK(without_successor.is_complete(13050ms, ended) && !without_successor.is_complete(13050ms, open));
  CHECK(without_successor.is_complete(13100ms, open));  // the kill is imminent
  lifecycle::graceful_shutdown with_successor(10s, true, bounds);
  CHECK(with_successor.drains_connections(10s) && with_successor.is_complete(10s, closed) &&
        !with_successor.is_complete(10s, ended));
  lifecycle::graceful_shutdown suspended(10s, false, bounds);  // suspended until after the kill time
  CHECK(suspended.drains_connections(14s) && suspended.closes_connections(14s));
  CHECK(!suspended.is_complete(14s, open) && suspended.is_complete(14010ms, ended) &&
        suspended.is_complete(14050ms, open));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"operator_drain", operator_drain},
                                                   {"console_commands", console_commands},
                                                   {"statistics", statistics},
                                                   {"hot_restart_marks", hot_restart_marks},
                                                   {"graceful_shutdown", graceful_shutdown}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  std::printf("%s passed\n", found->first.c_str());
  return 0;
}
