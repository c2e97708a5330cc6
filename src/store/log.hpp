// A folder of segments that records are appended to, a commit a frame. Blocks on the disk: one thread at a
// time.
//
// Order on disk, so that any prefix of it is consistent: a spare file is set aside with its blocks; it gets a
// header that says what counts of the segment before, is synced, renamed into place, and the folder synced;
// only then it is written to. Segments go whole, once all in them has aged: renamed, the folder synced, and
// emptied; the name goes with the first later header that is dated behind that. The source of the discipline
// is write-ahead logging as embedded databases have it, without the log's second copy: the log is the store.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"
#include "store/position.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

struct log_options {
  std::string folder;
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes of all files together
  std::uint64_t salt = 0;                          // for a new folder
  // Asked once the folder is held: records before this place are known already, and segments before it are
  // not read. None: all are.
  std::function<std::optional<position>()> from = {};
  std::uint32_t format = format::records;  // of new segments; those of a later one are refused
};

struct entry {
  record what;
  std::int64_t expiry = 0;  // when it has aged, in the time of the store's owner
};

// When what has no age of its own goes: only by drop().
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

struct recovered_counts {
  std::uint64_t segments = 0, records = 0, frames = 0, torn_bytes = 0;
  std::int64_t latest = 0;  // the latest time that the folder knows of
};

class log {
 public:
  using visitor = std::function<void(std::uint32_t type, std::string_view body, const position& at)>;
  // When a record found at recovery ages.
  using ageing = std::function<std::int64_t(std::uint32_t type, std::string_view body)>;

  // Takes the folder for this process and reads all of it, oldest first. `now` of a clock that may have been
  // set back: whoever owns the store goes on from counts().latest at least. Throws io_error or damaged.
  log(file_system& fs, log_options options, const ageing& expiry_of, const visitor& each);
  ~log();
  log(const log&) = delete;
  log& operator=(const log&) = delete;

  // Reads a folder that no process holds, and changes nothing in it.
  static recovered_counts inspect(file_system& fs, const std::string& folder, const ageing& expiry_of,
                                  const visitor& each, std::uint32_t known = format::records);

  static std::string file_name(std::uint64_t segment);
  // Of what stands in for a segment that has gone, as long as the one behind it is there.
  static std::string gone_name(std::uint64_t segment);
  // Of a name in the folder; none: it is no segment's.
  static std::optional<std::uint64_t> number_of(std::string_view name);

  const recovered_counts& counts() const { return counts_; }
  std::uint64_t salt() const { return options_.salt; }

  // Opens a new segment: after a start, and again after a failure. Throws io_error.
  void open(std::int64_t now);
  bool is_open() const { return active_ != nullptr; }

  // Writes one frame and has it on disk. Throws io_error: then the segment is closed for good, nothing of
  // this frame counts once open() has succeeded, and until then nobody may rely on either.
  std::vector<position> append(std::span<const entry> batch, std::int64_t now);

  // The oldest segment that is not being written; 0: none.
  std::uint64_t oldest() const { return sealed_.empty() ? 0 : sealed_.begin()->first; }
  // Takes this segment away, whatever is in it, where it is the oldest; on return that is on disk. Throws
  // io_error.
  void drop(std::uint64_t oldest);
  // What counts of a segment; 0: there is none such.
  std::uint64_t end_of(std::uint64_t segment) const;
  // The segment behind this one, the open one among them; 0: none.
  std::uint64_t next_after(std::uint64_t segment) const;
  // Where the next record of the open segment goes; what stands before is on disk.
  position end() const { return {number_, static_cast<std::uint32_t>(end_), 0}; }

  // The body of a record. Throws io_error or damaged.
  std::string read(const position& at) const;

  // Removes segments in which all has aged and sets the next spare aside; false: no room for a spare.
  bool tidy(std::int64_t now);

  // Bytes that frames may still take for certain, none larger than largest_frame().
  std::uint64_t room() const;
  // The same, with what further segments would bring while the space for them is free.
  std::uint64_t room_in_all() const;
  std::uint64_t largest_frame() const { return options_.segment / 4; }
  std::uint64_t used() const;
  // When the next segment goes; 0 = none stands.
  std::int64_t next_ageing() const;

 private:
  struct sealed {
    std::uint64_t end = 0;
    std::int64_t expiry = 0;
  };

  std::string path_of(std::uint64_t number) const;
  void seal(std::int64_t now);
  void activate(std::int64_t now);
  void retire(std::uint64_t number, std::int64_t expiry);
  std::string aged_path_of(std::uint64_t number) const;
  bool set_spare_aside();

  file_system& fs_;
  log_options options_;
  std::shared_ptr<void> lock_;
  recovered_counts counts_;
  std::map<std::uint64_t, sealed> sealed_;      // by number
  std::map<std::uint64_t, std::int64_t> aged_;  // gone, but for their names: when all in them had aged
  std::unique_ptr<file> active_;
  std::unique_ptr<file> spare_;
  std::uint64_t number_ = 0;    // of the active segment, or the last one
  std::uint64_t end_ = 0;       // of what counts in the active one
  std::int64_t expiry_ = 0;     // of all in the active one
  std::uint64_t sequence_ = 0;  // of frames
};

}  // namespace marblewharf::store
