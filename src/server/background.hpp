// The node's background work: the folders' scrubbing, and cleaning, checkpoints and ageing of stores of
// tables, under the scheduler, held back by what the admission module and the cores have to do
// (docs/scheduler.md).
//
// Exists only where the operator's file asks for such work; `run` on the platform never does. Owned by the
// reactor's thread; the work itself is done on threads of the pool.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "scheduler/headroom_meter.hpp"
#include "scheduler/pool.hpp"
#include "store/table_service.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::server {

class background {
 public:
  // Whether the settings ask for any.
  static bool wanted(const config& settings);

  // `notify`: step() has something to do; from another thread.
  background(const config& settings, telemetry::counters& counters, std::function<void()> notify,
             time_point now);

  // Its cleaning, checkpoints and ageing from now on, until it goes. `what`: for the jobs' names.
  void look_after(const std::string& what, std::weak_ptr<store::table_service> tables, time_point now);

  // `cores_busy`: 0 to 1, where it is known; `waiting`: requests that are held. Returns when to call again.
  time_point step(time_point now, std::optional<double> cores_busy, std::size_t waiting);
  // step() has nothing to do: nobody needs to look what is held for its sake.
  bool idle(time_point now) const { return now < due_ && !ended_; }
  time_point due() const { return due_; }

  // Lines of `background.JOB.FIGURE=VALUE` for show-stat.
  std::string figures(time_point now) const;

 private:
  void scrub(const std::string& what, const std::string& folder, duration every, duration deadline,
             time_point now);

  telemetry::counters& counters_;
  const duration deadline_;
  scheduler::headroom_meter room_;
  double room_now_ = 1;
  time_point due_{};
  std::atomic<bool> ended_ = false;  // a slice has, since the last step
  scheduler::pool pool_;             // last: its threads go first
};

}  // namespace marblewharf::server
