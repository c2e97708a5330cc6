#include "store/log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "store/log_folder_scan.hpp"

namespace marblewharf::store {

log::log(file_system& fs, log_options options, const ageing& expiry_of, const visitor& each)
    : fs_(fs), options_(std::move(options)) {
  fs_.make_folder(options_.folder);
  lock_ = fs_.lock(options_.folder + "/lock");
  const found_folder found = scan_folder(fs_, options_.folder, expiry_of, each, options_.format,
                                         options_.from ? options_.from() : std::nullopt);
  counts_ = found.counts;
  number_ = found.highest;
  for (const found_segment& s : found.segments) {
    sealed_.emplace(s.number, sealed{s.end, s.expiry});
    options_.salt = s.header.salt;
    // Whatever stands behind the end never counted: cut off, so that its room comes back.
    if (s.size > s.end) fs_.truncate(path_of(s.number), s.end);
  }
  if (found.spare) fs_.remove(options_.folder + "/spare");
  aged_ = found.aged;
  for (const auto& [number, expiry] : aged_) fs_.truncate(aged_path_of(number), 0);
}

log::~log() = default;

recovered_counts log::inspect(file_system& fs, const std::string& folder, const ageing& expiry_of,
                              const visitor& each, std::uint32_t known) {
  const auto held = fs.lock(folder + "/lock");
  return scan_folder(fs, folder, expiry_of, each, known).counts;
}

std::string log::file_name(std::uint64_t segment) {
  return name_of_segment(segment) + std::string(segment_suffix);
}

std::string log::gone_name(std::uint64_t segment) {
  return name_of_segment(segment) + std::string(aged_suffix);
}

std::optional<std::uint64_t> log::number_of(std::string_view name) {
  return number_of_segment(name, segment_suffix);
}

std::string log::path_of(std::uint64_t number) const {
  return options_.folder + "/" + file_name(number);
}

std::string log::aged_path_of(std::uint64_t number) const {
  return options_.folder + "/" + gone_name(number);
}

void log::open(std::int64_t now) {
  if (active_ != nullptr) return;
  if (spare_ == nullptr && !set_spare_aside()) throw io_error(options_.folder + ": no room for a segment");
  activate(now);
  tidy(now);
}

// The one before is whole on disk up to end_; the new header says so.
void log::activate(std::int64_t now) {
  segment_header h;
  h.version = options_.format;
  h.number = number_ + 1;
  h.created = now;
  h.salt = options_.salt;
  if (const auto last = sealed_.find(number_); last != sealed_.end()) {
    h.previous = number_;
    h.previous_end = last->second.end;
    h.previous_expiry = last->second.expiry;
  }
  // Whatever fails on the way, this file is not used again: its number is spent with it.
  std::unique_ptr<file> next = std::move(spare_);
  try {
    next->write_at(0, encode_header(h));
    next->sync();
    fs_.rename(options_.folder + "/spare", path_of(h.number));
    fs_.sync_folder(options_.folder);
  } catch (const io_error&) {
    // Where the rename is done and only its sync failed, the file may or may not be there after a crash. It
    // holds nothing; gone it cannot be taken for the next one, which will have the same number.
    for (const std::string& path : {options_.folder + "/spare", path_of(h.number)}) {
      try {
        fs_.remove(path);
      } catch (const io_error&) {  // it was not there
      }
    }
    throw;
  }
  active_ = std::move(next);
  number_ = h.number;
  end_ = header_size;
  expiry_ = 0;
  // From this header on the folder itself says how late it is.
  for (auto i = aged_.begin(); i != aged_.end();) {
    if (i->second > now) {
      ++i;
      continue;
    }
    try {
      fs_.remove(aged_path_of(i->first));
      i = aged_.erase(i);
    } catch (const io_error&) {  // tried again with the next
      ++i;
    }
  }
}

// All in it has aged. Its name stays, empty, until a later header is as late as that: a start before then
// would not know the hour, and take the segment for one that somebody took away. A rename needs no room on a
// disk that is full.
void log::retire(std::uint64_t number, std::int64_t expiry) {
  fs_.rename(path_of(number), aged_path_of(number));
  aged_.emplace(number, expiry);
  fs_.sync_folder(options_.folder);
  fs_.truncate(aged_path_of(number), 0);
}

void log::drop(std::uint64_t number) {
  const auto first = sealed_.begin();
  if (first == sealed_.end() || first->first != number) return;
  if (!aged_.contains(number)) {
    retire(number, never);
  } else {  // the name went at the last try
    fs_.sync_folder(options_.folder);
    fs_.truncate(aged_path_of(number), 0);
  }
  sealed_.erase(first);
  // Its own name is needed as long as the segment behind it stands; those before it are not any more.
  for (auto i = aged_.begin(); i != aged_.end() && i->first < number;) {
    try {
      fs_.remove(aged_path_of(i->first));
      i = aged_.erase(i);
    } catch (const io_error&) {  // tried again with the next
      ++i;
    }
  }
}

std::uint64_t log::end_of(std::uint64_t segment) const {
  if (active_ != nullptr && segment == number_) return end_;
  const auto found = sealed_.find(segment);
  return found == sealed_.end() ? 0 : found->second.end;
}

std::uint64_t log::next_after(std::uint64_t segment) const {
  const auto next = sealed_.upper_bound(segment);
  if (next != sealed_.end()) return next->first;
  return active_ != nullptr && number_ > segment ? number_ : 0;
}

std::uint64_t log::room_in_all() const {
  const std::uint64_t free = options_.space > used() ? options_.space - used() : 0;
  return room() + free / options_.segment * (options_.segment - header_size - largest_frame());
}

void log::seal(std::int64_t now) {
  if (active_ == nullptr) return;
  sealed_[number_] = {end_, std::max(expiry_, now)};
  active_.reset();
}

std::vector<position> log::append(std::span<const entry> batch, std::int64_t now) {
  std::vector<record> records;
  std::int64_t until = 0;
  for (const entry& e : batch) {
    records.push_back(e.what);
    until = std::max(until, e.expiry);
  }
  std::vector<std::uint64_t> offsets;
  std::string frame = encode_frame(number_, sequence_ + 1, records, offsets);
  if (active_ != nullptr && end_ + frame.size() > options_.segment) {
    const std::uint64_t full = number_;
    seal(now);
    open(now);  // throws: nothing of this frame is anywhere
    try {
      fs_.truncate(path_of(full), sealed_[full].end);  // its unused blocks go back
    } catch (const io_error&) {                        // they go with the segment, then
    }
    frame = encode_frame(number_, sequence_ + 1, records, offsets);
  }
  if (active_ == nullptr) throw io_error(options_.folder + ": no segment is open");
  try {
    active_->write_at(end_, frame);
    active_->sync();
  } catch (const io_error&) {
    seal(now);
    throw;
  }
  ++sequence_;
  std::vector<position> at;
  for (std::size_t i = 0; i < offsets.size(); ++i)
    at.push_back({number_, static_cast<std::uint32_t>(end_ + offsets[i]),
                  static_cast<std::uint32_t>(record_head + padded(records[i].body.size()))});
  end_ += frame.size();
  expiry_ = std::max(expiry_, until);
  return at;
}

std::string log::read(const position& at) const {
  const std::string bytes = fs_.read(path_of(at.segment), at.offset, at.size);
  std::uint32_t type = 0;
  return std::string(
      decode_record(bytes, type, path_of(at.segment) + " at byte " + std::to_string(at.offset)));
}

bool log::set_spare_aside() {
  if (spare_ != nullptr) return true;
  if (used() + options_.segment > options_.space) return false;
  try {
    spare_ = fs_.create(options_.folder + "/spare", options_.segment);
    return true;
  } catch (const io_error&) {
    try {
      fs_.remove(options_.folder + "/spare");
    } catch (const io_error&) {  // there is none
    }
    return false;
  }
}

bool log::tidy(std::int64_t now) {
  for (auto i = sealed_.begin(); i != sealed_.end();) {
    // The last one stays until the next stands: its number and salt are carried on by that.
    if (i->second.expiry > now || (active_ == nullptr && i->first == number_)) {
      ++i;
      continue;
    }
    try {
      retire(i->first, i->second.expiry);
    } catch (const io_error&) {  // tried again, unless it has gone and only its room is still taken
      if (!aged_.contains(i->first)) {
        ++i;
        continue;
      }
    }
    i = sealed_.erase(i);
  }
  const bool spare = set_spare_aside();
  // A segment in which all has aged and that is half full makes room for the next: else the last one would
  // stay full for ever where there is no space for another.
  if (active_ != nullptr && expiry_ <= now && end_ > options_.segment / 2 && spare) {
    seal(now);
    activate(now);
    set_spare_aside();
  }
  return spare;
}

std::uint64_t log::room() const {
  if (active_ == nullptr) return 0;
  std::uint64_t room = options_.segment - end_;
  if (spare_ != nullptr) room += options_.segment - header_size;
  // What is left at the end of a segment may be smaller than the frame that comes.
  return room > largest_frame() ? room - largest_frame() : 0;
}

std::uint64_t log::used() const {
  std::uint64_t bytes =
      (active_ != nullptr ? options_.segment : 0) + (spare_ != nullptr ? options_.segment : 0);
  for (const auto& [number, s] : sealed_) bytes += s.end;
  return bytes;
}

std::int64_t log::next_ageing() const {
  std::int64_t next = active_ != nullptr && end_ > header_size ? expiry_ : 0;
  for (const auto& [number, s] : sealed_) next = next == 0 ? s.expiry : std::min(next, s.expiry);
  return next;
}

}  // namespace marblewharf::store
