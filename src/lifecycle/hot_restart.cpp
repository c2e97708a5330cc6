#include "lifecycle/hot_restart.hpp"

#include <charconv>

namespace marblewharf::lifecycle {

namespace {
constexpr std::string_view head = "marblewharf ready ";
}

std::string write_mark(const hot_restart_mark& m) {
  return std::string(head) + std::to_string(m.process) + " " + std::to_string(m.started_ms) + "\n";
}

std::optional<hot_restart_mark> read_mark(std::string_view text) {
  if (!text.starts_with(head) || !text.ends_with('\n')) return std::nullopt;
  text.remove_prefix(head.size());
  text.remove_suffix(1);
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  hot_restart_mark m;
  const char* end = text.data() + space;
  const auto first = std::from_chars(text.data(), end, m.process);
  if (first.ec != std::errc{} || first.ptr != end || space == 0) return std::nullopt;
  const char* last_end = text.data() + text.size();
  const auto second = std::from_chars(end + 1, last_end, m.started_ms);
  if (second.ec != std::errc{} || second.ptr != last_end || end + 1 == last_end) return std::nullopt;
  return m;
}

bool successor_took_over(const hot_restart_mark& self, const std::optional<hot_restart_mark>& seen) {
  if (!seen || seen->process == self.process) return false;
  // A process started in the same millisecond, or before: a mark from earlier, not a successor.
  return seen->started_ms > self.started_ms;
}

std::string mark_path(const std::string& folder, const std::string& node_name, const std::string& listen_host,
                      std::uint16_t listen_port) {
  return (folder.empty() ? std::string(".") : folder) + "/marblewharf-" + node_name + "-" + listen_host +
         "-" + std::to_string(listen_port) + ".ready";
}

}  // namespace marblewharf::lifecycle
