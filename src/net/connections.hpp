// The connections of a front. One may go at any time, also while all are looked at or while it is dispatched
// to.
#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "net/reactor.hpp"

namespace marblewharf::net {

template <typename T>
class connections {
 public:
  explicit connections(reactor& r) : reactor_(r) {}

  T& add(std::shared_ptr<T> c) {
    T& added = *c;
    open_.emplace(&added, std::move(c));
    return added;
  }
  // It is destroyed before the next step, not now: it may be in the middle of something.
  void drop(const T& c) {
    const auto at = open_.find(&c);
    if (at == open_.end()) return;
    reactor_.retire(std::move(at->second));
    open_.erase(at);
  }
  // Calls `f` for each that stands; what it does to one may end others.
  template <typename F>
  void each(F f) {
    std::vector<std::shared_ptr<T>> all;
    for (const auto& [key, c] : open_) all.push_back(c);
    for (const auto& c : all) {
      if (open_.contains(c.get())) f(*c);
    }
  }
  // The one to close for a new one: that with the least dispensable(), a time; null where that is none for
  // all.
  T* spare() const {
    while (true) {
      T* found = nullptr;
      std::optional<time_point> best;
      for (const auto& [key, c] : open_) {
        const std::optional<time_point> next = c->dispensable();
        if (next && (!best || *next < *best)) {
          best = next;
          found = c.get();
        }
      }
      if (found == nullptr || !found->stream_.unread()) return found;
      found->arriving_ = true;
    }
  }
  std::size_t size() const { return open_.size(); }
  bool empty() const { return open_.empty(); }

 private:
  reactor& reactor_;
  std::unordered_map<const T*, std::shared_ptr<T>> open_;
};

}  // namespace marblewharf::net
