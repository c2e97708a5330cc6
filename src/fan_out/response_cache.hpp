// The last good part of each subject, for when a newer one does not come. Bounded in bytes: the longest
// unused go.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/request.hpp"

namespace marblewharf::fan_out {

class response_cache {
 public:
  explicit response_cache(std::size_t most_bytes) : most_(most_bytes) {}

  void put(std::size_t dependency, std::uint64_t subject, const std::string& bytes, time_point now);
  struct found {
    const std::string* bytes = nullptr;  // until the next put()
    duration age{};
  };
  std::optional<found> get(std::size_t dependency, std::uint64_t subject, duration oldest, time_point now);
  std::size_t bytes() const { return bytes_; }

 private:
  static constexpr std::size_t overhead = 128;  // of an entry, about
  struct entry {
    std::uint64_t key = 0;
    std::string bytes;
    time_point at{};
  };
  static std::uint64_t key_of(std::size_t dependency, std::uint64_t subject) {
    return subject * 0x9e3779b97f4a7c15ull + dependency;
  }
  void drop(std::list<entry>::iterator at);

  std::size_t most_;
  std::size_t bytes_ = 0;
  std::list<entry> entries_;  // the last used first
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

}  // namespace marblewharf::fan_out
