// The on-disk format of a segment: encodes and decodes records. No file I/O.
//
// A segment is a header followed by frames. A frame holds the records of one commit: a frame header with
// length and checksum, then the records, each with length and checksum. All numbers are little-endian, and
// all parts begin at multiples of 8 bytes. A frame is written only after the previous one is durable, so no
// intact frame ever follows a torn one. The header of the next segment states how many bytes of a segment are
// valid; bytes behind them are ignored.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::store {

// Format versions of a segment. A program that reads one version also reads the earlier ones.
namespace format {
constexpr std::uint32_t records = 1;  // records that expire, with a type of the folder's owner
constexpr std::uint32_t tables =
    2;  // rows of tables; segments of version 1 in the same folder keep their records
constexpr std::uint32_t newest = tables;
}  // namespace format
constexpr std::size_t header_size = 80;         // bytes
constexpr std::size_t frame_head = 32;          // bytes of a frame's header
constexpr std::size_t record_header_size = 16;  // bytes of a record's header

// Data on disk is not as it was written. The text names file and offset.
struct damaged : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct segment_header {
  std::uint32_t version = format::records;
  std::uint64_t number = 0;
  std::int64_t created = 0;          // ns, on the clock of the store's owner
  std::uint64_t previous = 0;        // number of the previous segment; 0 = none
  std::uint64_t previous_end = 0;    // valid bytes of the previous segment
  std::int64_t previous_expiry = 0;  // when all records of the previous segment have expired
  std::uint64_t salt = 0;            // the same in all segments of a folder
};

struct record {
  std::uint32_t type = 0;
  std::string body;
};

constexpr std::uint64_t padded(std::uint64_t size) {
  return (size + 7) / 8 * 8;
}
// The bytes that a record with a body of `body` bytes takes on disk if it has a frame of its own. A record
// never takes more.
constexpr std::uint64_t max_bytes_on_disk(std::uint64_t body) {
  return frame_head + record_header_size + padded(body);
}

std::string encode_header(const segment_header& header);
// Throws damaged, also for a version above `newest_format`. `file` is the name in the error text.
segment_header decode_header(std::string_view bytes, const std::string& file,
                             std::uint32_t newest_format = format::newest);

// Encodes one frame; `offsets` receives the offset of each record in the frame.
std::string encode_frame(std::uint64_t segment, std::uint64_t sequence, std::span<const record> records,
                         std::vector<std::uint64_t>& offsets);

// Returns the body of a record that was read from disk. Throws damaged.
std::string_view decode_record(std::string_view bytes, std::uint32_t& type, const std::string& location);

struct scan_result {
  std::uint64_t end = 0;  // offset behind the last intact frame
  std::uint64_t frames = 0;
  std::uint64_t torn_bytes = 0;  // bytes behind `end` up to the last one that is not zero
};
// Calls `visit` with type and body of each record, and its offset and size in the segment. Throws damaged if
// an intact frame follows a damaged one, or if the intact frames end before `required_end` (0 = no such
// bound).
scan_result scan(
    std::string_view segment, const segment_header& header, std::uint64_t required_end,
    const std::string& file,
    const std::function<void(std::uint32_t, std::string_view, std::uint64_t, std::uint64_t)>& visit);

}  // namespace marblewharf::store
