// The format of a segment on disk: bytes to records and back. No files here.
//
// A segment is a header and frames. A frame is what one commit wrote: its own header with length and
// checksum, then records, each with length and checksum. All numbers are little-endian, all parts begin at
// multiples of 8. The next frame is written only once the one before is on disk, so behind a torn frame there
// is never a whole one. What a segment holds of value ends where the header of the next segment says,
// whatever stands behind.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::store {

// What segments of this version hold. A program that knows a version reads the ones before it.
namespace format {
constexpr std::uint32_t records = 1;  // records of the folder's owner, which age
constexpr std::uint32_t tables =
    2;  // rows of tables; in an older segment of the same folder what they were before
constexpr std::uint32_t newest = tables;
}  // namespace format
constexpr std::size_t header_size = 80;
constexpr std::size_t frame_head = 32;
constexpr std::size_t record_head = 16;

// What stands on disk cannot be used as it is. The text names file and offset.
struct damaged : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct segment_header {
  std::uint32_t version = format::records;
  std::uint64_t number = 0;
  std::int64_t created = 0;          // ns, in the time of the store's owner
  std::uint64_t previous = 0;        // number; 0 = none
  std::uint64_t previous_end = 0;    // bytes of it that count
  std::int64_t previous_expiry = 0;  // when all in it has aged
  std::uint64_t salt = 0;            // the same in all segments of a folder
};

struct record {
  std::uint32_t type = 0;
  std::string body;
};

// Room that a record takes, with a frame of its own at worst.
constexpr std::uint64_t padded(std::uint64_t size) {
  return (size + 7) / 8 * 8;
}
constexpr std::uint64_t room_for(std::uint64_t body) {
  return frame_head + record_head + padded(body);
}

std::string encode_header(const segment_header& h);
// Throws damaged, also for a version above `known`; `file` names it in the text.
segment_header decode_header(std::string_view bytes, const std::string& file,
                             std::uint32_t known = format::newest);

// One frame; `offsets` gets where each record stands in it.
std::string encode_frame(std::uint64_t segment, std::uint64_t sequence, std::span<const record> records,
                         std::vector<std::uint64_t>& offsets);

// The body of a record as it stands on disk. Throws damaged.
std::string_view decode_record(std::string_view bytes, std::uint32_t& type, const std::string& where);

struct scan_result {
  std::uint64_t end = 0;  // behind the last whole frame
  std::uint64_t frames = 0;
  std::uint64_t torn = 0;  // bytes behind it that are no whole frame, and not zero
};
// Calls `each` with type, body, and the record's offset and size in the segment. Throws damaged where
// something whole stands behind something that is not, or where `must_end` is given and is not reached.
scan_result scan(
    std::string_view segment, const segment_header& h, std::uint64_t must_end, const std::string& file,
    const std::function<void(std::uint32_t, std::string_view, std::uint64_t, std::uint64_t)>& each);

}  // namespace marblewharf::store
