// What a start finds in the folder of a log: its segments, and every record that counts.
//
// Reads only. Blocks on the disk; any thread, with the folder locked by the caller. Throws io_error where a
// file cannot be read, and damaged, naming file and byte, where one is not as it was written.
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

// Endings of file names, behind a segment's number: in use, set aside by hand, aged.
inline constexpr std::string_view segment_suffix = ".seg";
inline constexpr std::string_view aside_suffix = ".seg.aside";
inline constexpr std::string_view aged_suffix = ".seg.aged";

// The number of a segment as file names have it: 16 hexadecimal digits.
std::string name_of_segment(std::uint64_t number);
// None where the name is no segment's with that ending.
std::optional<std::uint64_t> number_of_segment(std::string_view name, std::string_view ending);

// One segment that counts.
struct found_segment {
  std::uint64_t number = 0, end = 0, size = 0;
  std::int64_t expiry = 0;
  segment_header header;
};

struct found_folder {
  std::vector<found_segment> segments;
  recovered_counts counts;
  bool spare = false;
  std::uint64_t highest = 0;                   // number ever seen, also set aside
  std::map<std::uint64_t, std::int64_t> aged;  // gone, with what a header says of their ageing; 0: none does
};

// Calls `each` for every record that counts, in order; `from`: only for those from there on, where a
// checkpoint has what is before. `known`: the formats that the caller reads.
found_folder scan_folder(file_system& fs, const std::string& folder, const log::ageing& expiry_of,
                         const log::visitor& each, std::uint32_t known,
                         const std::optional<position>& from = std::nullopt);

}  // namespace marblewharf::store
