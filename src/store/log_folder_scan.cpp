#include "store/log_folder_scan.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace marblewharf::store {
namespace {

constexpr std::size_t number_digits = 16;

std::string path_of(const std::string& folder, std::uint64_t number) {
  return folder + "/" + name_of_segment(number) + std::string(segment_suffix);
}

// The segment numbers in the file names of a folder, in ascending order.
struct listed_segments {
  std::vector<std::uint64_t> numbers;
  std::vector<std::uint64_t> set_aside;
};

// Lists the folder. Also stores in `found` whether there is a spare, the marker files, and the highest
// number.
listed_segments list_segments(file_system& fs, const std::string& folder, found_folder& found) {
  listed_segments listed;
  for (const std::string& name : fs.list(folder)) {
    if (const auto number = number_of_segment(name, segment_suffix)) listed.numbers.push_back(*number);
    if (const auto number = number_of_segment(name, aside_suffix)) listed.set_aside.push_back(*number);
    if (const auto number = number_of_segment(name, marker_suffix)) found.retired[*number] = 0;
    found.spare = found.spare || name == "spare";
  }
  std::sort(listed.numbers.begin(), listed.numbers.end());
  std::sort(listed.set_aside.begin(), listed.set_aside.end());
  if (!listed.numbers.empty()) found.highest = listed.numbers.back();
  if (!listed.set_aside.empty()) found.highest = std::max(found.highest, listed.set_aside.back());
  if (!found.retired.empty()) found.highest = std::max(found.highest, found.retired.rbegin()->first);
  return listed;
}

std::map<std::uint64_t, segment_header> read_headers(file_system& fs, const std::string& folder,
                                                     const std::vector<std::uint64_t>& numbers,
                                                     std::uint32_t newest_format, found_folder& found) {
  std::map<std::uint64_t, segment_header> headers;
  for (const std::uint64_t number : numbers) {
    const std::string path = path_of(folder, number);
    const segment_header header = decode_header(fs.read(path, 0, header_size), path, newest_format);
    if (header.number != number)
      throw damaged(path + " at byte 0: the header has the segment number " + std::to_string(header.number));
    if (!headers.empty() && headers.begin()->second.salt != header.salt)
      throw damaged(path + " at byte 0: the segment belongs to another folder, its salt differs");
    headers.emplace(number, header);
    found.counts.latest_time = std::max(found.counts.latest_time, header.created);
  }
  return headers;
}

// Detects that a segment was removed by someone else while its records had not expired.
void expect_none_missing(const std::string& folder, const std::map<std::uint64_t, segment_header>& headers,
                         const std::vector<std::uint64_t>& set_aside, found_folder& found) {
  for (const auto& [number, header] : headers) {
    if (const auto marker = found.retired.find(header.previous); marker != found.retired.end())
      marker->second = header.previous_expiry;
    if (header.previous == 0 || headers.contains(header.previous) ||
        header.previous_expiry <= found.counts.latest_time)
      continue;
    if (found.retired.contains(header.previous)) continue;
    if (std::find(set_aside.begin(), set_aside.end(), header.previous) == set_aside.end())
      throw damaged(path_of(folder, header.previous) +
                    ": segment is missing, and its records have not expired");
  }
}

}  // namespace

std::string name_of_segment(std::uint64_t number) {
  std::string text(number_digits, '0');
  char hex[number_digits];
  const auto [end, error] = std::to_chars(hex, hex + number_digits, number, 16);
  std::copy(hex, end, text.end() - (end - hex));
  return text;
}

std::optional<std::uint64_t> number_of_segment(std::string_view name, std::string_view ending) {
  if (name.size() != number_digits + ending.size() || !name.ends_with(ending)) return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + number_digits, number, 16);
  if (error != std::errc{} || end != name.data() + number_digits || number == 0) return std::nullopt;
  return number;
}

// Reads all headers first, then the data: the valid length of a segment is in the header of the next one.
found_folder scan_folder(file_system& fs, const std::string& folder, const log::expiry_function& expiry_of,
                         const log::visitor& visit, std::uint32_t newest_format,
                         const std::optional<position>& replay_from) {
  found_folder found;
  const listed_segments listed = list_segments(fs, folder, found);
  const std::map<std::uint64_t, segment_header> headers =
      read_headers(fs, folder, listed.numbers, newest_format, found);
  for (auto i = headers.begin(); i != headers.end(); ++i) {
    const auto next = std::next(i);
    found_segment s;
    s.number = i->first;
    s.header = i->second;
    const bool has_successor = next != headers.end() && next->second.previous == s.number;
    s.size = fs.size_of(path_of(folder, s.number));
    if (replay_from && s.number < replay_from->segment && has_successor) {
      s.end = next->second.previous_end;
      s.expiry = next->second.previous_expiry;
      if (s.size < s.end)
        throw damaged(path_of(folder, s.number) + ": truncated at byte " + std::to_string(s.size));
      ++found.counts.segments;
      found.segments.push_back(s);
      continue;
    }
    const std::string bytes = fs.read(path_of(folder, s.number), 0, s.size);
    const scan_result scanned = scan(
        bytes, s.header, has_successor ? next->second.previous_end : 0, path_of(folder, s.number),
        [&](std::uint32_t type, std::string_view body, std::uint64_t offset, std::uint64_t size) {
          s.expiry = std::max(s.expiry, expiry_of(type, body));
          // The last segment is read even if the checkpoint covers it, to find its end. Its records must not
          // overwrite newer ones.
          if (replay_from && std::pair(s.number, offset) <
                                 std::pair(replay_from->segment, std::uint64_t{replay_from->offset}))
            return;
          ++found.counts.records;
          visit(type, body, {s.number, static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size)});
        });
    s.end = scanned.end;
    found.counts.frames += scanned.frames;
    found.counts.torn_bytes += scanned.torn_bytes;
    ++found.counts.segments;
    found.segments.push_back(s);
  }
  expect_none_missing(folder, headers, listed.set_aside, found);
  return found;
}

}  // namespace marblewharf::store
