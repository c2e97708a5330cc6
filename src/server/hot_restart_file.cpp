#include "server/hot_restart_file.hpp"

#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "net/reactor.hpp"
#include "server/temporary_folder.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {
namespace {

// False only if no such process exists. A process that this process is not permitted to signal is alive.
bool is_alive(std::uint64_t process_id) {
  return ::kill(static_cast<pid_t>(process_id), 0) == 0 || errno != ESRCH;
}

bool write_file(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  out << text;
  return static_cast<bool>(out.flush());
}

}  // namespace

hot_restart_file::hot_restart_file(const config& settings)
    : path_(lifecycle::mark_path(temporary_folder(), settings.name, settings.listen.host,
                                 settings.listen.port)),
      self_{static_cast<std::uint64_t>(::getpid()), net::unix_ms()} {}

void hot_restart_file::write_once() {
  if (std::exchange(written_, true)) return;
  // Writes a temporary file and renames it, so that a reader never sees a partial mark.
  const std::string temporary_path = path_ + "." + std::to_string(self_.process_id);
  if (!write_file(temporary_path, lifecycle::format_mark(self_))) {
    telemetry::log("handover",
                   "cannot write the hot-restart mark %s: a predecessor will not detect this process",
                   temporary_path.c_str());
    return;
  }
  if (std::rename(temporary_path.c_str(), path_.c_str()) != 0) {
    telemetry::log("handover",
                   "cannot rename the hot-restart mark to %s: a predecessor will not detect this process",
                   path_.c_str());
    std::remove(temporary_path.c_str());
  }
}

bool hot_restart_file::successor_took_over() const {
  std::ifstream in(path_);
  std::ostringstream text;
  text << in.rdbuf();
  const std::optional<lifecycle::hot_restart_mark> mark = lifecycle::parse_mark(text.str());
  return lifecycle::successor_took_over(self_, mark) && is_alive(mark->process_id);
}

}  // namespace marblewharf::server
