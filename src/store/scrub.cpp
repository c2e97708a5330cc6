#include "store/scrub.hpp"

#include <algorithm>
#include <vector>

#include "store/log.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

scrubber::step_result scrubber::step() {
  step_result result;
  std::vector<std::uint64_t> numbers;
  const std::vector<std::string> names = fs_->list(folder_);
  for (const std::string& name : names)
    if (const auto n = log::number_of(name)) numbers.push_back(*n);
  std::sort(numbers.begin(), numbers.end());
  const auto next = std::upper_bound(numbers.begin(), numbers.end(), last_);
  // The last segment is still being written.
  if (next == numbers.end() || std::next(next) == numbers.end()) {
    last_ = 0;
    return result;
  }
  last_ = *next;
  result.has_more = std::next(next, 2) != numbers.end();
  if (!result.has_more) last_ = 0;
  const std::uint64_t number = *next, successor = *std::next(next);
  const std::string path = folder_ + "/" + log::file_name(number);
  const std::string successor_path = folder_ + "/" + log::file_name(successor);
  try {
    // The next header states the valid length of the segment. It is read first: its existence proves that the
    // segment is closed.
    const segment_header successor_header =
        decode_header(fs_->read(successor_path, 0, header_size), successor_path);
    const std::string bytes = fs_->read(path, 0, fs_->size_of(path));
    result.read = bytes.size() + header_size;
    const segment_header header = decode_header(bytes, path);
    if (header.number != number)
      throw damaged(path + " at byte 0: the header has the segment number " + std::to_string(header.number));
    scan(bytes, header, successor_header.previous == number ? successor_header.previous_end : 0, path,
         [](std::uint32_t, std::string_view, std::uint64_t, std::uint64_t) {});
  } catch (const damaged& e) {
    result.fault = e.what();
  } catch (const io_error& e) {
    // A segment that expired and was deleted while it was read is not a fault.
    for (const std::string& name : fs_->list(folder_))
      if (name == log::file_name(number)) result.fault = e.what();
  }
  return result;
}

}  // namespace marblewharf::store
