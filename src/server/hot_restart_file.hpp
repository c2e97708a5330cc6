// The hot-restart mark as a file in $TMPDIR, which a process and its successor share
// (lifecycle/hot_restart.hpp says what a mark means).
#pragma once

#include <string>

#include "config/config.hpp"
#include "lifecycle/hot_restart.hpp"

namespace marblewharf::server {

// Reads and writes the file on the reactor's thread: the mark is one line, written once in a run and read
// once.
class hot_restart_file {
 public:
  // Takes the time of its construction for the start of this process.
  explicit hot_restart_file(const config& settings);

  // This process takes clients: writes its mark, at the first call only. A failure is logged; a successor
  // then goes unnoticed and the predecessor shuts down as if it were alone.
  void write_once();

  // Whether a process that started after this one takes the clients of this node's address and still lives.
  bool successor_took_over() const;

 private:
  std::string path_;
  lifecycle::hot_restart_mark self_;
  bool written_ = false;
};

}  // namespace marblewharf::server
