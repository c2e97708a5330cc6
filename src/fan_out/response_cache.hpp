// The last fresh response of each dependency and subject, for when a newer one does not come. Bounded in
// bytes; the least recently used are evicted. One thread at a time.
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
  explicit response_cache(std::size_t capacity_bytes) : capacity_(capacity_bytes) {}

  // Replaces what is known of the subject. A response that is larger than the cache is not kept.
  void put(std::size_t dependency, std::uint64_t subject, const std::string& bytes, time_point now);
  struct cached_response {
    const std::string* bytes = nullptr;  // until the next put()
    duration age{};
  };
  // None where there is none, or it is older than `oldest`.
  std::optional<cached_response> get(std::size_t dependency, std::uint64_t subject, duration oldest,
                                     time_point now);
  std::size_t bytes() const { return bytes_; }

 private:
  static constexpr std::size_t entry_overhead = 128;  // bytes, about
  struct entry {
    std::uint64_t key = 0;
    std::string bytes;
    time_point stored_at{};
  };
  static std::uint64_t key_of(std::size_t dependency, std::uint64_t subject) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ull;  // spreads subjects over all bits
    return subject * golden_ratio + dependency;
  }
  void erase(std::list<entry>::iterator which);

  std::size_t capacity_;
  std::size_t bytes_ = 0;
  std::list<entry> entries_;  // the most recently used first
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

}  // namespace marblewharf::fan_out
