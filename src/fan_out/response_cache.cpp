#include "fan_out/response_cache.hpp"

#include <iterator>

namespace marblewharf::fan_out {

void response_cache::erase(std::list<entry>::iterator which) {
  bytes_ -= which->bytes.size() + entry_overhead;
  index_.erase(which->key);
  entries_.erase(which);
}

void response_cache::put(std::size_t dependency, std::uint64_t subject, const std::string& bytes,
                         time_point now) {
  const std::uint64_t key = key_of(dependency, subject);
  if (const auto old = index_.find(key); old != index_.end()) erase(old->second);
  const std::size_t size = bytes.size() + entry_overhead;
  if (size > capacity_) return;
  entries_.push_front({key, bytes, now});
  index_[key] = entries_.begin();
  bytes_ += size;
  while (bytes_ > capacity_) erase(std::prev(entries_.end()));
}

std::optional<response_cache::cached_response> response_cache::get(std::size_t dependency,
                                                                   std::uint64_t subject, duration oldest,
                                                                   time_point now) {
  const auto found = index_.find(key_of(dependency, subject));
  if (found == index_.end()) return std::nullopt;
  const auto cached = found->second;
  const duration age = now - cached->stored_at;
  if (age > oldest) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, cached);
  return cached_response{&cached->bytes, age};
}

}  // namespace marblewharf::fan_out
