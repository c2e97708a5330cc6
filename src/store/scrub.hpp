// Reads the closed segments of a folder again and checks every sum in them, so that what a disk changed is
// found while a copy may still be had, and not by the start or the repeat that needs it.
//
// Beside the process that writes the folder, on a thread of its own: it reads only what does not change any
// more, and takes a segment that goes meanwhile for gone. One thread at a time.
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
    bool more = false;       // the round is not at its end
    std::uint64_t read = 0;  // bytes
    std::string fault;       // names file and byte; empty: well
  };
  // Checks the next closed segment, from the first again after the last. Throws io_error where the folder
  // cannot be read.
  step_result step();

 private:
  std::shared_ptr<file_system> fs_;
  std::string folder_;
  std::uint64_t last_ = 0;  // number of the segment that was checked last in this round
};

}  // namespace marblewharf::store
