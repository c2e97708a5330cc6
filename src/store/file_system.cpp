#include "store/file_system.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace marblewharf::store {
namespace {

constexpr ::mode_t owner_only = 0600;

[[noreturn]] void fail(const std::string& path, const char* operation, int code) {
  throw io_error(path + ": " + operation + ": " + std::strerror(code));
}

class descriptor {
 public:
  descriptor(const std::string& path, int flags) : fd_(::open(path.c_str(), flags | O_CLOEXEC, owner_only)) {
    if (fd_ < 0) fail(path, "open", errno);
  }
  ~descriptor() { ::close(fd_); }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

class posix_file : public file {
 public:
  posix_file(const std::string& path, int flags) : path_(path), fd_(path, flags) {}
  void allocate(std::uint64_t size) {
    if (const int code = ::posix_fallocate(fd_.get(), 0, static_cast<off_t>(size)); code != 0)
      fail(path_, "allocate", code);
  }
  void write_at(std::uint64_t offset, std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t n = ::pwrite(fd_.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) fail(path_, "write", n < 0 ? errno : ENOSPC);
      bytes.remove_prefix(static_cast<std::size_t>(n));
      offset += static_cast<std::uint64_t>(n);
    }
  }
  void sync() override {
    if (::fdatasync(fd_.get()) != 0) fail(path_, "sync", errno);
  }
  void truncate(std::uint64_t size) override {
    if (::ftruncate(fd_.get(), static_cast<off_t>(size)) != 0) fail(path_, "truncate", errno);
  }

 private:
  std::string path_;
  descriptor fd_;
};

}  // namespace

std::unique_ptr<file> posix_file_system::create(const std::string& path, std::uint64_t size) {
  auto f = std::make_unique<posix_file>(path, O_CREAT | O_EXCL | O_WRONLY);
  try {
    f->allocate(size);
  } catch (const io_error&) {
    ::unlink(path.c_str());
    throw;
  }
  return f;
}

std::string posix_file_system::read(const std::string& path, std::uint64_t offset, std::uint64_t size) {
  const descriptor fd(path, O_RDONLY);
  std::string bytes(size, '\0');
  std::size_t got = 0;
  while (got < bytes.size()) {
    const ssize_t n =
        ::pread(fd.get(), bytes.data() + got, bytes.size() - got, static_cast<off_t>(offset + got));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) fail(path, "read", errno);
    if (n == 0) break;
    got += static_cast<std::size_t>(n);
  }
  bytes.resize(got);
  return bytes;
}

std::uint64_t posix_file_system::size_of(const std::string& path) {
  struct ::stat s {};
  if (::stat(path.c_str(), &s) != 0) fail(path, "stat", errno);
  return static_cast<std::uint64_t>(s.st_size);
}

std::vector<std::string> posix_file_system::list(const std::string& folder) {
  std::error_code code;
  std::vector<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(folder, code))
    names.push_back(entry.path().filename().string());
  if (code) fail(folder, "list", code.value());
  return names;
}

void posix_file_system::rename(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) fail(from, "rename", errno);
}

void posix_file_system::remove(const std::string& path) {
  if (::unlink(path.c_str()) != 0) fail(path, "remove", errno);
}

void posix_file_system::truncate(const std::string& path, std::uint64_t size) {
  posix_file f(path, O_WRONLY);
  f.truncate(size);
  f.sync();
}

void posix_file_system::make_folder(const std::string& path) {
  std::error_code code;
  std::filesystem::create_directories(path, code);
  if (code) fail(path, "create", code.value());
}

void posix_file_system::sync_folder(const std::string& path) {
  const descriptor fd(path, O_RDONLY | O_DIRECTORY);
  if (::fsync(fd.get()) != 0) fail(path, "sync", errno);
}

std::shared_ptr<void> posix_file_system::lock(const std::string& path) {
  const auto fd = std::make_shared<descriptor>(path, O_CREAT | O_RDWR);
  if (::flock(fd->get(), LOCK_EX | LOCK_NB) != 0)
    throw folder_locked(path + ": another process holds this folder");
  return fd;
}

}  // namespace marblewharf::store
