// Hot restart: a successor process writes a mark when it accepts connections, and its predecessor reads the
// mark at the shutdown notice. Performs no I/O: server/hot_restart_file.hpp reads and writes the file.
//
// A mark contains the id and the start time of a process. A mark of the reading process itself, or of a
// process that started earlier, does not indicate a successor: such a mark remains from an earlier run if the
// folder is not emptied.
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
// None if the text is not a complete mark (truncated, altered or empty).
std::optional<hot_restart_mark> parse_mark(std::string_view text);

// Whether `mark`, the mark that was read, belongs to a successor: another process that started after the
// process of `self`.
bool successor_took_over(const hot_restart_mark& self, const std::optional<hot_restart_mark>& mark);

// The path of the mark's file in `folder` ("" = the current folder). The name of the file contains the node's
// name and the address that the node shares with its successor, so that a node with the same name on another
// address uses another file and does not count as a successor.
std::string mark_path(const std::string& folder, const std::string& node_name, const std::string& listen_host,
                      std::uint16_t listen_port);

// The path of the folder in which the processes of a node share their idempotency keys
// (store/shared_log.hpp). It contains the same names as the path of the mark.
std::string shared_keys_path(const std::string& folder, const std::string& node_name,
                             const std::string& listen_host, std::uint16_t listen_port);

}  // namespace marblewharf::lifecycle
