// Scrubbing: reads the closed segments of a folder again and verifies all checksums, so that corruption is
// found while a copy may still exist, and before recovery or a duplicate request needs the record.
//
// Runs concurrently with the log that writes the folder: only closed segments are read, and a segment that is
// deleted meanwhile is not a fault. Not thread-safe: one thread at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "store/file_system.hpp"

namespace marblewharf::store {

class scrubber {
 public:
  scrubber(std::shared_ptr<file_system> fs, std::string folder)
      : fs_(std::move(fs)), folder_(std::move(folder)) {}

  struct step_result {
    bool has_more = false;   // the round is not finished
    std::uint64_t read = 0;  // bytes
    std::string fault;       // file and byte of the damage; empty = none
  };
  // Checks the next closed segment; after the last one, the next call starts again with the first. Throws
  // io_error if the folder cannot be read.
  step_result step();

 private:
  std::shared_ptr<file_system> fs_;
  std::string folder_;
  std::uint64_t last_ = 0;  // segment that was checked last in this round
};

}  // namespace marblewharf::store
