// An in-memory file system that fails or loses power at a chosen call. After a power loss it has all synced
// data. For unsynced data a random generator decides: each written sector is kept or lost, and a random
// prefix of the unsynced renames and deletions is kept.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "store/file_system.hpp"

namespace crash {

using marblewharf::store::file;
using marblewharf::store::file_system;
using marblewharf::store::io_error;

struct crashed {};  // power loss; not an io_error, so that the code under test does not catch it

enum class fault { none, error, cut_short, power_loss };

class fs : public file_system {
 public:
  std::uint64_t calls = 0;    // modifying calls so far
  std::uint64_t fail_at = 0;  // number of the modifying call that fails; 0 = none
  fault how = fault::none;
  bool stays_broken = false;  // all later modifying calls fail, too

  std::unique_ptr<file> create(const std::string& path, std::uint64_t size) override {
    count_call(path);
    if (names_.contains(path)) throw io_error(path + ": exists");
    names_[path] = std::make_shared<inode>();
    names_[path]->now.assign(size, '\0');
    names_[path]->synced = names_[path]->now;
    return std::make_unique<handle>(*this, names_[path]);
  }
  std::string read(const std::string& path, std::uint64_t offset, std::uint64_t size) override {
    expect_powered();
    const std::string& bytes = node(path).now;
    return offset >= bytes.size() ? std::string() : bytes.substr(offset, size);
  }
  std::uint64_t size_of(const std::string& path) override { return node(path).now.size(); }
  std::vector<std::string> list(const std::string& folder) override {
    std::vector<std::string> found;
    for (const auto& [path, n] : names_) {
      if (path.starts_with(folder + "/")) found.push_back(path.substr(folder.size() + 1));
    }
    return found;
  }
  void rename(const std::string& from, const std::string& to) override {
    count_call(from);
    node(from);
    names_[to] = names_[from];
    names_.erase(from);
    unsynced_names_.push_back(names_);
  }
  void remove(const std::string& path) override {
    if (!names_.contains(path)) throw io_error(path + ": no such file");
    count_call(path);
    names_.erase(path);
    unsynced_names_.push_back(names_);
  }
  void truncate(const std::string& path, std::uint64_t size) override {
    count_call(path);
    node(path).now.resize(size);
    node(path).settle();
  }
  void make_folder(const std::string&) override {}
  void sync_folder(const std::string& path) override {
    count_call(path);
    on_disk_ = names_;
    unsynced_names_.clear();
  }
  std::shared_ptr<void> lock(const std::string&) override {
    expect_powered();
    return std::make_shared<int>();
  }

  // Restores power with the data that survived.
  void restart(std::mt19937& random) {
    powered_off_ = false;
    fail_at = 0;
    if (!unsynced_names_.empty()) {
      const std::size_t kept = random() % (unsynced_names_.size() + 1);
      if (kept > 0) on_disk_ = unsynced_names_[kept - 1];
    }
    names_ = on_disk_;
    unsynced_names_.clear();
    for (auto& [path, n] : names_) n->drop_unsynced(random);
  }
  std::map<std::string, std::string> image() const {
    std::map<std::string, std::string> all;
    for (const auto& [path, n] : names_) all[path] = n->now;
    return all;
  }
  void load(const std::map<std::string, std::string>& all) {
    for (const auto& [path, bytes] : all) {
      names_[path] = std::make_shared<inode>();
      names_[path]->now = names_[path]->synced = bytes;
    }
    on_disk_ = names_;
  }

 private:
  struct change {
    std::uint64_t offset = 0;
    std::string bytes;
  };
  struct inode {
    std::string now, synced;
    std::vector<change> unsynced;
    void settle() {
      synced = now;
      unsynced.clear();
    }
    void drop_unsynced(std::mt19937& random) {
      constexpr std::size_t sector = 512;
      for (const change& c : unsynced) {
        for (std::size_t at = 0; at < c.bytes.size(); at += sector) {
          if (random() % 2 == 0) continue;
          const std::string piece = c.bytes.substr(at, sector);
          if (synced.size() < c.offset + at + piece.size()) synced.resize(c.offset + at + piece.size());
          synced.replace(c.offset + at, piece.size(), piece);
        }
      }
      now = synced;
      unsynced.clear();
    }
  };
  class handle : public file {
   public:
    handle(fs& f, std::shared_ptr<inode> n) : fs_(f), inode_(std::move(n)) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override {
      const bool cut = fs_.count_call("write", true);
      const std::string_view kept = cut ? bytes.substr(0, bytes.size() / 2) : bytes;
      if (inode_->now.size() < offset + kept.size()) inode_->now.resize(offset + kept.size());
      inode_->now.replace(offset, kept.size(), kept);
      inode_->unsynced.push_back({offset, std::string(kept)});
      if (cut) throw io_error("injected short write");
    }
    void sync() override {
      try {
        fs_.count_call("sync");
      } catch (const io_error&) {
        std::mt19937 random(static_cast<unsigned>(fs_.calls));
        const std::string seen = inode_->now;
        inode_->drop_unsynced(
            random);  // the system drops data that it could not write, and reports the error only once
        inode_->now = seen;
        throw;
      }
      inode_->settle();
    }
    void truncate(std::uint64_t size) override {
      fs_.count_call("truncate");
      inode_->now.resize(size);  // unsynced writes may still be lost
      if (inode_->synced.size() > size) inode_->synced.resize(size);
    }

   private:
    fs& fs_;
    std::shared_ptr<inode> inode_;
  };

  void expect_powered() const {
    if (powered_off_) throw crashed{};
  }
  inode& node(const std::string& path) {
    expect_powered();
    const auto at = names_.find(path);
    if (at == names_.end()) throw io_error(path + ": no such file");
    return *at->second;
  }
  // Counts a modifying call and throws if it is the one that has to fail. Returns true if the call must be
  // cut short instead.
  bool count_call(const std::string& name, bool may_cut = false) {
    expect_powered();
    ++calls;
    if (fail_at == 0 || calls < fail_at || (calls > fail_at && !stays_broken)) return false;
    if (how == fault::power_loss) {
      powered_off_ = true;
      throw crashed{};
    }
    if (how == fault::cut_short && may_cut) return true;
    throw io_error(name + ": injected fault");
  }

  std::map<std::string, std::shared_ptr<inode>> names_, on_disk_;
  std::vector<std::map<std::string, std::shared_ptr<inode>>>
      unsynced_names_;  // names after each change since the last sync
  bool powered_off_ = false;
};

}  // namespace crash
