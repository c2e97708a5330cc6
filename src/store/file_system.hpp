// The file system calls that the store makes, as an interface, so that tests can make each call fail or stop
// halfway.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::store {

// A system call failed; the text names the path and the reason.
struct io_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Thrown by lock(): another process has locked the folder, and may unlock it later. Nothing in the folder was
// read or written.
struct folder_locked : io_error {
  using io_error::io_error;
};

// A file open for writing. Not thread-safe.
class file {
 public:
  virtual ~file() = default;
  virtual void write_at(std::uint64_t offset, std::string_view bytes) = 0;
  // Returns once the data is on disk. After a failure the file must not be used any more: the system may have
  // dropped the data that it could not write, and would report success for a second sync.
  virtual void sync() = 0;
  virtual void truncate(std::uint64_t size) = 0;
};

// All functions throw io_error.
class file_system {
 public:
  virtual ~file_system() = default;
  // Creates a file and preallocates its blocks, so that writes within `size` bytes do not run out of space.
  // Fails if the file exists.
  virtual std::unique_ptr<file> create(const std::string& path, std::uint64_t size) = 0;
  virtual std::string read(const std::string& path, std::uint64_t offset, std::uint64_t size) = 0;
  virtual std::uint64_t size_of(const std::string& path) = 0;
  virtual std::vector<std::string> list(const std::string& folder) = 0;  // names, unordered
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& path) = 0;
  virtual void truncate(const std::string& path, std::uint64_t size) = 0;
  virtual void make_folder(const std::string& path) = 0;  // no effect if it exists
  virtual void sync_folder(const std::string& path) = 0;
  // Locks the folder for this process until the returned handle is destroyed. Throws `folder_locked` if
  // another process has locked it.
  virtual std::shared_ptr<void> lock(const std::string& path) = 0;
};

// The file system of the operating system.
class posix_file_system : public file_system {
 public:
  std::unique_ptr<file> create(const std::string& path, std::uint64_t size) override;
  std::string read(const std::string& path, std::uint64_t offset, std::uint64_t size) override;
  std::uint64_t size_of(const std::string& path) override;
  std::vector<std::string> list(const std::string& folder) override;
  void rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& path) override;
  void truncate(const std::string& path, std::uint64_t size) override;
  void make_folder(const std::string& path) override;
  void sync_folder(const std::string& path) override;
  std::shared_ptr<void> lock(const std::string& path) override;
};

}  // namespace marblewharf::store
