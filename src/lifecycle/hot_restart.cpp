#include "lifecycle/hot_restart.hpp"

#include <charconv>

namespace marblewharf::lifecycle {
namespace {

constexpr std::string_view mark_prefix = "marblewharf ready ";

// Parses the whole text as a number; none if the text is not a number or exceeds the range of the type.
template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsed_to != end) return std::nullopt;
  return number;
}

std::string path_prefix(const std::string& folder, const std::string& node_name,
                        const std::string& listen_host, std::uint16_t listen_port) {
  return (folder.empty() ? "." : folder) + "/marblewharf-" + node_name + "-" + listen_host + "-" +
         std::to_string(listen_port);
}

}  // namespace

std::string format_mark(const hot_restart_mark& mark) {
  return std::string(mark_prefix) + std::to_string(mark.process_id) + " " + std::to_string(mark.started_ms) +
         "\n";
}

std::optional<hot_restart_mark> parse_mark(std::string_view text) {
  if (!text.starts_with(mark_prefix) || !text.ends_with('\n')) return std::nullopt;
  text.remove_prefix(mark_prefix.size());
  text.remove_suffix(1);
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const auto process_id = parse_number<std::uint64_t>(text.substr(0, space));
  const auto started_ms = parse_number<std::int64_t>(text.substr(space + 1));
  if (!process_id || !started_ms) return std::nullopt;
  return hot_restart_mark{*process_id, *started_ms};
}

bool successor_took_over(const hot_restart_mark& self, const std::optional<hot_restart_mark>& mark) {
  if (!mark || mark->process_id == self.process_id) return false;
  // Equal start times, in milliseconds, do not prove that the other process started later.
  return mark->started_ms > self.started_ms;
}

std::string mark_path(const std::string& folder, const std::string& node_name, const std::string& listen_host,
                      std::uint16_t listen_port) {
  return path_prefix(folder, node_name, listen_host, listen_port) + ".ready";
}

std::string shared_keys_path(const std::string& folder, const std::string& node_name,
                             const std::string& listen_host, std::uint16_t listen_port) {
  return path_prefix(folder, node_name, listen_host, listen_port) + ".keys";
}

}  // namespace marblewharf::lifecycle
