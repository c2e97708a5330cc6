// The decision module in blocking style: report() what happened, tick() as time goes by, and pick() what to
// do next until there is nothing. Its events and actions end here.
#pragma once

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/request.hpp"

namespace marblewharf {

// Facts.
struct arrived {
  request_id id{};
  const request* what = nullptr;  // read at once, not kept
  request_id duplicate_of = 0;    // the request whose outcome it is to share; 0 = none
};
struct ended {
  request_id id{};
  run_end how{};
  duration elapsed{};
};
struct gone {
  request_id id{};
};
struct needs_call {
  request_id id{};
};  // its run is stuck until it calls
struct call_over {
  request_id id{};
  duration elapsed{};
};  // it has what it called for, or goes on without
struct drain {
  duration left{};  // until the process is stopped
};
using quota_update = admission_policy::quota_update;  // of wholes that this node has a part in

// Decisions.
struct run {
  request_id id{};
};
struct pause {
  request_id id{};
};
struct resume {
  request_id id{};
};
struct refuse {
  request_id id{};
  duration retry_after{};
  bool no_retry_elsewhere = false;
};
struct fail {
  request_id id{};
  duration retry_after{};
};
struct keep {
  request_id id{};
};  // its key, from here on until it is answered
struct forget {
  request_id id{};
};  // its key: it never ran
struct share {
  request_id id{};
};  // answer it with the outcome of the request that it repeats
struct place {
  request_id id{};
  duration limit{};
};  // its call may begin, and last that long
struct skip {
  request_id id{};
};  // it goes on without its call
struct health {
  bool good = true;
};
struct close_idle {
  duration after{};  // 0 = as long as callers like
};
using decision =
    std::variant<run, pause, resume, refuse, fail, keep, forget, share, place, skip, health, close_idle>;

class admission {
 public:
  // `opened`: when the server behind it started; in the past for one that has been up for a while.
  admission(admission_policy::settings settings, std::uint64_t seed, time_point opened);

  void report(const arrived& fact);
  void report(const ended& fact);
  void report(const gone& fact);
  void report(const needs_call& fact);
  void report(const call_over& fact);
  void report(const drain& fact);
  void report(const quota_update& fact);

  // Decides on all that was reported and all that has become due. Gauges are in the order of the settings;
  // none: unknown.
  void tick(time_point now, std::span<const double> gauges);

  std::optional<decision> pick();

  // tick() is wanted at this time, or as soon as something was reported.
  time_point due() const { return due_; }
  bool eager() const { return !pending_.empty(); }

 private:
  void take(const std::vector<admission_policy::action>& actions, time_point now);

  admission_policy::policy policy_;
  std::vector<bool> writes_;  // by class: an effect
  std::vector<admission_policy::event> pending_;
  std::deque<decision> decisions_;
  std::unordered_map<request_id, bool> begun_;  // by open request: it was started once
  time_point due_{};
};

}  // namespace marblewharf
