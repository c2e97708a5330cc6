#include "store/scrub.hpp"

#include <algorithm>
#include <vector>

#include "store/log.hpp"
#include "store/segment.hpp"

namespace marblewharf::store {

scrubber::step_result scrubber::step() {
  step_result r;
  std::vector<std::uint64_t> numbers;
  const std::vector<std::string> names = fs_->list(folder_);
  for (const std::string& name : names)
    if (const auto n = log::number_of(name)) numbers.push_back(*n);
  std::sort(numbers.begin(), numbers.end());
  const auto next = std::upper_bound(numbers.begin(), numbers.end(), last_);
  // The last one is being written to.
  if (next == numbers.end() || std::next(next) == numbers.end()) {
    last_ = 0;
    return r;
  }
  last_ = *next;
  r.more = std::next(next, 2) != numbers.end();
  if (!r.more) last_ = 0;
  const std::uint64_t number = *next, behind = *std::next(next);
  const std::string path = folder_ + "/" + log::file_name(number);
  const std::string path_behind = folder_ + "/" + log::file_name(behind);
  try {
    // The header behind says how much counts. It is read first: there, the segment is closed.
    const segment_header h_behind = decode_header(fs_->read(path_behind, 0, header_size), path_behind);
    const std::string bytes = fs_->read(path, 0, fs_->size_of(path));
    r.read = bytes.size() + header_size;
    const segment_header h = decode_header(bytes, path);
    if (h.number != number) throw damaged(path + " at byte 0: this is segment " + std::to_string(h.number));
    scan(bytes, h, h_behind.previous == number ? h_behind.previous_end : 0, path,
         [](std::uint32_t, std::string_view, std::uint64_t, std::uint64_t) {});
  } catch (const damaged& e) {
    r.fault = e.what();
  } catch (const io_error& e) {
    // Guards against taking one that aged while it was read for one that cannot be read.
    for (const std::string& name : fs_->list(folder_))
      if (name == log::file_name(number)) r.fault = e.what();
  }
  return r;
}

}  // namespace marblewharf::store
