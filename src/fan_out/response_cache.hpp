// Cache of the last fresh response for each dependency and content, used as a fallback for missing responses.
// Limited in bytes; evicts the least recently used entries. Not thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/content_key.hpp"
#include "core/request.hpp"

namespace marblewharf::fan_out {

class response_cache {
 public:
  explicit response_cache(std::size_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}

  // Stores the response and replaces the previous one for the content. A response larger than the cache is
  // not stored.
  void put(std::size_t dependency, const content_key& content, const std::string& bytes, time_point now);
  struct cached_response {
    const std::string* bytes = nullptr;  // valid until the next put()
    duration age{};
  };
  // None: no response is cached, or the cached one is older than `max_age`.
  std::optional<cached_response> get(std::size_t dependency, const content_key& content, duration max_age,
                                     time_point now);
  std::size_t bytes() const { return total_bytes_; }

 private:
  static constexpr std::size_t entry_overhead_bytes = 256;  // approximate
  struct entry_key {
    std::size_t dependency = 0;
    content_key content;
    bool operator==(const entry_key&) const = default;
  };
  struct entry_key_hash {
    std::size_t operator()(const entry_key& key) const { return key.content.hash() + key.dependency; }
  };
  struct entry {
    entry_key key;
    std::string bytes;
    time_point stored_at{};
  };
  static std::size_t size_of(const entry& stored) {
    return stored.bytes.size() + stored.key.content.heap_bytes() + entry_overhead_bytes;
  }
  void erase(std::list<entry>::iterator position);

  std::size_t capacity_bytes_;
  std::size_t total_bytes_ = 0;
  std::list<entry> entries_;  // most recently used first
  std::unordered_map<entry_key, std::list<entry>::iterator, entry_key_hash> index_;
};

}  // namespace marblewharf::fan_out
