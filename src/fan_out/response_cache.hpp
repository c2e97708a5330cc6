// Cache of the last fresh response for each dependency and subject, used as a fallback for missing responses.
// Limited in bytes; evicts the least recently used entries. Not thread-safe.
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
  explicit response_cache(std::size_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}

  // Stores the response and replaces the previous one for the subject. A response larger than the cache is
  // not stored.
  void put(std::size_t dependency, std::uint64_t subject, const std::string& bytes, time_point now);
  struct cached_response {
    const std::string* bytes = nullptr;  // valid until the next put()
    duration age{};
  };
  // None: no response is cached, or the cached one is older than `max_age`.
  std::optional<cached_response> get(std::size_t dependency, std::uint64_t subject, duration max_age,
                                     time_point now);
  std::size_t bytes() const { return total_bytes_; }

 private:
  static constexpr std::size_t entry_overhead_bytes = 128;  // approximate
  struct entry {
    std::uint64_t key = 0;
    std::string bytes;
    time_point stored_at{};
  };
  static std::uint64_t key_of(std::size_t dependency, std::uint64_t subject) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ull;  // spreads the subjects over all bits
    return subject * golden_ratio + dependency;
  }
  void erase(std::list<entry>::iterator position);

  std::size_t capacity_bytes_;
  std::size_t total_bytes_ = 0;
  std::list<entry> entries_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

}  // namespace marblewharf::fan_out
