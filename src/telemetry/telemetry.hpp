// Log lines and counters for the operators.
#pragma once

#include <cstdint>
#include <vector>

namespace marblewharf::telemetry {

// Writes a line to standard error: the time, the event's name, the text. docs/oncall.md lists the events. At
// most limit_lines() lines of an event are written in a second; its next line says how many were left out.
// Safe to call from any thread. `event` must be a literal.
[[gnu::format(printf, 2, 3)]] void log(const char* event, const char* format, ...);

// The same without a limit, under the event "audit": for tests that need every line.
[[gnu::format(printf, 1, 2)]] void audit(const char* format, ...);

// Lines of each event in a second.
void limit_lines(unsigned each_second);

// Counts since the start. Not thread-safe: of the reactor's thread.
struct counters {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t taken_in = 0;     // requests read, whatever became of them
  std::uint64_t sent = 0;         // runs handed to a backend
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::uint64_t gone = 0;          // requests cancelled by their clients
  std::uint64_t given_up = 0;      // among the failed: deadline exceeded
  std::uint64_t bad_requests = 0;  // failed at once: a field, class or tenant that is wrong
  std::uint64_t bad_frames = 0;    // undecodable, oversized or one too many
  std::uint64_t checks = 0;        // health checks answered
  std::uint64_t silent = 0;        // connections that never brought a message
  std::uint64_t made_room = 0;     // connections not in use closed for new ones
  std::uint64_t turned_away = 0;   // connections closed at once, all others being in use
  std::uint64_t links_lost = 0;    // to the runtime
  std::uint64_t nacks = 0;
  // Idempotency.
  std::uint64_t repeats_answered = 0;   // duplicates, with the first result
  std::uint64_t repeats_joined = 0;     // coalesced with a primary that was queued or ran
  std::uint64_t repeats_in_doubt = 0;   // duplicates told that the outcome is unknown
  std::uint64_t key_conflicts = 0;      // same key, other content
  std::uint64_t no_room = 0;            // rejected since nothing could be recorded
  std::uint64_t background_faults = 0;  // damage that scrubbing found, and jobs that failed
  std::uint64_t results_known = 0, results_in_doubt = 0, results_bytes = 0,
                results_commits = 0;  // as it stands
  // By request class, as the settings list them; sized by the dispatcher.
  std::vector<std::uint64_t> served_by_class, refused_by_class, failed_by_class;
  // The operators' console.
  std::uint64_t console_calls = 0;  // answered with 200
  std::uint64_t console_bad = 0;    // answered with 400 or closed at once
};

// Logs the counters under the event "counters".
void print(const counters& c);

}  // namespace marblewharf::telemetry
