// A checkpoint of a store's index: the log position of the value of each key. It is written in slices while
// commits continue. Calls block on disk I/O.
//
// A checkpoint is a file in the format of a segment under another name. Its header states the log position
// from which recovery replays the log on top of the checkpoint. A checkpoint becomes valid when it is renamed
// to its final name; until then the previous checkpoint is valid, if there is one. If the checkpoint is
// damaged, recovery reads the whole log.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"
#include "store/position.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

class checkpoint_writer {
 public:
  // `replay_from`: the current end of the log. `expected_bytes`: the approximate size of the checkpoint,
  // which is preallocated. Throws io_error.
  checkpoint_writer(file_system& fs, std::string folder, std::uint64_t salt, const position& replay_from,
                    std::uint64_t expected_bytes);
  // An unfinished file is left behind; the next writer deletes it.
  ~checkpoint_writer() = default;

  // Writes a slice of entries. Each entry is a row from encode_row() with a value from encode_position().
  // Throws io_error.
  void add(const std::vector<std::string>& entries);
  // Completes the checkpoint after the last entry; it is valid and durable on return. Throws io_error.
  void finish();
  std::uint64_t written_bytes() const { return end_; }

 private:
  void write_frame(const std::vector<record>& records);

  file_system& fs_;
  std::string folder_;
  std::unique_ptr<file> file_;
  std::uint64_t end_ = 0, frames_ = 0, entries_ = 0;
};

struct recovered_checkpoint {
  position replay_from;  // recovery replays the log from here
  std::uint64_t entries = 0;
  std::uint64_t salt = 0;
  std::string fault;  // why the checkpoint is ignored as damaged; empty = intact
};
// Returns nothing if the folder has no checkpoint. `visit` gets the entries only if the checkpoint is intact.
// Throws io_error.
std::optional<recovered_checkpoint> read_checkpoint(file_system& fs, const std::string& folder,
                                                    const std::function<void(std::string_view)>& visit);

}  // namespace marblewharf::store
