#include "fan_out/response_cache.hpp"

#include <iterator>

namespace marblewharf::fan_out {

void response_cache::erase(std::list<entry>::iterator position) {
  total_bytes_ -= position->bytes.size() + entry_overhead_bytes;
  index_.erase(position->key);
  entries_.erase(position);
}

void response_cache::put(std::size_t dependency, std::uint64_t subject, const std::string& bytes,
                         time_point now) {
  const std::uint64_t key = key_of(dependency, subject);
  if (const auto previous = index_.find(key); previous != index_.end()) erase(previous->second);
  const std::size_t size = bytes.size() + entry_overhead_bytes;
  if (size > capacity_bytes_) return;
  entries_.push_front({key, bytes, now});
  index_[key] = entries_.begin();
  total_bytes_ += size;
  while (total_bytes_ > capacity_bytes_) erase(std::prev(entries_.end()));
}

std::optional<response_cache::cached_response> response_cache::get(std::size_t dependency,
                                                                   std::uint64_t subject, duration max_age,
                                                                   time_point now) {
  const auto found = index_.find(key_of(dependency, subject));
  if (found == index_.end()) return std::nullopt;
  const auto cached = found->second;
  const duration age = now - cached->stored_at;
  if (age > max_age) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, cached);
  return cached_response{&cached->bytes, age};
}

}  // namespace marblewharf::fan_out
