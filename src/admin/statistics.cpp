#include "admin/statistics.hpp"

#include <cstdint>

namespace marblewharf::admin {
namespace {

void append_line(std::string& lines, const std::string& name, std::uint64_t value) {
  lines += name + '=' + std::to_string(value) + '\n';
}

std::uint64_t count_at(const std::vector<std::uint64_t>& counts, std::size_t index) {
  return index < counts.size() ? counts[index] : 0;
}

}  // namespace

std::string render_statistics(const telemetry::counters& counters,
                              const std::vector<std::string>& class_names, std::size_t pending) {
  std::string lines;
  for (std::size_t index = 0; index < class_names.size(); ++index) {
    const std::string& name = class_names[index];
    append_line(lines, "app.completed." + name, count_at(counters.served_by_class, index));
    append_line(lines, "app.rejected." + name, count_at(counters.rejected_by_class, index));
    append_line(lines, "app.failed." + name, count_at(counters.failed_by_class, index));
  }
  append_line(lines, "app.upstream_requests", counters.started_runs);
  append_line(lines, "app.pending", pending);
  return lines;
}

}  // namespace marblewharf::admin
