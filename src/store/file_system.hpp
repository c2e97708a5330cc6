// The few things that the store asks of a file system, so that a test can fail or cut each one of them.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::store {

// A call of the system that failed; the text names the path and the reason.
struct io_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Of lock(): another process holds the folder now. It may let go; nothing of the folder was read or written.
struct held : io_error {
  using io_error::io_error;
};

// A file open for writing. Not for several threads at once.
class file {
 public:
  virtual ~file() = default;
  virtual void write_at(std::uint64_t offset, std::string_view bytes) = 0;
  // Returns once the data is on disk. A failure is final for this file: the system may have dropped what it
  // could not write, and a second try would report success for it.
  virtual void sync() = 0;
  virtual void truncate(std::uint64_t size) = 0;
};

// All throw io_error.
class file_system {
 public:
  virtual ~file_system() = default;
  // A new file whose blocks are set aside, so that writes within `size` find room. Fails where one stands.
  virtual std::unique_ptr<file> create(const std::string& path, std::uint64_t size) = 0;
  virtual std::string read(const std::string& path, std::uint64_t offset, std::uint64_t size) = 0;
  virtual std::uint64_t size_of(const std::string& path) = 0;
  virtual std::vector<std::string> list(const std::string& folder) = 0;  // names, unordered
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& path) = 0;
  virtual void truncate(const std::string& path, std::uint64_t size) = 0;
  virtual void make_folder(const std::string& path) = 0;  // fine where it stands
  virtual void sync_folder(const std::string& path) = 0;
  // Holds the folder for this process until the handle goes; throws `held` where another one holds it.
  virtual std::shared_ptr<void> lock(const std::string& path) = 0;
};

// The real one.
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
