#include "admin/statistics.hpp"

namespace marblewharf::admin {

std::string render_statistics(const telemetry::counters& c, const std::vector<std::string>& classes,
                              std::size_t pending) {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    out += name;
    out += '=';
    out += std::to_string(value);
    out += '\n';
  };
  const auto at = [](const std::vector<std::uint64_t>& v, std::size_t i) { return i < v.size() ? v[i] : 0; };
  for (std::size_t i = 0; i < classes.size(); ++i) {
    line("app.completed." + classes[i], at(c.served_by_class, i));
    line("app.rejected." + classes[i], at(c.refused_by_class, i));
    line("app.failed." + classes[i], at(c.failed_by_class, i));
  }
  line("app.upstream_requests", c.sent);
  line("app.pending", pending);
  return out;
}

}  // namespace marblewharf::admin
