// Hot restart: a successor process marks that it takes clients, and its predecessor reads the mark at its
// shutdown notice. Free of I/O: server/hot_restart_file.hpp reads and writes the file.
//
// A mark names a process and when it started. A mark of this process, or of one that started before it,
// proves nothing: it was left by an earlier run in a folder that is not emptied.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marblewharf::lifecycle {

struct hot_restart_mark {
  std::uint64_t process_id = 0;
  std::int64_t started_ms = 0;  // Unix time, ms
  bool operator==(const hot_restart_mark&) const = default;
};

// One line: "marblewharf ready PROCESS_ID STARTED_MS\n".
std::string format_mark(const hot_restart_mark& mark);
// None where the text is no whole mark (cut short, changed, or empty).
std::optional<hot_restart_mark> parse_mark(std::string_view text);

// Whether another process has taken over the clients' address: `seen` is a mark of another process that
// started after this one.
bool successor_took_over(const hot_restart_mark& self, const std::optional<hot_restart_mark>& seen);

// The mark's file in a folder ("" = the current one), by the node's name and the address that it shares with
// its successor. A node of the same name on another address has a file of its own and is no successor.
std::string mark_path(const std::string& folder, const std::string& node_name, const std::string& listen_host,
                      std::uint16_t listen_port);

}  // namespace marblewharf::lifecycle
