// The open connections of a front. A connection may be dropped at any time, also during each() or from its
// own callbacks.
#pragma once

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "net/reactor.hpp"

namespace marblewharf::net {

// `T` is the connection class of the front: eviction_candidate() uses its members eviction_rank(), stream_
// and arriving_.
template <typename T>
class connections {
 public:
  explicit connections(reactor& event_loop) : reactor_(event_loop) {}

  T& add(std::shared_ptr<T> connection) {
    T& added = *connection;
    open_.emplace(&added, std::move(connection));
    return added;
  }
  // Removes a connection. It is destroyed before the reactor's next step, because one of its callbacks may be
  // running now.
  void drop(const T& connection) {
    const auto position = open_.find(&connection);
    if (position == open_.end()) return;
    reactor_.retire(std::move(position->second));
    open_.erase(position);
  }
  // Calls `visit` for each open connection. The call may drop any connection; a dropped one is not visited.
  template <typename F>
  void each(F visit) {
    std::vector<std::shared_ptr<T>> snapshot;
    for (const auto& [key, connection] : open_) snapshot.push_back(connection);
    for (const auto& connection : snapshot) {
      if (open_.contains(connection.get())) visit(*connection);
    }
  }
  // The connection to close to make room for a new one: the one with the lowest eviction_rank(). Null if no
  // connection may be closed. A connection with unread bytes is marked as arriving and passed over.
  T* eviction_candidate() const {
    while (true) {
      T* found = nullptr;
      std::optional<time_point> lowest;
      for (const auto& [key, connection] : open_) {
        const std::optional<time_point> rank = connection->eviction_rank();
        if (rank && (!lowest || *rank < *lowest)) {
          lowest = rank;
          found = connection.get();
        }
      }
      if (found == nullptr || !found->stream_.has_unread_input()) return found;
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
