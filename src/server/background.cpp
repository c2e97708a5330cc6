#include "server/background.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <sstream>

#include "store/scrub.hpp"

namespace marblewharf::server {

namespace {

// While work is due the load is looked at this often; a slice's end wakes us besides.
constexpr duration look_every = std::chrono::milliseconds(50);

scheduler::options options_of(const background_config& c) {
  scheduler::options o;
  o.workers = c.workers;
  o.budget = {c.cpu, static_cast<double>(c.read), 0};
  return o;
}

}  // namespace

bool background::wanted(const config& settings) {
  return (settings.keyed && settings.keyed->scrub.count() > 0) || settings.writes;
}

background::background(const config& settings, telemetry::counters& counters, std::function<void()> notify,
                       time_point now)
    : counters_(counters),
      deadline_(settings.background.deadline),
      room_({settings.background.quiet, settings.background.busy, settings.background.calm}),
      pool_(
          options_of(settings.background),
          [this, notify = std::move(notify)] {
            ended_ = true;
            notify();
          },
          [this](const std::string& job, const std::string& note) {
            ++counters_.background_faults;
            telemetry::log("background", "%s: %s", job.c_str(), note.c_str());
          },
          now) {
  const auto each = [&](const std::string& what, const std::string& folder, duration every) {
    if (every.count() > 0) scrub(what, folder, every, settings.background.deadline, now);
  };
  if (settings.keyed) each("scrub-results", settings.keyed->folder, settings.keyed->scrub);
  if (settings.writes) each("scrub-writes", settings.writes->folder, settings.writes->scrub);
}

// One segment a slice. Also of a folder that another process still has: nothing is written.
void background::scrub(const std::string& what, const std::string& folder, duration every, duration deadline,
                       time_point now) {
  const auto reads = std::make_shared<store::scrubber>(std::make_shared<store::posix_file_system>(), folder);
  pool_.add(
      {.name = what, .every = every, .deadline = deadline, .after = {}, .budget = {}},
      [reads](const std::atomic<bool>&) {
        const store::scrubber::step_result r = reads->step();
        return scheduler::slice_result{r.more ? scheduler::slice_end::more : scheduler::slice_end::done,
                                       r.read, 0, r.fault};
      },
      now + std::min<duration>(every, std::chrono::seconds(10)));
}

// Cleaning goes on under load too, at the urgent share: a store that is never cleaned turns its writers away
// in the end.
void background::look_after(const std::string& what, std::weak_ptr<store::table_service> tables,
                            time_point now) {
  using work = store::table_service::work;
  using namespace std::chrono_literals;
  const auto add = [&](const char* name, work w, duration every, duration deadline, int priority) {
    pool_.add(
        {.name = name + ("-" + what),
         .priority = priority,
         .every = every,
         .deadline = deadline,
         .after = {},
         .budget = {}},
        [tables, w](const std::atomic<bool>&) -> scheduler::slice_result {
          const auto t = tables.lock();
          if (t == nullptr) return {};
          const store::table_service::slice s = t->step(w);
          const auto how = !s.fault.empty() ? scheduler::slice_end::failed
                           : s.more         ? scheduler::slice_end::more
                                            : scheduler::slice_end::done;
          return {how, s.read, s.written, s.fault};
        },
        now + every);
  };
  add("clean", work::clean, 500ms, 1s, 0);
  add("age", work::age, 1s, 10s, 1);
  add("checkpoint", work::checkpoint, 60s, deadline_, 1);
}

time_point background::step(time_point now, std::optional<double> cores_busy, std::size_t waiting) {
  ended_ = false;
  room_now_ = room_.look(now, cores_busy, waiting);
  const time_point due = pool_.step(now, room_now_);
  // Without room the scheduler cannot say when there will be some.
  due_ = std::max(now + std::chrono::milliseconds(1), std::min(due, room_now_ < 1 ? now + look_every : due));
  return due_;
}

std::string background::figures(time_point now) const {
  std::ostringstream out;
  out << "background.room=" << room_now_ << "\nbackground.faults=" << counters_.background_faults << '\n';
  for (const scheduler::job_figures& f : pool_.figures(now)) {
    const std::string name = "background." + f.name;
    out << name << ".rounds=" << f.rounds << '\n'
        << name << ".slices=" << f.slices << '\n'
        << name << ".failures=" << f.failures << '\n'
        << name << ".read=" << f.used.read << '\n'
        << name << ".cpu_ms=" << f.used.cpu / std::chrono::milliseconds(1) << '\n'
        << name << ".urgent=" << (f.urgent ? 1 : 0) << '\n'
        << name << ".overrun=" << (f.overrun ? 1 : 0) << '\n';
  }
  return out.str();
}

}  // namespace marblewharf::server
