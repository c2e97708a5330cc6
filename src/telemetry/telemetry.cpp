#include "telemetry/telemetry.hpp"

#include <chrono>
#include <cinttypes>
#include <cstdarg>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string_view>

namespace marblewharf::telemetry {
namespace {

constexpr std::size_t longest_text = 512;
constexpr std::int64_t ms_per_second = 1000;

// The lines of one event in the present second.
struct line_quota {
  std::chrono::steady_clock::time_point second_began;
  unsigned written = 0;
  std::uint64_t left_out = 0;  // since the last line that was written
};

std::mutex mutex;  // guards all below, and keeps lines whole
unsigned lines_per_second = 5;
std::map<std::string_view, line_quota> quotas;  // one for each event of the program

// Whether another line may be written now; counts it either way.
bool may_write(line_quota& quota) {
  const auto now = std::chrono::steady_clock::now();
  if (now - quota.second_began >= std::chrono::seconds(1)) {
    quota.second_began = now;
    quota.written = 0;
  }
  if (quota.written >= lines_per_second) {
    ++quota.left_out;
    return false;
  }
  ++quota.written;
  return true;
}

std::int64_t unix_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

void limit_lines(unsigned each_second) {
  const std::lock_guard lock(mutex);
  lines_per_second = each_second;
}

void log(const char* event, const char* format, ...) {
  const std::lock_guard lock(mutex);
  line_quota& quota = quotas[event];
  if (!may_write(quota)) return;
  char text[longest_text];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::int64_t now_ms = unix_ms();
  std::fprintf(stderr, "%" PRId64 ".%03d %s: %s", now_ms / ms_per_second,
               static_cast<int>(now_ms % ms_per_second), event, text);
  if (quota.left_out > 0) std::fprintf(stderr, " (%" PRIu64 " such lines left out)", quota.left_out);
  std::fputc('\n', stderr);
  quota.left_out = 0;
}

void audit(const char* format, ...) {
  const std::lock_guard lock(mutex);
  char text[longest_text];
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
  if (c.results_bytes == 0 && c.results_known == 0) return;  // no result is recorded
  log("counters",
      "repeats_answered=%" PRIu64 " repeats_joined=%" PRIu64 " repeats_in_doubt=%" PRIu64
      " key_conflicts=%" PRIu64 " no_room=%" PRIu64 " results_known=%" PRIu64 " results_in_doubt=%" PRIu64
      " results_bytes=%" PRIu64 " results_commits=%" PRIu64,
      c.repeats_answered, c.repeats_joined, c.repeats_in_doubt, c.key_conflicts, c.no_room, c.results_known,
      c.results_in_doubt, c.results_bytes, c.results_commits);
}

}  // namespace marblewharf::telemetry
