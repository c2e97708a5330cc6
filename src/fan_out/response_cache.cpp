#include "fan_out/response_cache.hpp"

#include <iterator>
#include <utility>

namespace marblewharf::fan_out {

void response_cache::erase(std::list<entry>::iterator position) {
  total_bytes_ -= size_of(*position);
  index_.erase(position->key);
  entries_.erase(position);
}

void response_cache::put(std::size_t dependency, const content_key& content, const std::string& bytes,
                         time_point now) {
  entry stored{{dependency, content}, bytes, now};
  if (const auto previous = index_.find(stored.key); previous != index_.end()) erase(previous->second);
  const std::size_t size = size_of(stored);
  if (size > capacity_bytes_) return;
  entries_.push_front(std::move(stored));
  index_.emplace(entries_.front().key, entries_.begin());
  total_bytes_ += size;
  while (total_bytes_ > capacity_bytes_) erase(std::prev(entries_.end()));
}

std::optional<response_cache::cached_response> response_cache::get(std::size_t dependency,
                                                                   const content_key& content,
                                                                   duration max_age, time_point now) {
  const auto found = index_.find({dependency, content});
  if (found == index_.end()) return std::nullopt;
  const auto cached = found->second;
  const duration age = now - cached->stored_at;
  if (age > max_age) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, cached);
  return cached_response{&cached->bytes, age};
}

}  // namespace marblewharf::fan_out
