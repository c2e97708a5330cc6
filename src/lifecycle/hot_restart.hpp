// Replacement by a second process: the new one marks that it takes clients, the old one reads the mark at its
// notice to leave. Free of I/O: the node reads and writes the mark's text, this says what it means.
//
// The mark names the process (its id) and when it started (Unix milliseconds). A mark of this process, or of
// one that started before it, tells nothing: it is left from an earlier run in a $TMPDIR that is not emptied.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marblewharf::lifecycle {

struct hot_restart_mark {
  std::uint64_t process = 0;
  std::int64_t started_ms = 0;  // Unix
  bool operator==(const hot_restart_mark&) const = default;
};

// One line: "marblewharf ready PROCESS STARTED_MS\n".
std::string write_mark(const hot_restart_mark& m);
// None where the text is no whole mark (cut short, changed, or empty).
std::optional<hot_restart_mark> read_mark(std::string_view text);

// Whether another process has taken over the clients' address: its mark is newer than this process.
bool successor_took_over(const hot_restart_mark& self, const std::optional<hot_restart_mark>& seen);

// The file of the mark in a folder, by the node's name and the clients' address that a successor shares with
// it: one node, one mark, whichever process wrote it last. A node of the same name on another address (a
// second node on the machine, a test beside another) writes a file of its own and is no successor.
std::string mark_path(const std::string& folder, const std::string& node_name, const std::string& listen_host,
                      std::uint16_t listen_port);

}  // namespace marblewharf::lifecycle
