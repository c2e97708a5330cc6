// The pure parts of daily operation: the drain state, the console's lines, the figures (ctest -L ops).
#include <map>
#include <string>

#include "../check.hpp"
#include "ops/console_line.hpp"
#include "ops/departure.hpp"
#include "ops/drain.hpp"
#include "ops/figures.hpp"
#include "ops/handover.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

void drain_state() {
  ops::drain_state d;
  CHECK(d.healthy(true) && !d.healthy(false));
  CHECK(!d.resume(1s));  // resume without a drain changes nothing
  CHECK(d.where() == ops::drain_state::stage::serving && d.since() == 0s);
  CHECK(d.drain(2s) && !d.healthy(true));
  CHECK(!d.drain(3s) && d.since() == 2s);  // twice: the first time stays
  CHECK(d.resume(4s) && d.healthy(true) && d.since() == 4s);
  CHECK(!d.healthy(false));  // the module's own word still counts
}

void console_lines() {
  using ops::console_call;
  CHECK(ops::parse_console_line("ready") == console_call::ready);
  CHECK(ops::parse_console_line(" show-stat\r") == console_call::show_stat);
  CHECK(ops::parse_console_line("drain\t") == console_call::drain);
  CHECK(ops::parse_console_line("resume") == console_call::resume);
  for (const char* none : {"", "\r", "  ", "READY", "ready now", "rea", "show stat", "drain\r\r"})
    CHECK(!ops::parse_console_line(none));
  CHECK(!ops::parse_console_line(std::string_view("ready\0", 6)));
}

void figures() {
  telemetry::counters c;
  c.served_by_class = {3, 0};
  c.refused_by_class = {1, 2};
  c.failed_by_class = {0, 5};
  c.sent = 9;
  const std::string text = ops::render_figures(c, {"a", "b"}, 4);
  CHECK(text ==
        "app.completed.a=3\napp.rejected.a=1\napp.failed.a=0\napp.completed.b=0\napp.rejected.b=2\n"
        "app.failed.b=5\napp.upstream_requests=9\napp.pending=4\n");
  telemetry::counters empty;  // vectors not sized: zeros, no fault
  CHECK(ops::render_figures(empty, {"a"}, 0).find("app.completed.a=0\n") == 0);
}

void handover_marks() {
  const ops::handover_mark old{100, 1'000'000}, successor{200, 1'003'500};
  CHECK(ops::read_mark(ops::write_mark(successor)) == successor);
  const std::string whole = ops::write_mark(successor);
  for (std::size_t cut = 0; cut < whole.size(); ++cut) CHECK(!ops::read_mark(whole.substr(0, cut)));
  for (const char* bad :
       {"marblewharf ready 1 2", "marblewharf ready x 2\n", "marblewharf ready 1\n", "marblewharf ready  2\n",
        "marblewharf ready 1 \n", "marblewharf ready 1 2 3\n", "marblewharf ready -1 2\n", "other 1 2\n"})
    CHECK(!ops::read_mark(bad));
  CHECK(ops::successor_took_over(old, successor));
  CHECK(!ops::successor_took_over(old, std::nullopt));
  CHECK(!ops::successor_took_over(old, old));                                 // its own mark
  CHECK(!ops::successor_took_over(successor, old));                           // left from before
  CHECK(!ops::successor_took_over(old, ops::handover_mark{300, 1'000'000}));  // same millisecond: no proof
  CHECK(ops::mark_path("/t", "n3", "127.0.0.2", 9000) == "/t/marblewharf-n3-127.0.0.2-9000.ready");
  CHECK(ops::mark_path("/t", "n3", "127.0.0.2", 9000) != ops::mark_path("/t", "n3", "127.0.0.2", 9001));
}

void departure() {
  limits bounds;
  bounds.stop = 3200ms;
  const ops::departure::progress standing{}, ended{.empty = false, .ended = true},
      empty{.empty = true, .ended = true};
  ops::departure alone(10s, false, bounds);
  CHECK(!alone.asks_callers_to_go(12s) && !alone.is_over(12s, empty));  // still serving
  CHECK(alone.asks_callers_to_go(12600ms) && alone.is_over(12600ms, empty));
  CHECK(!alone.ends_connections(12900ms) && !alone.is_over(12900ms, ended));
  CHECK(alone.ends_connections(12950ms) &&
        !alone.is_over(12950ms, ended));  // callers may see the end and close
  CHECK(alone.is_over(13050ms, ended) && !alone.is_over(13050ms, standing));
  CHECK(alone.is_over(13100ms, standing));  // the kill is near
  ops::departure replaced(10s, true, bounds);
  CHECK(replaced.asks_callers_to_go(10s) && replaced.is_over(10s, empty) && !replaced.is_over(10s, ended));
  ops::departure late(10s, false, bounds);  // stood still until after the kill was due
  CHECK(late.asks_callers_to_go(14s) && late.ends_connections(14s));
  CHECK(!late.is_over(14s, standing) && late.is_over(14010ms, ended) && late.is_over(14050ms, standing));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"drain_state", drain_state},
                                                   {"console_lines", console_lines},
                                                   {"figures", figures},
                                                   {"handover", handover_marks},
                                                   {"departure", departure}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  std::printf("%s passed\n", found->first.c_str());
  return 0;
}
