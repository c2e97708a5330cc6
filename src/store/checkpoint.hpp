// A checkpoint of a store's index: which key stands where, written in slices while writes go on. Blocks on
// the disk.
//
// A file in the format of a segment, under another name, whose header says from which place of the log on all
// that was written since is to be read over it. It counts once it was renamed to its name; until then, and
// where it is damaged, the one before or the log alone counts.
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
  // `from`: the log's end now; `bytes`: about what it will take. Throws io_error.
  checkpoint_writer(file_system& fs, std::string folder, std::uint64_t salt, const position& from,
                    std::uint64_t bytes);
  // One that is not finished is taken away at the next beginning.
  ~checkpoint_writer() = default;

  // A slice of entries: encode_row() with encode_position() for the value. Throws io_error.
  void add(const std::vector<std::string>& entries);
  // All entries were added: on return it counts. Throws io_error.
  void finish();
  std::uint64_t written() const { return end_; }

 private:
  void frame(const std::vector<record>& records);

  file_system& fs_;
  std::string folder_;
  std::unique_ptr<file> file_;
  std::uint64_t end_ = 0, frames_ = 0, entries_ = 0;
};

struct checkpoint_found {
  position from;  // read the log from here
  std::uint64_t entries = 0;
  std::uint64_t salt = 0;
  std::string fault;  // it is damaged and none of it counts; empty: whole
};
// None: there is none. `each` gets the entries of a whole one only. Throws io_error.
std::optional<checkpoint_found> read_checkpoint(file_system& fs, const std::string& folder,
                                                const std::function<void(std::string_view)>& each);

}  // namespace marblewharf::store
