#include "store/log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "store/log_folder_scan.hpp"

namespace marblewharf::store {

log::log(file_system& fs, log_options options, const expiry_function& expiry_of, const visitor& visit)
    : fs_(fs), options_(std::move(options)) {
  fs_.make_folder(options_.folder);
  lock_ = fs_.lock(options_.folder + "/lock");
  const found_folder folder = scan_folder(fs_, options_.folder, expiry_of, visit, options_.format,
                                          options_.replay_from ? options_.replay_from() : std::nullopt);
  counts_ = folder.counts;
  number_ = folder.highest;
  for (const found_segment& s : folder.segments) {
    sealed_.emplace(s.number, sealed_segment{s.end, s.expiry});
    options_.salt = s.header.salt;
    // Bytes behind the end are not part of the log: they are cut off to free their space.
    if (s.size > s.end) fs_.truncate(path_of(s.number), s.end);
  }
  if (folder.spare) fs_.remove(options_.folder + "/spare");
  retired_ = folder.retired;
  for (const auto& [number, expiry] : retired_) fs_.truncate(marker_path_of(number), 0);
}

log::~log() = default;

recovered_counts log::inspect(file_system& fs, const std::string& folder, const expiry_function& expiry_of,
                              const visitor& visit, std::uint32_t newest_format) {
  const auto lock = fs.lock(folder + "/lock");
  return scan_folder(fs, folder, expiry_of, visit, newest_format).counts;
}

std::string log::file_name(std::uint64_t segment) {
  return name_of_segment(segment) + std::string(segment_suffix);
}

std::string log::marker_name(std::uint64_t segment) {
  return name_of_segment(segment) + std::string(marker_suffix);
}

std::optional<std::uint64_t> log::number_of(std::string_view name) {
  return number_of_segment(name, segment_suffix);
}

std::string log::path_of(std::uint64_t number) const {
  return options_.folder + "/" + file_name(number);
}

std::string log::marker_path_of(std::uint64_t number) const {
  return options_.folder + "/" + marker_name(number);
}

void log::open(std::int64_t now) {
  if (active_ != nullptr) return;
  if (spare_ == nullptr && !preallocate_spare())
    throw io_error(options_.folder + ": no space for a new segment");
  activate(now);
  reclaim(now);
}

// The new header records how many bytes of the previous segment are valid; they are durable by now.
void log::activate(std::int64_t now) {
  segment_header header;
  header.version = options_.format;
  header.number = number_ + 1;
  header.created = now;
  header.salt = options_.salt;
  if (const auto last = sealed_.find(number_); last != sealed_.end()) {
    header.previous = number_;
    header.previous_end = last->second.end;
    header.previous_expiry = last->second.expiry;
  }
  // If a step fails, this file is deleted and not used again.
  std::unique_ptr<file> next = std::move(spare_);
  try {
    next->write_at(0, encode_header(header));
    next->sync();
    fs_.rename(options_.folder + "/spare", path_of(header.number));
    fs_.sync_folder(options_.folder);
  } catch (const io_error&) {
    // If only the folder's sync failed, the rename may or may not survive a crash. The file has no records.
    // It is deleted, as otherwise it could be mistaken for the next segment, which will have the same number.
    for (const std::string& path : {options_.folder + "/spare", path_of(header.number)}) {
      try {
        fs_.remove(path);
      } catch (const io_error&) {  // the file does not exist under this name
      }
    }
    throw;
  }
  active_ = std::move(next);
  number_ = header.number;
  end_ = header_size;
  expiry_ = 0;
  // The new header records the time, so recovery knows that segments whose expiry has passed have expired.
  for (auto i = retired_.begin(); i != retired_.end();) {
    if (i->second > now) {
      ++i;
      continue;
    }
    try {
      fs_.remove(marker_path_of(i->first));
      i = retired_.erase(i);
    } catch (const io_error&) {  // tried again with the next header
      ++i;
    }
  }
}

// Deletes a segment, but leaves an empty marker file until a header is created after `expiry`. Without the
// marker, a recovery before then could not know that the records have expired and would report the segment as
// missing. The marker is made by a rename, which needs no space on a full disk.
void log::retire(std::uint64_t number, std::int64_t expiry) {
  fs_.rename(path_of(number), marker_path_of(number));
  retired_.emplace(number, expiry);
  fs_.sync_folder(options_.folder);
  fs_.truncate(marker_path_of(number), 0);
}

void log::drop(std::uint64_t number) {
  const auto first = sealed_.begin();
  if (first == sealed_.end() || first->first != number) return;
  if (!retired_.contains(number)) {
    retire(number, no_expiry);
  } else {  // renamed by an earlier call that failed
    fs_.sync_folder(options_.folder);
    fs_.truncate(marker_path_of(number), 0);
  }
  sealed_.erase(first);
  // The marker of this segment is needed while its successor exists; earlier markers are obsolete.
  for (auto i = retired_.begin(); i != retired_.end() && i->first < number;) {
    try {
      fs_.remove(marker_path_of(i->first));
      i = retired_.erase(i);
    } catch (const io_error&) {  // tried again at the next drop
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

std::uint64_t log::total_free_bytes() const {
  const std::uint64_t free = options_.space_bytes > used_bytes() ? options_.space_bytes - used_bytes() : 0;
  return reserved_free_bytes() +
         free / options_.segment_bytes * (options_.segment_bytes - header_size - max_frame_bytes());
}

void log::seal(std::int64_t now) {
  if (active_ == nullptr) return;
  sealed_[number_] = {end_, std::max(expiry_, now)};
  active_.reset();
}

std::vector<position> log::append(std::span<const entry> batch, std::int64_t now) {
  std::vector<record> records;
  std::int64_t batch_expiry = 0;
  for (const entry& e : batch) {
    records.push_back(e.content);
    batch_expiry = std::max(batch_expiry, e.expiry);
  }
  std::vector<std::uint64_t> offsets;
  std::string frame = encode_frame(number_, sequence_ + 1, records, offsets);
  if (active_ != nullptr && end_ + frame.size() > options_.segment_bytes) {
    const std::uint64_t full = number_;
    seal(now);
    open(now);  // if it throws, nothing of this frame was written
    try {
      fs_.truncate(path_of(full), sealed_[full].end);  // frees its unused blocks
    } catch (const io_error&) {                        // the blocks are freed with the segment
    }
    frame = encode_frame(number_, sequence_ + 1, records, offsets);
  }
  if (active_ == nullptr) throw io_error(options_.folder + ": cannot append, no segment is open");
  try {
    active_->write_at(end_, frame);
    active_->sync();
  } catch (const io_error&) {
    seal(now);
    throw;
  }
  ++sequence_;
  std::vector<position> positions;
  for (std::size_t i = 0; i < offsets.size(); ++i)
    positions.push_back({number_, static_cast<std::uint32_t>(end_ + offsets[i]),
                         static_cast<std::uint32_t>(record_header_size + padded(records[i].body.size()))});
  end_ += frame.size();
  expiry_ = std::max(expiry_, batch_expiry);
  return positions;
}

std::string log::read(const position& location) const {
  const std::string bytes = fs_.read(path_of(location.segment), location.offset, location.size);
  std::uint32_t type = 0;
  return std::string(
      decode_record(bytes, type, path_of(location.segment) + " at byte " + std::to_string(location.offset)));
}

bool log::preallocate_spare() {
  if (spare_ != nullptr) return true;
  if (used_bytes() + options_.segment_bytes > options_.space_bytes) return false;
  try {
    spare_ = fs_.create(options_.folder + "/spare", options_.segment_bytes);
    return true;
  } catch (const io_error&) {
    try {
      fs_.remove(options_.folder + "/spare");
    } catch (const io_error&) {  // the file was not created
    }
    return false;
  }
}

bool log::reclaim(std::int64_t now) {
  for (auto i = sealed_.begin(); i != sealed_.end();) {
    // The last segment stays until there is a next one, which continues its number and salt.
    if (i->second.expiry > now || (active_ == nullptr && i->first == number_)) {
      ++i;
      continue;
    }
    try {
      retire(i->first, i->second.expiry);
    } catch (const io_error&) {  // tried again, unless the rename succeeded and only the rest failed
      if (!retired_.contains(i->first)) {
        ++i;
        continue;
      }
    }
    i = sealed_.erase(i);
  }
  const bool spare = preallocate_spare();
  // Replaces the active segment if all its records have expired and it is over half full. Otherwise it would
  // stay full forever when there is no space for another one.
  if (active_ != nullptr && expiry_ <= now && end_ > options_.segment_bytes / 2 && spare) {
    seal(now);
    activate(now);
    preallocate_spare();
  }
  return spare;
}

std::uint64_t log::reserved_free_bytes() const {
  if (active_ == nullptr) return 0;
  std::uint64_t free_bytes = options_.segment_bytes - end_;
  if (spare_ != nullptr) free_bytes += options_.segment_bytes - header_size;
  // The rest of a segment may be too small for the next frame and stay unused.
  return free_bytes > max_frame_bytes() ? free_bytes - max_frame_bytes() : 0;
}

std::uint64_t log::used_bytes() const {
  std::uint64_t bytes =
      (active_ != nullptr ? options_.segment_bytes : 0) + (spare_ != nullptr ? options_.segment_bytes : 0);
  for (const auto& [number, s] : sealed_) bytes += s.end;
  return bytes;
}

std::int64_t log::next_expiry() const {
  std::int64_t next = active_ != nullptr && end_ > header_size ? expiry_ : 0;
  for (const auto& [number, s] : sealed_) next = next == 0 ? s.expiry : std::min(next, s.expiry);
  return next;
}

}  // namespace marblewharf::store
