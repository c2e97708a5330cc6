// The node's background jobs: scrubbing of folders, and compaction, checkpoints and ageing of table stores.
// The scheduler runs the jobs while requests leave headroom on the cores (docs/scheduler.md).
//
// Created only if the operator's file enables such jobs. Owned by the reactor's thread; the jobs run on the
// threads of a pool.
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
  // Whether the settings enable any background job.
  static bool configured(const config& settings);

  // Schedules the scrubbing that the settings enable. `notify` is called, on a thread of the pool, when
  // step() has work to do. `counters` outlives this object.
  background_jobs(const config& settings, telemetry::counters& counters, std::function<void()> notify,
                  time_point now);

  // Schedules compaction, checkpoints and ageing of `tables`. The jobs do nothing once the last owner has
  // released `tables`. `store_name` is the suffix of the jobs' names.
  void maintain_tables(const std::string& store_name, std::weak_ptr<store::table_service> tables,
                       time_point now);

  // Starts the slices that are due. `cores_busy`: the utilization of the cores, 0 to 1, if known. `queued`:
  // the number of requests that wait to run. Returns when step() has to be called next.
  time_point step(time_point now, std::optional<double> cores_busy, std::size_t queued);
  // Whether step() has no work to do at `now`, so that its arguments need not be determined.
  bool idle(time_point now) const { return now < due_ && !slice_ended_; }
  // When step() has to be called next.
  time_point due() const { return due_; }

  // The lines `background.JOB.STATISTIC=VALUE` of the console command `show-stat`.
  std::string render_statistics(time_point now) const;

 private:
  void schedule_scrub(const std::string& job_name, const std::string& folder, duration period,
                      time_point now);

  telemetry::counters& counters_;
  const duration deadline_;  // a job that has been due for this long runs even without headroom
  scheduler::headroom_meter headroom_meter_;
  double headroom_ = 1;  // 0 to 1, measured in the last step
  time_point due_{};
  // Whether a slice ended since the last step. Set by the pool's threads.
  std::atomic<bool> slice_ended_ = false;
  scheduler::pool pool_;  // last member: its threads end before the members that they use
};

}  // namespace marblewharf::server
