// When the runtime started, as far as its ready notices tell: a later start means that its runs are lost.
// Free of I/O.
#pragma once

#include "core/request.hpp"

namespace marblewharf::runtime {

class start_estimate {
 public:
  // What a ready notice shows.
  enum class finding { first_start, same_start, restarted };

  // `tolerance`: two estimates of one start differ by less.
  explicit start_estimate(duration tolerance) : tolerance_(tolerance) {}

  // The notice was sent after `asked_at` and read at `now`; its sender has run for `uptime`.
  finding on_ready(time_point asked_at, time_point now, duration uptime);

 private:
  const duration tolerance_;
  time_point latest_start_{};  // the runtime started no later; 0: nothing is known yet
};

}  // namespace marblewharf::runtime
