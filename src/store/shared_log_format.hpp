// The format of the files of a shared log (store/shared_log.hpp): encodes and decodes segment headers and
// records. No file I/O.
//
// A segment is a header followed by records, each with its length and a checksum. All numbers are
// little-endian. Readers stop at the first record that is not complete and intact.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::store {

// Identifies one process's membership in a shared log. Random.
using log_member = std::uint64_t;

// Where the body of a record lies.
struct shared_position {
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;  // of the body in the file of the segment, bytes
  std::uint32_t size = 0;    // of the body, bytes
};

struct shared_record {
  log_member writer = 0;
  std::int64_t expiry = 0;  // ns; when the record is no longer needed
  shared_position body_at;
  std::string body;
};

struct shared_segment_header {
  std::uint64_t number = 0;
  std::uint64_t salt = 0;  // the same in all segments of a log
};

namespace shared_format {

constexpr std::size_t header_bytes = 24;
constexpr std::size_t record_overhead_bytes = 24;  // of a record beside its body
constexpr std::uint32_t max_body_bytes = std::uint32_t{1} << 16;

std::string encode_header(const shared_segment_header& header);
// Returns nothing unless the bytes begin with a header of this format.
std::optional<shared_segment_header> decode_header(std::string_view bytes);

// Appends the encoding of a record to `out`. `body` has at most `max_body_bytes`.
void append_record(std::string& out, log_member writer, std::int64_t expiry, std::string_view body);

struct decoded_records {
  std::vector<shared_record> records;
  std::size_t valid_bytes = 0;  // bytes that the records take; the bytes behind them are no intact record
};
// Decodes the records at the beginning of `bytes`, which were read from `segment` at `offset`.
decoded_records decode_records(std::string_view bytes, std::uint64_t segment, std::uint64_t offset);

}  // namespace shared_format
}  // namespace marblewharf::store
