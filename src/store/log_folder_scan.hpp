// Recovery of a log: finds the segments in its folder and reads every valid record.
//
// Read-only. Calls block on disk I/O. Any thread; the caller holds the lock of the folder. Throws io_error if
// a file cannot be read, and damaged, naming file and byte, if a file is not as it was written.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"
#include "store/log.hpp"
#include "store/position.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

// File names consist of a segment's number and one of these endings.
inline constexpr std::string_view segment_suffix = ".seg";      // a segment in use
inline constexpr std::string_view aside_suffix = ".seg.aside";  // a segment that an operator has set aside
inline constexpr std::string_view marker_suffix = ".seg.aged";  // the empty marker file of a deleted segment

// The number of a segment as in file names: 16 hexadecimal digits.
std::string name_of_segment(std::uint64_t number);
// Returns nothing if the name is not that of a segment with this ending.
std::optional<std::uint64_t> number_of_segment(std::string_view name, std::string_view ending);

// A segment of the log.
struct found_segment {
  std::uint64_t number = 0, end = 0, size = 0;  // `end`: valid bytes; `size`: bytes of the file
  std::int64_t expiry = 0;
  segment_header header;
};

struct found_folder {
  std::vector<found_segment> segments;
  recovered_counts counts;
  bool spare = false;
  std::uint64_t highest = 0;  // the highest segment number in any file name
  // Marker files of deleted segments: the expiry from the header of the next segment, by number; 0 = there is
  // no such header.
  std::map<std::uint64_t, std::int64_t> retired;
};

// Calls `visit` for every valid record, in order. With `replay_from`, records before that position are
// skipped, as a checkpoint covers them. `newest_format`: the latest format that the caller reads.
found_folder scan_folder(file_system& fs, const std::string& folder, const log::expiry_function& expiry_of,
                         const log::visitor& visit, std::uint32_t newest_format,
                         const std::optional<position>& replay_from = std::nullopt);

}  // namespace marblewharf::store
