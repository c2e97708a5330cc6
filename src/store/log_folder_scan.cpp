#include "store/log_folder_scan.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace marblewharf::store {
namespace {

constexpr std::size_t digits = 16;

std::string path_of(const std::string& folder, std::uint64_t number) {
  return folder + "/" + name_of_segment(number) + std::string(segment_suffix);
}

// The segments that a folder's file names tell, each list in ascending order of numbers.
struct listed_segments {
  std::vector<std::uint64_t> numbers;
  std::vector<std::uint64_t> set_aside;
};

// Lists the folder; also notes in `found` what file names tell: the spare, aged segments, the highest number.
listed_segments list_segments(file_system& fs, const std::string& folder, found_folder& found) {
  listed_segments listed;
  for (const std::string& name : fs.list(folder)) {
    if (const auto n = number_of_segment(name, segment_suffix)) listed.numbers.push_back(*n);
    if (const auto n = number_of_segment(name, aside_suffix)) listed.set_aside.push_back(*n);
    if (const auto n = number_of_segment(name, aged_suffix)) found.aged[*n] = 0;
    found.spare = found.spare || name == "spare";
  }
  std::sort(listed.numbers.begin(), listed.numbers.end());
  std::sort(listed.set_aside.begin(), listed.set_aside.end());
  if (!listed.numbers.empty()) found.highest = listed.numbers.back();
  if (!listed.set_aside.empty()) found.highest = std::max(found.highest, listed.set_aside.back());
  if (!found.aged.empty()) found.highest = std::max(found.highest, found.aged.rbegin()->first);
  return listed;
}

std::map<std::uint64_t, segment_header> read_headers(file_system& fs, const std::string& folder,
                                                     const std::vector<std::uint64_t>& numbers,
                                                     std::uint32_t known, found_folder& found) {
  std::map<std::uint64_t, segment_header> headers;
  for (const std::uint64_t n : numbers) {
    const std::string path = path_of(folder, n);
    const segment_header h = decode_header(fs.read(path, 0, header_size), path, known);
    if (h.number != n) throw damaged(path + " at byte 0: this is segment " + std::to_string(h.number));
    if (!headers.empty() && headers.begin()->second.salt != h.salt)
      throw damaged(path + " at byte 0: a segment of another folder");
    headers.emplace(n, h);
    found.counts.latest = std::max(found.counts.latest, h.created);
  }
  return headers;
}

// Guards against a segment that somebody took away while what is in it still counts.
void expect_none_missing(const std::string& folder, const std::map<std::uint64_t, segment_header>& headers,
                         const std::vector<std::uint64_t>& set_aside, found_folder& found) {
  for (const auto& [n, h] : headers) {
    if (const auto gone = found.aged.find(h.previous); gone != found.aged.end())
      gone->second = h.previous_expiry;
    if (h.previous == 0 || headers.contains(h.previous) || h.previous_expiry <= found.counts.latest) continue;
    if (found.aged.contains(h.previous)) continue;
    if (std::find(set_aside.begin(), set_aside.end(), h.previous) == set_aside.end())
      throw damaged(path_of(folder, h.previous) + ": missing, and what is in it has not aged");
  }
}

}  // namespace

std::string name_of_segment(std::uint64_t number) {
  std::string text(digits, '0');
  char hex[digits];
  const auto [end, error] = std::to_chars(hex, hex + digits, number, 16);
  std::copy(hex, end, text.end() - (end - hex));
  return text;
}

std::optional<std::uint64_t> number_of_segment(std::string_view name, std::string_view ending) {
  if (name.size() != digits + ending.size() || !name.ends_with(ending)) return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + digits, number, 16);
  if (error != std::errc{} || end != name.data() + digits || number == 0) return std::nullopt;
  return number;
}

// Two passes over the headers and one over the data: what counts of a segment is said by the one behind it.
found_folder scan_folder(file_system& fs, const std::string& folder, const log::ageing& expiry_of,
                         const log::visitor& each, std::uint32_t known, const std::optional<position>& from) {
  found_folder found;
  const listed_segments listed = list_segments(fs, folder, found);
  const std::map<std::uint64_t, segment_header> headers =
      read_headers(fs, folder, listed.numbers, known, found);
  for (auto i = headers.begin(); i != headers.end(); ++i) {
    const auto next = std::next(i);
    found_segment s;
    s.number = i->first;
    s.header = i->second;
    const bool counted = next != headers.end() && next->second.previous == s.number;
    s.size = fs.size_of(path_of(folder, s.number));
    if (from && s.number < from->segment && counted) {
      s.end = next->second.previous_end;
      s.expiry = next->second.previous_expiry;
      if (s.size < s.end)
        throw damaged(path_of(folder, s.number) + ": cut off at byte " + std::to_string(s.size));
      ++found.counts.segments;
      found.segments.push_back(s);
      continue;
    }
    const std::string bytes = fs.read(path_of(folder, s.number), 0, s.size);
    const scan_result r = scan(
        bytes, s.header, counted ? next->second.previous_end : 0, path_of(folder, s.number),
        [&](std::uint32_t type, std::string_view body, std::uint64_t offset, std::uint64_t size) {
          s.expiry = std::max(s.expiry, expiry_of(type, body));
          // Also of a segment that was read for its end only: older records must not come over newer ones.
          if (from && std::pair(s.number, offset) < std::pair(from->segment, std::uint64_t{from->offset}))
            return;
          ++found.counts.records;
          each(type, body, {s.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size)});
        });
    s.end = r.end;
    found.counts.frames += r.frames;
    found.counts.torn_bytes += r.torn;
    ++found.counts.segments;
    found.segments.push_back(s);
  }
  expect_none_missing(folder, headers, listed.set_aside, found);
  return found;
}

}  // namespace marblewharf::store
