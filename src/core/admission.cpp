#include "core/admission.hpp"

#include <algorithm>
#include <utility>

#include "telemetry/telemetry.hpp"

namespace marblewharf {
namespace {

std::vector<bool> writes_of(const admission_policy::settings& s) {
  std::vector<bool> writes;
  for (const admission_policy::class_settings& c : s.classes)
    writes.push_back(c.effect != admission_policy::request_effect::safe);
  return writes;
}

admission_policy::outcome outcome_of(run_end how) {
  switch (how) {
    case run_end::succeeded: return admission_policy::outcome::ok;
    case run_end::failed:
    case run_end::lost: return admission_policy::outcome::error;
    case run_end::aborted: return admission_policy::outcome::cancelled;
    case run_end::never_started:
    case run_end::unknown_request: return admission_policy::outcome::moot;
  }
  return admission_policy::outcome::error;
}

}  // namespace

admission::admission(admission_policy::settings settings, std::uint64_t seed, time_point opened)
    : policy_(settings, seed, opened), writes_(writes_of(settings)), due_(time_point::max()) {
  take(policy_.handle(opened, {}), opened);
}

void admission::report(const arrived& fact) {
  const request& r = *fact.what;
  begun_.emplace(fact.id, false);
  admission_policy::arrival a;
  a.id = fact.id;
  a.duplicate_of = fact.duplicate_of;
  a.key = r.subject;
  a.reserved_kb = r.reserved_kb;
  a.expected_work = r.expected_work;
  a.read_delay = r.read_delay;
  a.tenant = r.tenant;
  a.request_class = r.request_class;
  a.caller = r.caller;
  a.rank = r.rank;
  a.write = r.request_class < writes_.size() && writes_[r.request_class];
  pending_.emplace_back(a);
}

void admission::report(const ended& fact) {
  begun_.erase(fact.id);
  pending_.emplace_back(admission_policy::completion{fact.id, outcome_of(fact.how), fact.elapsed});
}

void admission::report(const gone& fact) {
  // Nothing more comes of one that never began. Guards the table against one entry for each caller that left.
  if (const auto known = begun_.find(fact.id); known != begun_.end() && !known->second) begun_.erase(known);
  pending_.emplace_back(admission_policy::client_cancelled{fact.id});
}

void admission::report(const needs_call& fact) {
  pending_.emplace_back(admission_policy::call_needed{fact.id});
}

void admission::report(const call_over& fact) {
  pending_.emplace_back(admission_policy::call_ended{fact.id, admission_policy::outcome::ok, fact.elapsed});
}

void admission::report(const drain& fact) {
  pending_.emplace_back(admission_policy::shutdown_notice{fact.left});
}

void admission::report(const quota_update& fact) {
  pending_.emplace_back(fact);
}

void admission::tick(time_point now, std::span<const double> gauges) {
  // The module knows of one timer and sets no other before it fired: one that fires too early is lost to it,
  // and with it every later one. Guards against a node that was started cold and only acts when something
  // comes in.
  if (now >= due_) {
    due_ = time_point::max();
    pending_.emplace_back(admission_policy::timer_fired{{gauges.begin(), gauges.end()}});
  }
  if (pending_.empty()) return;
  std::vector<admission_policy::event> events;
  events.swap(pending_);
  take(policy_.handle(now, events), now);
}

void admission::take(const std::vector<admission_policy::action>& actions, time_point now) {
  for (const admission_policy::action& a : actions) {
    if (const auto* s = std::get_if<admission_policy::start>(&a)) {
      const auto known = begun_.find(s->id);
      if (known == begun_.end()) continue;
      if (std::exchange(known->second, true)) {
        decisions_.emplace_back(resume{s->id});
      } else {
        decisions_.emplace_back(run{s->id});
      }
    } else if (const auto* p = std::get_if<admission_policy::stop_run>(&a)) {
      decisions_.emplace_back(pause{p->id});
    } else if (const auto* r = std::get_if<admission_policy::reject>(&a)) {
      decisions_.emplace_back(refuse{r->id, r->retry_after, r->no_retry_elsewhere});
      begun_.erase(r->id);
    } else if (const auto* f = std::get_if<admission_policy::fail>(&a)) {
      decisions_.emplace_back(fail{f->id, f->retry_after});
      // One that shared an outcome never begins. Guards the table against one entry for each.
      if (const auto known = begun_.find(f->id); known != begun_.end() && !known->second) begun_.erase(known);
    } else if (const auto* k = std::get_if<admission_policy::retain_key>(&a)) {
      decisions_.emplace_back(keep{k->id});
    } else if (const auto* o = std::get_if<admission_policy::forget_key>(&a)) {
      decisions_.emplace_back(forget{o->id});
    } else if (const auto* pc = std::get_if<admission_policy::place_call>(&a)) {
      decisions_.emplace_back(place{pc->id, pc->limit});
    } else if (const auto* sc = std::get_if<admission_policy::skip_call>(&a)) {
      decisions_.emplace_back(skip{sc->id});
    } else if (const auto* sh = std::get_if<admission_policy::share_result>(&a)) {
      decisions_.emplace_back(share{sh->id});
    } else if (const auto* h = std::get_if<admission_policy::set_health>(&a)) {
      decisions_.emplace_back(health{h->good});
    } else if (const auto* c = std::get_if<admission_policy::close_idle>(&a)) {
      decisions_.emplace_back(close_idle{c->after});
    } else if (const auto* t = std::get_if<admission_policy::set_timer>(&a)) {
      due_ = std::min(due_, now + t->after);
    } else if (const auto* l = std::get_if<admission_policy::log_line>(&a)) {
      telemetry::log("module", "%s", l->text.c_str());
    }
  }
}

std::optional<decision> admission::pick() {
  if (decisions_.empty()) return std::nullopt;
  decision next = decisions_.front();
  decisions_.pop_front();
  return next;
}

}  // namespace marblewharf
