#include "fan_out/response_cache.hpp"

namespace marblewharf::fan_out {

void response_cache::drop(std::list<entry>::iterator at) {
  bytes_ -= at->bytes.size() + overhead;
  index_.erase(at->key);
  entries_.erase(at);
}

void response_cache::put(std::size_t dependency, std::uint64_t subject, const std::string& bytes,
                         time_point now) {
  const std::uint64_t key = key_of(dependency, subject);
  if (const auto old = index_.find(key); old != index_.end()) drop(old->second);
  if (bytes.size() + overhead > most_) return;
  entries_.push_front({key, bytes, now});
  index_[key] = entries_.begin();
  bytes_ += bytes.size() + overhead;
  while (bytes_ > most_) drop(std::prev(entries_.end()));
}

std::optional<response_cache::found> response_cache::get(std::size_t dependency, std::uint64_t subject,
                                                         duration oldest, time_point now) {
  const auto at = index_.find(key_of(dependency, subject));
  if (at == index_.end() || now - at->second->at > oldest) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, at->second);
  return found{&at->second->bytes, now - at->second->at};
}

}  // namespace marblewharf::fan_out
