// The table of requests between fronts, the decisions and backends. It holds the invariant whatever any of
// them does: one final answer for each request, no refusal once it was handed to a backend, and an effect is
// handed over at most once.
#pragma once

#include <span>
#include <unordered_map>

#include "core/admission.hpp"
#include "core/request.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf {

// Where requests come from and answers go.
class front {
 public:
  virtual ~front() = default;
  virtual void respond(request_id id, const answer& final) = 0;
  virtual void close_idle(duration after) = 0;  // 0 = do not
};

// Where requests run. It reports each end once, to dispatcher::on_end.
class backend {
 public:
  virtual ~backend() = default;
  virtual void run(request_id id, const request& what) = 0;
  virtual void pause(request_id id) = 0;
  virtual void resume(request_id id) = 0;
};

class dispatcher {
 public:
  dispatcher(const wrenrill::settings& settings, std::uint64_t seed, time_point now,
             telemetry::counters& counters);

  void add(front& f) { fronts_.push_back(&f); }

  // What the server behind says of its own start. Until then it counts as cold, which is the safe guess.
  void on_server_up(bool cold, time_point since);

  request_id on_arrival(front& from, backend& to, request what);
  void on_gone(request_id id);  // no answer is owed any longer
  void on_end(request_id id, run_end how, std::string_view result, duration elapsed);
  void on_drain(duration left);

  void step(time_point now, std::span<const double> gauges);
  // When step() is wanted next; long ago: at once.
  time_point due() const { return admission_.eager() ? time_point::min() : admission_.due(); }

  bool healthy() const { return healthy_; }
  bool draining() const { return draining_; }
  std::size_t open() const { return table_.size(); }

 private:
  struct entry {
    request what;
    front* from = nullptr;
    backend* to = nullptr;
    bool started = false;
    bool answered = false;  // or its caller has gone
  };
  using table = std::unordered_map<request_id, entry>;

  void apply(const run& d);
  void apply(const pause& d);
  void apply(const resume& d);
  void apply(const refuse& d);
  void apply(const fail& d);
  void apply(const health& d) { healthy_ = d.good; }
  void apply(const close_idle& d);
  void conclude(table::iterator at, const answer& final);

  wrenrill::settings settings_;
  std::uint64_t seed_;
  telemetry::counters& counters_;
  admission admission_;
  table table_;
  std::vector<front*> fronts_;
  request_id last_id_ = 0;
  bool read_any_ = false;
  bool healthy_ = true;
  bool draining_ = false;
};

}  // namespace marblewharf
