#include "store/shared_log_format.hpp"

#include <xxhash.h>

#include "store/bytes.hpp"

namespace marblewharf::store::shared_format {
namespace {

constexpr std::string_view magic = "mwshare1";

// Offsets in a segment header.
constexpr std::size_t number_at = 8;
constexpr std::size_t salt_at = 16;

// Offsets in a record.
constexpr std::size_t size_at = 0;
constexpr std::size_t checksum_at = 4;
constexpr std::size_t writer_at = 8;
constexpr std::size_t expiry_at = 16;

// Covers all of a record but the checksum itself.
std::uint32_t checksum_of(std::uint32_t body_size, std::string_view from_writer) {
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(from_writer.data(), from_writer.size(), body_size));
}

}  // namespace

std::string encode_header(const shared_segment_header& header) {
  std::string out(magic);
  put(out, header.number);
  put(out, header.salt);
  return out;
}

std::optional<shared_segment_header> decode_header(std::string_view bytes) {
  if (bytes.size() < header_bytes || !bytes.starts_with(magic)) return std::nullopt;
  return shared_segment_header{get<std::uint64_t>(bytes, number_at), get<std::uint64_t>(bytes, salt_at)};
}

void append_record(std::string& out, log_member writer, std::int64_t expiry, std::string_view body) {
  std::string checked;
  put(checked, writer);
  put(checked, expiry);
  checked += body;
  const auto body_size = static_cast<std::uint32_t>(body.size());
  put(out, body_size);
  put(out, checksum_of(body_size, checked));
  out += checked;
}

decoded_records decode_records(std::string_view bytes, std::uint64_t segment, std::uint64_t offset) {
  decoded_records decoded;
  while (bytes.size() - decoded.valid_bytes >= record_overhead_bytes) {
    const std::string_view rest = bytes.substr(decoded.valid_bytes);
    const auto body_size = get<std::uint32_t>(rest, size_at);
    if (body_size > max_body_bytes || body_size > rest.size() - record_overhead_bytes) break;
    const std::string_view checked = rest.substr(writer_at, record_overhead_bytes - writer_at + body_size);
    if (get<std::uint32_t>(rest, checksum_at) != checksum_of(body_size, checked)) break;
    const shared_position body_at{segment, offset + decoded.valid_bytes + record_overhead_bytes, body_size};
    decoded.records.push_back({get<log_member>(rest, writer_at), get<std::int64_t>(rest, expiry_at), body_at,
                               std::string(rest.substr(record_overhead_bytes, body_size))});
    decoded.valid_bytes += record_overhead_bytes + body_size;
  }
  return decoded;
}

}  // namespace marblewharf::store::shared_format
