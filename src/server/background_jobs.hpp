// The node's background work: scrubbing of folders, and compaction, checkpoints and ageing of table stores,
// run by the scheduler as far as admission and the cores leave headroom (docs/scheduler.md).
//
// Exists only where the operator's file asks for such work. Owned by the reactor's thread; the work itself
// runs on the pool's threads.
#pragma once

#include <atomic>
#include <cstddef>
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

class background_jobs {
 public:
  // Whether the settings ask for any background work.
  static bool configured(const config& settings);

  // Schedules the scrubbing that the settings ask for. `notify`: step() has something to do; called from
  // another thread. `counters` outlives this object.
  background_jobs(const config& settings, telemetry::counters& counters, std::function<void()> notify,
                  time_point now);

  // Schedules compaction, checkpoints and ageing of `tables` until the last owner drops them. `store_name`
  // becomes the end of the jobs' names.
  void maintain_tables(const std::string& store_name, std::weak_ptr<store::table_service> tables,
                       time_point now);

  // Starts the slices that are due. `cores_busy`: the busy share of the cores, 0 to 1, where it is known;
  // `queued`: requests that wait to run. Returns when to call again.
  time_point step(time_point now, std::optional<double> cores_busy, std::size_t queued);
  // Whether step() has nothing to do at `now`, so that its arguments need not be collected.
  bool idle(time_point now) const { return now < due_ && !slice_ended_; }
  // When step() is due next.
  time_point due() const { return due_; }

  // Lines of `background.JOB.FIGURE=VALUE` for show-stat.
  std::string render_statistics(time_point now) const;

 private:
  void schedule_scrub(const std::string& job_name, const std::string& folder, duration period,
                      time_point now);

  telemetry::counters& counters_;
  const duration deadline_;  // a job due for so long also runs without headroom
  scheduler::headroom_meter headroom_meter_;
  double headroom_ = 1;  // 0 to 1, as of the last step
  time_point due_{};
  std::atomic<bool> slice_ended_ = false;  // since the last step; set by the pool's threads
  scheduler::pool pool_;                   // last: its threads end before the members that they use
};

}  // namespace marblewharf::server
