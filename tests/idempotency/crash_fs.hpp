// A file system in memory that fails or crashes at a chosen call. After a crash it holds what was synced, and
// of the rest what a seed says: writes lost, whole or torn at sectors, names changed or not, in the order in
// which they were.
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

struct crashed {};  // the machine is off: no io_error, so that nobody handles it

enum class fault { none, error, cut_short, power_loss };

class fs : public file_system {
 public:
  std::uint64_t calls = 0;
  std::uint64_t fail_at = 0;  // the call that fails; 0 = none
  fault how = fault::none;
  bool stays_broken = false;  // all later changes fail too

  std::unique_ptr<file> create(const std::string& path, std::uint64_t size) override {
    strike(path);
    if (names_.contains(path)) throw io_error(path + ": exists");
    names_[path] = std::make_shared<inode>();
    names_[path]->now.assign(size, '\0');
    names_[path]->synced = names_[path]->now;
    return std::make_unique<handle>(*this, names_[path]);
  }
  std::string read(const std::string& path, std::uint64_t offset, std::uint64_t size) override {
    alive();
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
    strike(from);
    node(from);
    names_[to] = names_[from];
    names_.erase(from);
    steps_.push_back(names_);
  }
  void remove(const std::string& path) override {
    if (!names_.contains(path)) throw io_error(path + ": none");
    strike(path);
    names_.erase(path);
    steps_.push_back(names_);
  }
  void truncate(const std::string& path, std::uint64_t size) override {
    strike(path);
    node(path).now.resize(size);
    node(path).settle();
  }
  void make_folder(const std::string&) override {}
  void sync_folder(const std::string& path) override {
    strike(path);
    on_disk_ = names_;
    steps_.clear();
  }
  std::shared_ptr<void> lock(const std::string&) override {
    alive();
    return std::make_shared<int>();
  }

  // Power comes back.
  void restart(std::mt19937& random) {
    off_ = false;
    fail_at = 0;
    if (!steps_.empty()) {
      const std::size_t kept = random() % (steps_.size() + 1);
      if (kept > 0) on_disk_ = steps_[kept - 1];
    }
    names_ = on_disk_;
    steps_.clear();
    for (auto& [path, n] : names_) n->lose(random);
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
    void lose(std::mt19937& random) {
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
    handle(fs& f, std::shared_ptr<inode> n) : fs_(f), node_(std::move(n)) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override {
      const bool cut = fs_.strike("write", true);
      const std::string_view put = cut ? bytes.substr(0, bytes.size() / 2) : bytes;
      if (node_->now.size() < offset + put.size()) node_->now.resize(offset + put.size());
      node_->now.replace(offset, put.size(), put);
      node_->unsynced.push_back({offset, std::string(put)});
      if (cut) throw io_error("a short write");
    }
    void sync() override {
      try {
        fs_.strike("sync");
      } catch (const io_error&) {
        std::mt19937 some(static_cast<unsigned>(fs_.calls));
        const std::string seen = node_->now;
        node_->lose(some);  // the system drops what it could not write, and tells once
        node_->now = seen;
        throw;
      }
      node_->settle();
    }
    void truncate(std::uint64_t size) override {
      fs_.strike("truncate");
      node_->now.resize(size);  // what was written and not synced may be lost all the same
      if (node_->synced.size() > size) node_->synced.resize(size);
    }

   private:
    fs& fs_;
    std::shared_ptr<inode> node_;
  };

  void alive() const {
    if (off_) throw crashed{};
  }
  inode& node(const std::string& path) {
    alive();
    const auto at = names_.find(path);
    if (at == names_.end()) throw io_error(path + ": none");
    return *at->second;
  }
  // Counts a call that changes something; true: it is to be cut short.
  bool strike(const std::string& what, bool cuttable = false) {
    alive();
    ++calls;
    if (fail_at == 0 || calls < fail_at || (calls > fail_at && !stays_broken)) return false;
    if (how == fault::power_loss) {
      off_ = true;
      throw crashed{};
    }
    if (how == fault::cut_short && cuttable) return true;
    throw io_error(what + ": made to fail");
  }

  std::map<std::string, std::shared_ptr<inode>> names_, on_disk_;
  std::vector<std::map<std::string, std::shared_ptr<inode>>> steps_;  // changes of names since the last sync
  bool off_ = false;
};

}  // namespace crash
