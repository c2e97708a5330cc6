#include "store/shared_log.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <utility>

namespace marblewharf::store {
namespace {

constexpr ::mode_t owner_only_file = 0600;
constexpr ::mode_t owner_only_folder = 0700;
constexpr std::string_view segment_suffix = ".shared";
constexpr std::string_view member_suffix = ".member";
constexpr std::uint64_t read_chunk_bytes = std::uint64_t{1} << 20;
static_assert(read_chunk_bytes > shared_format::record_overhead_bytes + shared_format::max_body_bytes,
              "each chunk holds a whole record");

[[noreturn]] void fail(const std::string& path, const char* operation) {
  throw io_error(path + ": " + operation + ": " + std::strerror(errno));
}

// Whether a call that failed may succeed later.
bool lacks_resource(int error) {
  return error == ENOSPC || error == EDQUOT || error == ENOMEM || error == EMFILE || error == ENFILE;
}

bool try_flock(int descriptor, int operation) {
  return ::flock(descriptor, operation | LOCK_NB) == 0;
}

std::optional<::off_t> linked_size(int descriptor) {
  struct ::stat status {};
  if (::fstat(descriptor, &status) != 0 || status.st_nlink == 0) return std::nullopt;
  return status.st_size;
}

// Returns fewer bytes at the end of the file or after an error.
std::string read_at(int descriptor, std::uint64_t offset, std::size_t size) {
  std::string bytes(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t n =
        ::pread(descriptor, bytes.data() + done, size - done, static_cast<::off_t>(offset + done));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    done += static_cast<std::size_t>(n);
  }
  bytes.resize(done);
  return bytes;
}

bool write_at(int descriptor, std::uint64_t offset, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::pwrite(descriptor, bytes.data(), bytes.size(), static_cast<::off_t>(offset));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
    offset += static_cast<std::uint64_t>(n);
  }
  return true;
}

std::vector<std::string> names_in(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code error;
  for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
       entry.increment(error))
    names.push_back(entry->path().filename().string());
  return names;
}

}  // namespace

// Owns a file descriptor.
class shared_log::descriptor {
 public:
  explicit descriptor(int fd) : fd_(fd) {}
  ~descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  // Returns null if the file cannot be opened. Never follows a symbolic link.
  static std::unique_ptr<descriptor> open(const std::string& path, int flags) {
    const int fd = ::open(path.c_str(), flags | O_CLOEXEC | O_NOFOLLOW, owner_only_file);
    return fd < 0 ? nullptr : std::make_unique<descriptor>(fd);
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

shared_log::append_lock::~append_lock() {
  if (descriptor_ >= 0) ::flock(descriptor_, LOCK_UN);
}

// ---- Joining ----------------------------------------------------------------------------------------------

shared_log::shared_log(shared_log_options options, std::int64_t now) : options_(std::move(options)) {
  prepare_folder();
  open_lock();
  if (!try_flock(lock_->get(), LOCK_EX))
    throw folder_locked(options_.folder + ": another process is appending");
  const append_lock lock(lock_->get());
  join_members();
  load_segments(now);
}

shared_log::~shared_log() {
  if (member_) ::unlink(member_path(options_.member).c_str());
}

void shared_log::prepare_folder() const {
  const bool created = ::mkdir(options_.folder.c_str(), owner_only_folder) == 0;
  if (!created && lacks_resource(errno)) fail(options_.folder, "create");
  if (!created && errno != EEXIST)
    throw folder_unusable(options_.folder + ": create: " + std::strerror(errno));
  struct ::stat status {};
  if (::lstat(options_.folder.c_str(), &status) != 0) fail(options_.folder, "read");
  if (!S_ISDIR(status.st_mode) || status.st_uid != ::geteuid())
    throw folder_unusable(options_.folder + ": not a folder of this user");
}

void shared_log::open_lock() {
  const std::string path = options_.folder + "/lock";
  auto opened = descriptor::open(path, O_RDWR | O_CREAT);
  if (!opened) fail(path, "open");
  lock_ = std::move(opened);
}

// A cleaner of temporary files may have removed the lock: processes that lock a removed file and a new one
// would not exclude each other.
bool shared_log::restore_lock() {
  if (linked_size(lock_->get())) return true;
  try {
    prepare_folder();
    open_lock();
  } catch (const io_error&) {
    return false;
  }
  return true;
}

bool shared_log::restore_member() {
  if (linked_size(member_->get())) return true;
  try {
    join_members();
  } catch (const io_error&) {
    return false;
  }
  return true;
}

// Creates and locks the file that shows that this process lives, and removes those of dead processes.
void shared_log::join_members() {
  for (const std::string& name : names_in(options_.folder)) {
    if (!name.ends_with(member_suffix)) continue;
    const std::string path = options_.folder + "/" + name;
    const auto other = descriptor::open(path, O_RDONLY);
    if (other && try_flock(other->get(), LOCK_SH)) ::unlink(path.c_str());
  }
  const std::string path = member_path(options_.member);
  auto created = descriptor::open(path, O_RDWR | O_CREAT | O_EXCL);
  if (!created || !try_flock(created->get(), LOCK_EX)) fail(path, "create");
  member_ = std::move(created);
}

// The newest segment states the salt of the log; segments with another one belong to an earlier log.
void shared_log::load_segments(std::int64_t now) {
  const std::vector<std::uint64_t> numbers = segment_numbers();
  std::optional<std::uint64_t> log_salt;
  for (auto number = numbers.rbegin(); number != numbers.rend() && !log_salt; ++number)
    if (open_segment(*number, std::nullopt) == open_result::opened) log_salt = salt_;
  segments_.clear();
  current_.reset();
  if (!log_salt) {
    salt_ = options_.salt;
    const std::uint64_t first = numbers.empty() ? 1 : numbers.back() + 1;
    if (!create_segment(first)) fail(segment_path(first), "create");
    return;
  }
  for (const std::uint64_t number : numbers) {
    const open_result result = open_segment(number, log_salt);
    const bool failed =
        result == open_result::failed || (result == open_result::opened && !read_current(now));
    if (failed) fail(segment_path(number), "read");
  }
  if (!remove_torn_end()) fail(segment_path(segments_.back().number), "truncate");
}

std::vector<std::uint64_t> shared_log::segment_numbers() const {
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : names_in(options_.folder)) {
    if (!name.ends_with(segment_suffix)) continue;
    std::uint64_t number = 0;
    const char* end = name.data() + name.size() - segment_suffix.size();
    const auto [parsed_to, error] = std::from_chars(name.data(), end, number);
    if (error == std::errc{} && parsed_to == end) numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

std::string shared_log::segment_path(std::uint64_t number) const {
  return options_.folder + "/" + std::to_string(number) + std::string(segment_suffix);
}

std::string shared_log::member_path(log_member member) const {
  char name[2 * sizeof member + 1];
  std::snprintf(name, sizeof name, "%016" PRIx64, member);
  return options_.folder + "/" + name + std::string(member_suffix);
}

// ---- Segments ---------------------------------------------------------------------------------------------

// Makes a segment the current one, if it is one of this log; otherwise changes nothing.
shared_log::open_result shared_log::open_segment(std::uint64_t number,
                                                 const std::optional<std::uint64_t>& required_salt) {
  auto opened = descriptor::open(segment_path(number), O_RDWR);
  if (!opened) {
    if (errno == ENOENT) return open_result::not_found;
    return errno == ELOOP || errno == EISDIR ? open_result::foreign : open_result::failed;
  }
  const auto header = shared_format::decode_header(read_at(opened->get(), 0, shared_format::header_bytes));
  const bool belongs_to_log =
      header && header->number == number && (!required_salt || header->salt == *required_salt);
  if (!belongs_to_log) return open_result::foreign;
  salt_ = header->salt;
  current_ = std::move(opened);
  segments_.push_back({number, shared_format::header_bytes, 0});
  return open_result::opened;
}

// Renames the file once its header is written, so that no reader sees a partial header.
bool shared_log::create_segment(std::uint64_t number) {
  const std::string path = segment_path(number);
  const std::string temporary_path = path + ".new";
  const auto created = descriptor::open(temporary_path, O_RDWR | O_CREAT | O_TRUNC);
  const bool complete = created &&
                        write_at(created->get(), 0, shared_format::encode_header({number, salt_})) &&
                        ::rename(temporary_path.c_str(), path.c_str()) == 0;
  if (!complete) {
    ::unlink(temporary_path.c_str());
    return false;
  }
  return open_segment(number, salt_) == open_result::opened;
}

bool shared_log::current_is_linked() const {
  return current_ && linked_size(current_->get()).has_value();
}

// A process that was suspended for long may find that its current segment was removed: all records in it have
// expired. Continues with the segments that exist now.
void shared_log::skip_removed_segments() {
  const std::uint64_t last_read = segments_.empty() ? 0 : segments_.back().number;
  for (const std::uint64_t number : segment_numbers())
    if (number > last_read && open_segment(number, salt_) == open_result::opened) return;
}

bool shared_log::read_current(std::int64_t now) {
  segment& reading = segments_.back();
  while (true) {
    const std::optional<::off_t> size = linked_size(current_->get());
    if (!size || static_cast<std::uint64_t>(*size) <= reading.bytes) return true;
    const std::uint64_t wanted =
        std::min(static_cast<std::uint64_t>(*size) - reading.bytes, read_chunk_bytes);
    const std::string bytes = read_at(current_->get(), reading.bytes, wanted);
    if (bytes.size() < wanted) return false;
    auto decoded = shared_format::decode_records(bytes, reading.number, reading.bytes);
    if (decoded.valid_bytes == 0) return true;  // torn, or being written at this moment
    reading.bytes += decoded.valid_bytes;
    for (shared_record& each : decoded.records) {
      each.expiry = std::min(each.expiry, now + options_.max_lifetime);
      reading.last_expiry = std::max(reading.last_expiry, each.expiry);
      if (each.writer != options_.member) unread_.push_back(std::move(each));
    }
  }
}

// The next segment is created after the last record of the current one. Once it exists, the current segment
// is final, and is read once more before the reader moves on.
bool shared_log::read_to_end(std::int64_t now) {
  if (!current_is_linked()) skip_removed_segments();
  while (true) {
    if (!read_current(now)) return false;
    const std::uint64_t next = segments_.back().number + 1;
    if (::access(segment_path(next).c_str(), F_OK) != 0) return true;
    if (!read_current(now)) return false;
    const open_result result = open_segment(next, salt_);
    if (result != open_result::opened) return result != open_result::failed;
  }
}

// Requires the lock: without it, the bytes behind the last intact record may be a record that another process
// is writing.
bool shared_log::remove_torn_end() const {
  const std::optional<::off_t> size = linked_size(current_->get());
  if (!size) return false;
  const auto valid = static_cast<::off_t>(segments_.back().bytes);
  return *size <= valid || ::ftruncate(current_->get(), valid) == 0;
}

// ---- Reading and appending --------------------------------------------------------------------------------

std::vector<shared_record> shared_log::read_new(std::int64_t now) {
  read_to_end(now);
  return std::exchange(unread_, {});
}

std::optional<shared_log::append_lock> shared_log::try_lock(std::int64_t now) {
  if (!restore_lock() || !try_flock(lock_->get(), LOCK_EX)) return std::nullopt;
  append_lock lock(lock_->get());
  if (!restore_member() || !read_to_end(now)) return std::nullopt;
  // If all segments were removed by somebody else, the log continues in a new one.
  if (!current_is_linked() && !create_segment(segments_.back().number + 1)) return std::nullopt;
  if (!remove_torn_end()) return std::nullopt;
  return lock;
}

bool shared_log::append(const append_lock& /*lock*/, const std::vector<draft>& drafts) {
  std::string bytes;
  std::int64_t last_expiry = 0;
  for (const draft& each : drafts) {
    shared_format::append_record(bytes, options_.member, each.expiry, each.body);
    last_expiry = std::max(last_expiry, each.expiry);
  }
  if (bytes.size() > free_bytes()) return false;
  const bool segment_is_full = segments_.back().bytes >= options_.segment_bytes;
  if (segment_is_full && !create_segment(segments_.back().number + 1)) return false;
  segment& written = segments_.back();
  if (!write_at(current_->get(), written.bytes, bytes)) {
    remove_torn_end();  // if this fails, the next process with the lock does it
    return false;
  }
  written.bytes += bytes.size();
  written.last_expiry = std::max(written.last_expiry, last_expiry);
  return true;
}

// The current segment stays, because its number is the highest.
bool shared_log::has_expired(std::int64_t now) const {
  return segments_.size() > 1 && segments_.front().last_expiry <= now;
}

void shared_log::remove_expired(const append_lock& /*lock*/, std::int64_t now) {
  while (has_expired(now)) {
    ::unlink(segment_path(segments_.front().number).c_str());
    segments_.erase(segments_.begin());
  }
}

std::optional<std::string> shared_log::read(const shared_position& body_at) const {
  const auto opened = descriptor::open(segment_path(body_at.segment), O_RDONLY);
  if (!opened) return std::nullopt;
  const std::uint64_t record_at = body_at.offset - shared_format::record_overhead_bytes;
  const std::string bytes =
      read_at(opened->get(), record_at, shared_format::record_overhead_bytes + body_at.size);
  auto decoded = shared_format::decode_records(bytes, body_at.segment, record_at);
  if (decoded.records.size() != 1) return std::nullopt;
  return std::move(decoded.records.front().body);
}

bool shared_log::is_alive(log_member member) const {
  if (member == options_.member) return true;
  const auto file = descriptor::open(member_path(member), O_RDONLY);
  if (!file) return errno != ENOENT;
  return !try_flock(file->get(), LOCK_SH);
}

std::uint64_t shared_log::free_bytes() const {
  std::uint64_t used = shared_format::header_bytes;  // of the next segment
  for (const segment& each : segments_) used += each.bytes;
  return options_.max_bytes - std::min(options_.max_bytes, used);
}

}  // namespace marblewharf::store
