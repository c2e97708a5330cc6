// The file in $TMPDIR that contains the hot-restart mark. A process and its successor use the same file
// (lifecycle/hot_restart.hpp defines the mark).
#pragma once

#include <string>

#include "config/config.hpp"
#include "lifecycle/hot_restart.hpp"

namespace marblewharf::server {

// Reads and writes the file on the reactor's thread. The file has one line; a process writes it once and
// reads it once.
class hot_restart_file {
 public:
  // Uses the time of construction as the start time of this process.
  explicit hot_restart_file(const config& settings);

  // Writes the mark of this process, which accepts connections now. Only the first call has an effect. A
  // failure is logged; the predecessor then does not detect this process and shuts down as if it had no
  // successor.
  void write_once();

  // Whether a successor, which started after this process, accepts connections on this node's address and is
  // still alive.
  bool successor_took_over() const;

 private:
  std::string path_;
  lifecycle::hot_restart_mark self_;
  bool written_ = false;
};

}  // namespace marblewharf::server
