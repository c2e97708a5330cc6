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

std::string at_offset(const std::string& file, std::uint64_t offset) {
  return file + " at byte " + std::to_string(offset);
}

// The size of the whole frame at the front of these bytes; 0 = there is none.
std::uint64_t whole_frame(std::string_view bytes, std::uint64_t segment) {
  if (bytes.size() < frame_head || get<std::uint32_t>(bytes, 0) != frame_magic) return 0;
  const auto length = get<std::uint32_t>(bytes, 4);
  if (length % 8 != 0 || length > bytes.size() - frame_head) return 0;
  const auto sequence = get<std::uint64_t>(bytes, 8);
  const std::string_view counted = bytes.substr(frame_head, length);
  if (get<std::uint64_t>(bytes, 16) != checksum(counted, segment ^ sequence ^ length)) return 0;
  return frame_head + length;
}

}  // namespace

std::string encode_header(const segment_header& h) {
  std::string out(segment_magic);
  put(out, h.version);
  put(out, std::uint32_t{0});
  put(out, h.number);
  put(out, h.created);
  put(out, h.previous);
  put(out, h.previous_end);
  put(out, h.previous_expiry);
  put(out, h.salt);
  put(out, checksum(out, 0));
  out.resize(header_size, '\0');
  return out;
}

segment_header decode_header(std::string_view bytes, const std::string& file, std::uint32_t known) {
  constexpr std::size_t sum_at = 64;
  if (bytes.size() < header_size || !bytes.starts_with(segment_magic))
    throw damaged(file + " at byte 0: no segment of results");
  segment_header h;
  h.version = get<std::uint32_t>(bytes, 8);
  if (h.version == 0 || h.version > known)
    throw damaged(file + ": format version " + std::to_string(h.version) + ", this program knows " +
                  std::to_string(known) + " here");
  if (get<std::uint64_t>(bytes, sum_at) != checksum(bytes.substr(0, sum_at), 0))
    throw damaged(file + " at byte 0: a damaged header");
  h.number = get<std::uint64_t>(bytes, 16);
  h.created = get<std::int64_t>(bytes, 24);
  h.previous = get<std::uint64_t>(bytes, 32);
  h.previous_end = get<std::uint64_t>(bytes, 40);
  h.previous_expiry = get<std::int64_t>(bytes, 48);
  h.salt = get<std::uint64_t>(bytes, 56);
  return h;
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

std::string_view decode_record(std::string_view bytes, std::uint32_t& type, const std::string& where) {
  if (bytes.size() < record_head) throw damaged(where + ": a record that is cut short");
  const auto length = get<std::uint32_t>(bytes, 0);
  type = get<std::uint32_t>(bytes, 4);
  if (length > bytes.size() - record_head) throw damaged(where + ": a record that is cut short");
  const std::string_view body = bytes.substr(record_head, length);
  if (get<std::uint64_t>(bytes, 8) != checksum(body, type)) throw damaged(where + ": a damaged record");
  return body;
}

scan_result scan(
    std::string_view segment, const segment_header& h, std::uint64_t must_end, const std::string& file,
    const std::function<void(std::uint32_t, std::string_view, std::uint64_t, std::uint64_t)>& each) {
  scan_result found;
  found.end = std::min<std::uint64_t>(header_size, segment.size());
  if (must_end > 0 && must_end < segment.size()) segment = segment.substr(0, must_end);
  while (const std::uint64_t size = whole_frame(segment.substr(found.end), h.number)) {
    std::uint64_t at = found.end + frame_head;
    const std::uint64_t frame_end = found.end + size;
    while (at < frame_end) {
      std::uint32_t type = 0;
      const std::string_view body =
          decode_record(segment.substr(at, frame_end - at), type, at_offset(file, at));
      const std::uint64_t whole = record_head + padded(body.size());
      each(type, body, at, whole);
      at += whole;
    }
    found.end = frame_end;
    ++found.frames;
  }
  if (must_end > 0 && found.end < must_end)
    throw damaged(at_offset(file, found.end) + ": damaged, whole up to " + std::to_string(found.end) +
                  " of " + std::to_string(must_end) + " bytes");
  // Guards against taking damage in the middle for a torn tail: nothing whole ever stands behind a torn
  // frame.
  for (std::uint64_t at = found.end; at + frame_head <= segment.size(); at += 8) {
    if (get<std::uint32_t>(segment, at) == frame_magic && at > found.end &&
        whole_frame(segment.substr(at), h.number) > 0)
      throw damaged(at_offset(file, found.end) + ": damaged, and whole again at byte " + std::to_string(at));
  }
  const std::string_view rest = segment.substr(found.end);
  const std::size_t last = rest.find_last_not_of('\0');
  found.torn = last == std::string_view::npos ? 0 : last + 1;
  return found;
}

}  // namespace marblewharf::store
