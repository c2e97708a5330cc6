// Log lines and counters for operators.
#pragma once

#include <cstdint>
#include <vector>

namespace marblewharf::telemetry {

// Writes a line to standard error: the time, the name of the event and the text. docs/oncall.md lists the
// events. The lines of each event are rate-limited (see set_log_rate_limit()); the first line after a
// suppression states how many lines were suppressed. Thread-safe. `event` must be a string literal.
[[gnu::format(printf, 2, 3)]] void log(const char* event, const char* format, ...);

// Writes the line "audit: TEXT", without a time. Not rate-limited: for tests that need every line.
// Thread-safe.
[[gnu::format(printf, 1, 2)]] void audit(const char* format, ...);

// Sets the maximum number of lines that log() writes for each event in one second. Thread-safe.
void set_log_rate_limit(unsigned lines_per_second);

// Counts since the start of the process, unless stated otherwise. Not thread-safe: owned by the reactor's
// thread.
struct counters {
  std::uint64_t accepted_connections = 0;              // connections accepted
  std::uint64_t received_requests = 0;                 // requests received, whatever their outcome
  std::uint64_t started_runs = 0;                      // runs passed to a backend
  std::uint64_t served = 0, rejected = 0, failed = 0;  // requests answered, by status
  std::uint64_t cancelled = 0;                         // requests cancelled by their clients
  std::uint64_t deadline_exceeded = 0;                 // failed requests whose deadline was exceeded
  std::uint64_t invalid_requests = 0;  // requests failed at once because of an invalid field, class or tenant
  std::uint64_t invalid_frames = 0;    // frames that are undecodable, oversized or above the number allowed
  std::uint64_t health_checks = 0;     // health checks answered
  std::uint64_t silent_connections = 0;         // connections closed because they never sent a message
  std::uint64_t evicted_connections = 0;        // unused connections evicted in favour of new ones
  std::uint64_t rejected_connections = 0;       // connections rejected because all others were in use
  std::uint64_t lost_runtime_connections = 0;   // connections to the runtime that were lost
  std::uint64_t rejected_runtime_commands = 0;  // commands that the runtime rejected
  std::uint64_t unconfirmed_starts = 0;         // starts that a lost connection may have lost
  // Idempotency.
  std::uint64_t answered_duplicates = 0;   // duplicates answered with the stored result
  std::uint64_t coalesced_duplicates = 0;  // duplicates coalesced with a primary that was queued or running
  std::uint64_t duplicates_of_unknown_outcome = 0;  // duplicates answered with an unknown outcome
  std::uint64_t key_conflicts = 0;                  // requests whose key was used before with other content
  // Inquiries that the server of the request did not answer: it is away, not in the settings, or hung up.
  std::uint64_t inquiries_without_server = 0;
  std::uint64_t rejected_for_key_capacity = 0;  // requests rejected because their key could not be recorded
  // Exceptions that no code expects, in handlers of events and in steps of the event loop: faults of the
  // program.
  std::uint64_t internal_errors = 0;
  std::uint64_t background_faults = 0;  // damaged data found by scrubbing, and jobs that failed
  // Current state of the idempotency stores, on disk and in memory together: keys in the tables, keys whose
  // outcome is unknown, bytes that results occupy; and commits to disk since the start.
  std::uint64_t stored_keys = 0, keys_with_unknown_outcome = 0, stored_bytes = 0, store_commits = 0;
  std::uint64_t memory_keys = 0, memory_bytes = 0;  // the part of them in memory
  std::uint64_t peer_keys = 0;  // currently known keys that other processes of this node have run
  // Answers by request class, in the order of the settings. The dispatcher sets the size.
  std::vector<std::uint64_t> served_by_class, rejected_by_class, failed_by_class;
  // The operators' console.
  std::uint64_t console_commands = 0;  // valid commands answered
  std::uint64_t console_errors = 0;    // missing or invalid command lines, answered with 400
};

// Logs the counters under the event "counters".
void log_counters(const counters& totals);

}  // namespace marblewharf::telemetry
