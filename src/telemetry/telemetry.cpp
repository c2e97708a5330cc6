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

constexpr std::size_t max_text_bytes = 512;
constexpr std::int64_t ms_per_second = 1000;

// Rate limit of the log lines of one event.
struct line_limiter {
  std::chrono::steady_clock::time_point window_start;  // windows last one second
  unsigned written = 0;                                // lines in the current window
  std::uint64_t suppressed = 0;                        // lines since the last line that was written
};

std::mutex mutex;                   // guards the variables below, and prevents lines from interleaving
unsigned max_lines_per_second = 5;  // of each event
std::map<std::string_view, line_limiter> limiters;  // by event

// Whether another line may be written now. Counts the line as written or suppressed.
bool allow_line(line_limiter& limiter) {
  const auto now = std::chrono::steady_clock::now();
  if (now - limiter.window_start >= std::chrono::seconds(1)) {
    limiter.window_start = now;
    limiter.written = 0;
  }
  if (limiter.written >= max_lines_per_second) {
    ++limiter.suppressed;
    return false;
  }
  ++limiter.written;
  return true;
}

std::int64_t unix_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

void set_log_rate_limit(unsigned lines_per_second) {
  const std::lock_guard lock(mutex);
  max_lines_per_second = lines_per_second;
}

void log(const char* event, const char* format, ...) {
  const std::lock_guard lock(mutex);
  line_limiter& limiter = limiters[event];
  if (!allow_line(limiter)) return;
  char text[max_text_bytes];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::int64_t now_ms = unix_ms();
  std::fprintf(stderr, "%" PRId64 ".%03d %s: %s", now_ms / ms_per_second,
               static_cast<int>(now_ms % ms_per_second), event, text);
  if (limiter.suppressed > 0)
    std::fprintf(stderr, " (%" PRIu64 " lines of this event suppressed)", limiter.suppressed);
  std::fputc('\n', stderr);
  limiter.suppressed = 0;
}

void audit(const char* format, ...) {
  const std::lock_guard lock(mutex);
  char text[max_text_bytes];
  std::va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  std::fprintf(stderr, "audit: %s\n", text);
}

void log_counters(const counters& totals) {
  log("counters",
      "connections=%" PRIu64 " taken_in=%" PRIu64 " sent=%" PRIu64 " served=%" PRIu64 " refused=%" PRIu64
      " failed=%" PRIu64 " given_up=%" PRIu64 " gone=%" PRIu64 " bad_requests=%" PRIu64 " bad_frames=%" PRIu64
      " checks=%" PRIu64 " silent=%" PRIu64 " made_room=%" PRIu64 " turned_away=%" PRIu64
      " links_lost=%" PRIu64 " nacks=%" PRIu64 " starts_in_doubt=%" PRIu64 " console_calls=%" PRIu64
      " console_bad=%" PRIu64 " internal_errors=%" PRIu64,
      totals.accepted_connections, totals.received_requests, totals.started_runs, totals.served,
      totals.rejected, totals.failed, totals.deadline_exceeded, totals.cancelled, totals.invalid_requests,
      totals.invalid_frames, totals.health_checks, totals.silent_connections, totals.evicted_connections,
      totals.rejected_connections, totals.lost_runtime_connections, totals.rejected_runtime_commands,
      totals.unconfirmed_starts, totals.console_commands, totals.console_errors, totals.internal_errors);
  if (totals.stored_bytes == 0 && totals.stored_keys == 0 && totals.peer_keys == 0)
    return;  // the idempotency store is empty or not in use
  log("counters",
      "repeats_answered=%" PRIu64 " repeats_joined=%" PRIu64 " repeats_in_doubt=%" PRIu64
      " key_conflicts=%" PRIu64 " no_room=%" PRIu64 " results_known=%" PRIu64 " results_in_doubt=%" PRIu64
      " results_bytes=%" PRIu64 " results_commits=%" PRIu64 " results_of_peers=%" PRIu64
      " inquiries_without_server=%" PRIu64 " keys_in_memory=%" PRIu64 " bytes_in_memory=%" PRIu64,
      totals.answered_duplicates, totals.coalesced_duplicates, totals.duplicates_of_unknown_outcome,
      totals.key_conflicts, totals.rejected_for_key_capacity, totals.stored_keys,
      totals.keys_with_unknown_outcome, totals.stored_bytes, totals.store_commits, totals.peer_keys,
      totals.inquiries_without_server, totals.memory_keys, totals.memory_bytes);
}

}  // namespace marblewharf::telemetry
