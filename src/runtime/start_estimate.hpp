// Estimates from the ready notices when the runtime process started. A later start time means that the
// runtime was restarted and has lost its runs. Performs no I/O.
#pragma once

#include "core/request.hpp"

namespace marblewharf::runtime {

class start_estimate {
 public:
  // What a ready notice shows about the runtime process.
  enum class finding { first_start, same_start, restarted };

  // `tolerance`: two estimates of the same start time differ by less than this.
  explicit start_estimate(duration tolerance) : tolerance_(tolerance) {}

  // The runtime sent the notice after `sync_sent_at`, and this process read it at `now`. `uptime` is the time
  // since the start of the runtime.
  finding on_ready(time_point sync_sent_at, time_point now, duration uptime);

 private:
  const duration tolerance_;
  time_point latest_start_{};  // upper bound of the start time; 0: unknown
};

}  // namespace marblewharf::runtime
