#include "server/background_jobs.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>

#include "store/scrub.hpp"

namespace marblewharf::server {
namespace {

using namespace std::chrono_literals;

// How often headroom is measured while the headroom is below 1. Headroom is also measured when
// a slice ends.
constexpr duration headroom_poll_interval = 50ms;
constexpr duration min_step_interval = 1ms;
// Delay of a folder's first scrub after the start; one scrubbing period if that is shorter.
constexpr duration first_scrub_delay = 10s;

constexpr duration compaction_period = 500ms;
constexpr duration compaction_deadline = 1s;
constexpr duration ageing_period = 1s;
constexpr duration ageing_deadline = 10s;
constexpr duration checkpoint_period = 60s;
// Compaction has a higher priority than other jobs: without compaction a store runs out of space and rejects
// writes.
constexpr int compaction_priority = 0;
constexpr int maintenance_priority = 1;

scheduler::options scheduler_options(const background_config& settings) {
  scheduler::options options;
  options.workers = settings.workers;
  options.budget = {settings.cpu_cores, static_cast<double>(settings.read_bytes_per_s), 0};
  return options;
}

scheduler::slice_result scrub_slice(store::scrubber& scrubber) {
  const store::scrubber::step_result result = scrubber.step();
  const auto end = result.has_more ? scheduler::slice_end::more : scheduler::slice_end::done;
  return {end, result.read, 0, result.fault};
}

scheduler::slice_end slice_end_of(const store::table_service::slice& slice) {
  if (!slice.fault.empty()) return scheduler::slice_end::failed;
  return slice.has_more ? scheduler::slice_end::more : scheduler::slice_end::done;
}

// Does nothing if the tables have been destroyed.
scheduler::slice_result maintenance_slice(const std::weak_ptr<store::table_service>& tables,
                                          store::table_service::work kind) {
  const auto service = tables.lock();
  if (service == nullptr) return {};
  const store::table_service::slice slice = service->step(kind);
  return {slice_end_of(slice), slice.read, slice.written, slice.fault};
}

}  // namespace

bool background_jobs::configured(const config& settings) {
  return (settings.keyed && settings.keyed->scrub_interval.count() > 0) || settings.transactions;
}

background_jobs::background_jobs(const config& settings, telemetry::counters& counters,
                                 std::function<void()> notify, time_point now)
    : counters_(counters),
      deadline_(settings.background.max_overdue),
      headroom_meter_({settings.background.full_headroom_load, settings.background.no_headroom_load,
                       settings.background.queue_cooldown}),
      pool_(
          scheduler_options(settings.background),
          [this, notify = std::move(notify)] {
            slice_ended_ = true;
            notify();
          },
          [this](const std::string& job, const std::string& fault) {
            ++counters_.background_faults;
            telemetry::log("background", "%s: %s", job.c_str(), fault.c_str());
          },
          now) {
  if (settings.keyed)
    schedule_scrub("scrub-results", settings.keyed->folder, settings.keyed->scrub_interval, now);
  if (settings.transactions)
    schedule_scrub("scrub-writes", settings.transactions->folder, settings.transactions->scrub_interval, now);
}

// Each slice scrubs one segment. Scrubbing only reads, and is therefore safe in a folder that another process
// has locked.
void background_jobs::schedule_scrub(const std::string& job_name, const std::string& folder, duration period,
                                     time_point now) {
  if (period.count() <= 0) return;
  const auto scrubber =
      std::make_shared<store::scrubber>(std::make_shared<store::posix_file_system>(), folder);
  pool_.add(
      {.name = job_name, .interval = period, .deadline = deadline_, .runs_after = {}, .budget = {}},
      [scrubber](const std::atomic<bool>&) { return scrub_slice(*scrubber); },
      now + std::min(period, first_scrub_delay));
}

void background_jobs::maintain_tables(const std::string& store_name,
                                      std::weak_ptr<store::table_service> tables, time_point now) {
  using work = store::table_service::work;
  const auto schedule = [&](const char* prefix, work kind, duration period, duration deadline, int priority) {
    pool_.add(
        {.name = prefix + ("-" + store_name),
         .priority = priority,
         .interval = period,
         .deadline = deadline,
         .runs_after = {},
         .budget = {}},
        [tables, kind](const std::atomic<bool>&) { return maintenance_slice(tables, kind); }, now + period);
  };
  schedule("clean", work::clean, compaction_period, compaction_deadline, compaction_priority);
  schedule("age", work::expire, ageing_period, ageing_deadline, maintenance_priority);
  schedule("checkpoint", work::checkpoint, checkpoint_period, deadline_, maintenance_priority);
}

time_point background_jobs::step(time_point now, std::optional<double> cores_busy, std::size_t queued) {
  slice_ended_ = false;
  headroom_ = headroom_meter_.evaluate(now, cores_busy, queued);
  time_point due = pool_.step(now, headroom_);
  // The scheduler cannot predict when headroom increases.
  if (headroom_ < 1) due = std::min(due, now + headroom_poll_interval);
  due_ = std::max(due, now + min_step_interval);
  return due_;
}

std::string background_jobs::render_statistics(time_point now) const {
  std::ostringstream out;
  out << "background.room=" << headroom_ << '\n';
  out << "background.faults=" << counters_.background_faults << '\n';
  for (const scheduler::job_statistics& job : pool_.statistics(now)) {
    const std::string name = "background." + job.name;
    out << name << ".rounds=" << job.rounds << '\n'
        << name << ".slices=" << job.slices << '\n'
        << name << ".failures=" << job.failures << '\n'
        << name << ".read=" << job.used.read << '\n'
        << name << ".cpu_ms=" << job.used.cpu / std::chrono::milliseconds(1) << '\n'
        << name << ".urgent=" << (job.urgent ? 1 : 0) << '\n'
        << name << ".overrun=" << (job.overrun ? 1 : 0) << '\n';
  }
  return out.str();
}

}  // namespace marblewharf::server
