#include "telemetry/telemetry.hpp"

#include <chrono>
#include <cinttypes>
#include <cstdarg>
#include <cstdio>
#include <map>
#include <mutex>
#include <string_view>

namespace marblewharf::telemetry {
namespace {

struct budget {
  std::chrono::steady_clock::time_point since;
  unsigned written = 0;
  std::uint64_t left_out = 0;
};

std::mutex guard;
unsigned most_lines = 5;
std::map<std::string_view, budget> budgets;  // as many as there are words in the program

}  // namespace

void limit_lines(unsigned each_second) {
  const std::lock_guard lock(guard);
  most_lines = each_second;
}

void log(const char* word, const char* format, ...) {
  const std::lock_guard lock(guard);
  const auto now = std::chrono::steady_clock::now();
  budget& b = budgets[word];
  if (now - b.since >= std::chrono::seconds(1)) {
    b.since = now;
    b.written = 0;
  }
  if (b.written >= most_lines) {
    ++b.left_out;
    return;
  }
  ++b.written;
  char text[512];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  std::fprintf(stderr, "%" PRId64 ".%03d %s: %s", static_cast<std::int64_t>(unix_ms / 1000),
               static_cast<int>(unix_ms % 1000), word, text);
  if (b.left_out > 0) std::fprintf(stderr, " (%" PRIu64 " such lines left out)", b.left_out);
  std::fputc('\n', stderr);
  b.left_out = 0;
}

void audit(const char* format, ...) {
  const std::lock_guard lock(guard);
  char text[512];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  std::fprintf(stderr, "audit: %s\n", text);
}

void print(const counters& c) {
  log("counters",
      "connections=%" PRIu64 " taken_in=%" PRIu64 " sent=%" PRIu64 " served=%" PRIu64 " refused=%" PRIu64
      " failed=%" PRIu64 " given_up=%" PRIu64 " gone=%" PRIu64 " bad_requests=%" PRIu64 " bad_frames=%" PRIu64
      " checks=%" PRIu64 " silent=%" PRIu64 " made_room=%" PRIu64 " turned_away=%" PRIu64
      " links_lost=%" PRIu64 " nacks=%" PRIu64 " console_calls=%" PRIu64 " console_bad=%" PRIu64,
      c.connections, c.taken_in, c.sent, c.served, c.refused, c.failed, c.given_up, c.gone, c.bad_requests,
      c.bad_frames, c.checks, c.silent, c.made_room, c.turned_away, c.links_lost, c.nacks, c.console_calls,
      c.console_bad);
  if (c.results_bytes == 0 && c.results_known == 0) return;  // nothing is kept
  log("counters",
      "repeats_answered=%" PRIu64 " repeats_joined=%" PRIu64 " repeats_in_doubt=%" PRIu64
      " key_conflicts=%" PRIu64 " no_room=%" PRIu64 " results_known=%" PRIu64 " results_in_doubt=%" PRIu64
      " results_bytes=%" PRIu64 " results_commits=%" PRIu64,
      c.repeats_answered, c.repeats_joined, c.repeats_in_doubt, c.key_conflicts, c.no_room, c.results_known,
      c.results_in_doubt, c.results_bytes, c.results_commits);
}

}  // namespace marblewharf::telemetry
