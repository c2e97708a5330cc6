#include "store/segment.hpp"

#include <xxhash.h>

#include <algorithm>

#include "store/bytes.hpp"

namespace marblewharf::store {
namespace {

constexpr std::string_view segment_magic = "MWKEPT\r\n";
constexpr std::uint32_t frame_magic = 0x3146574d;  // "MWF1"

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string location_text(const std::string& file, std::uint64_t offset) {
  return file + " at byte " + std::to_string(offset);
}

// The size of the intact frame at the start of these bytes; 0 = there is none.
std::uint64_t intact_frame_size(std::string_view bytes, std::uint64_t segment) {
  if (bytes.size() < frame_head || get<std::uint32_t>(bytes, 0) != frame_magic) return 0;
  const auto length = get<std::uint32_t>(bytes, 4);
  if (length % 8 != 0 || length > bytes.size() - frame_head) return 0;
  const auto sequence = get<std::uint64_t>(bytes, 8);
  const std::string_view payload = bytes.substr(frame_head, length);
  if (get<std::uint64_t>(bytes, 16) != checksum(payload, segment ^ sequence ^ length)) return 0;
  return frame_head + length;
}

}  // namespace

std::string encode_header(const segment_header& header) {
  std::string out(segment_magic);
  put(out, header.version);
  put(out, std::uint32_t{0});
  put(out, header.number);
  put(out, header.created);
  put(out, header.previous);
  put(out, header.previous_end);
  put(out, header.previous_expiry);
  put(out, header.salt);
  put(out, checksum(out, 0));
  out.resize(header_size, '\0');
  return out;
}

segment_header decode_header(std::string_view bytes, const std::string& file, std::uint32_t newest_format) {
  constexpr std::size_t checksum_offset = 64;
  if (bytes.size() < header_size || !bytes.starts_with(segment_magic))
    throw damaged(file + " at byte 0: not a segment: too short or wrong magic value");
  segment_header header;
  header.version = get<std::uint32_t>(bytes, 8);
  if (header.version == 0 || header.version > newest_format)
    throw damaged(file + ": format version " + std::to_string(header.version) +
                  ", but this reader accepts versions up to " + std::to_string(newest_format) + " only");
  if (get<std::uint64_t>(bytes, checksum_offset) != checksum(bytes.substr(0, checksum_offset), 0))
    throw damaged(file + " at byte 0: damaged header, its checksum does not match");
  header.number = get<std::uint64_t>(bytes, 16);
  header.created = get<std::int64_t>(bytes, 24);
  header.previous = get<std::uint64_t>(bytes, 32);
  header.previous_end = get<std::uint64_t>(bytes, 40);
  header.previous_expiry = get<std::int64_t>(bytes, 48);
  header.salt = get<std::uint64_t>(bytes, 56);
  return header;
}

std::string encode_frame(std::uint64_t segment, std::uint64_t sequence, std::span<const record> records,
                         std::vector<std::uint64_t>& offsets) {
  std::string payload;
  offsets.clear();
  for (const record& r : records) {
    offsets.push_back(frame_head + payload.size());
    put(payload, static_cast<std::uint32_t>(r.body.size()));
    put(payload, r.type);
    put(payload, checksum(r.body, r.type));
    payload += r.body;
    payload.resize(padded(payload.size()), '\0');
  }
  std::string out;
  out.reserve(frame_head + payload.size());
  put(out, frame_magic);
  put(out, static_cast<std::uint32_t>(payload.size()));
  put(out, sequence);
  put(out, checksum(payload, segment ^ sequence ^ payload.size()));
  put(out, static_cast<std::uint64_t>(records.size()));
  return out += payload;
}

std::string_view decode_record(std::string_view bytes, std::uint32_t& type, const std::string& location) {
  if (bytes.size() < record_header_size) throw damaged(location + ": truncated record");
  const auto length = get<std::uint32_t>(bytes, 0);
  type = get<std::uint32_t>(bytes, 4);
  if (length > bytes.size() - record_header_size) throw damaged(location + ": truncated record");
  const std::string_view body = bytes.substr(record_header_size, length);
  if (get<std::uint64_t>(bytes, 8) != checksum(body, type))
    throw damaged(location + ": damaged record, its checksum does not match");
  return body;
}

scan_result scan(
    std::string_view segment, const segment_header& header, std::uint64_t required_end,
    const std::string& file,
    const std::function<void(std::uint32_t, std::string_view, std::uint64_t, std::uint64_t)>& visit) {
  scan_result result;
  result.end = std::min<std::uint64_t>(header_size, segment.size());
  if (required_end > 0 && required_end < segment.size()) segment = segment.substr(0, required_end);
  while (const std::uint64_t size = intact_frame_size(segment.substr(result.end), header.number)) {
    std::uint64_t offset = result.end + frame_head;
    const std::uint64_t frame_end = result.end + size;
    while (offset < frame_end) {
      std::uint32_t type = 0;
      const std::string_view body =
          decode_record(segment.substr(offset, frame_end - offset), type, location_text(file, offset));
      const std::uint64_t size_on_disk = record_header_size + padded(body.size());
      visit(type, body, offset, size_on_disk);
      offset += size_on_disk;
    }
    result.end = frame_end;
    ++result.frames;
  }
  if (required_end > 0 && result.end < required_end)
    throw damaged(location_text(file, result.end) + ": damaged, intact up to byte " +
                  std::to_string(result.end) + " of " + std::to_string(required_end) + " bytes");
  // Distinguishes damage in the middle from a torn tail: no intact frame ever follows a torn one.
  for (std::uint64_t offset = result.end; offset + frame_head <= segment.size(); offset += 8) {
    if (get<std::uint32_t>(segment, offset) == frame_magic && offset > result.end &&
        intact_frame_size(segment.substr(offset), header.number) > 0)
      throw damaged(location_text(file, result.end) + ": damaged, but an intact frame follows at byte " +
                    std::to_string(offset));
  }
  const std::string_view tail = segment.substr(result.end);
  const std::size_t last = tail.find_last_not_of('\0');
  result.torn_bytes = last == std::string_view::npos ? 0 : last + 1;
  return result;
}

}  // namespace marblewharf::store
