#include "transaction/coordinator.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

#include "fan_out/response_assembly.hpp"
#include "transaction/log_folder.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::transaction {

using telemetry::log;

namespace {

constexpr duration age_every = std::chrono::seconds(1);

const char* name_of(step_kind what) {
  switch (what) {
    case step_kind::prepare: return "prepare";
    case step_kind::commit: return "commit";
    case step_kind::abort: return "abort";
  }
  return "";
}

}  // namespace

struct coordinator::write {
  write_id id;
  std::uint64_t number = 0;  // the second half of its id: rises from write to write, also over restarts
  std::size_t request_class = 0;
  std::string key;
  std::string payload;
  const write_plan* plan = nullptr;
  transaction machine;
  request_id owner = 0;  // 0 = whoever asked has gone, or heard
  time_point begun{};
  time_point decide_by = time_point::max();
  time_point again_at{};
  time_point due{};    // in due_
  duration pause{};    // before the next again
  bool waits = false;  // found on disk, for room to go on
  bool committed = false;
  log_mark on_disk{};                                   // the last one; 0 = none
  std::uint64_t room = 0;                               // of reserved_
  std::vector<std::shared_ptr<uwsgi::exchange>> talks;  // by participant
  std::vector<fan_out::part_result> results;            // by participant, of its commit
  std::vector<endpoint> at;        // by participant: the one endpoint that all its steps go to
  std::vector<std::size_t> route;  // the same, by its number
  std::vector<time_point> asked;   // by participant: its step in flight

  write(std::vector<part_kind> kinds, const write_plan& p)
      : plan(&p),
        machine(std::move(kinds)),
        talks(p.participants.size()),
        results(p.participants.size()),
        route(p.participants.size()),
        asked(p.participants.size()) {}
};

namespace {

std::vector<double> bounds_of(const dependencies_config& all) {
  std::vector<double> most;
  for (const upstream::dependency_rules& r : all.rules) most.push_back(r.most_in_flight);
  return most;
}

duration longest_window(const writes_config& w) {
  duration longest{};
  for (const write_plan& p : w.plans) longest = std::max(longest, p.window);
  return longest;
}

}  // namespace

coordinator::coordinator(net::reactor& r, const config& settings, dispatcher& d, fan_out::client& behind,
                         std::shared_ptr<store::file_system> fs, std::uint64_t random,
                         std::function<void()> notify)
    : reactor_(r),
      config_(settings),
      dispatcher_(d),
      behind_(behind),
      fs_(std::move(fs)),
      notify_(std::move(notify)),
      keep_(longest_window(*settings.writes)),
      random_(random),
      draws_(random),
      calls_(bounds_of(*settings.dependencies),
             [this](std::size_t dependency) { return behind_.calls_at(dependency).in_flight; }),
      outcomes_(settings.writes->outcomes) {
  for (const upstream::dependency_rules& rules : config_.dependencies->rules)
    routes_.emplace_back(rules.endpoints, rules.health, rules.near);
  try {
    open_folder();
  } catch (const store::held& e) {  // a process before this one still has it: a replacement
    log("handover", "%s: writes are turned away until it lets go", e.what());
    next_try_ = net::steady_now() + config_.keyed->retry_disk;
  }
}

// A slice of background work may still have the service, and its end must not wake a reactor that has gone.
coordinator::~coordinator() {
  if (service_ != nullptr) service_->stop();
}

void coordinator::open_folder() {
  const writes_config& w = *config_.writes;
  const std::chrono::nanoseconds unix_now = std::chrono::system_clock::now().time_since_epoch();
  log_folder found = open_log_folder(*fs_, {w.folder, w.segment, w.space, keep_, random_}, unix_now.count());
  clock_ =
      idempotency::aging_clock(unix_now, std::chrono::nanoseconds(found.tables->latest()), net::steady_now());
  salt_ = found.tables->salt();
  if (found.moved > 0)
    log("writes", "%s: %zu rows made of an older program's marks", w.folder.c_str(), found.moved);
  for (const found_outcome& o : found.over) {
    last_number_ = std::max(last_number_, o.what.number);
    outcomes_.begin(o.what.key, o.what.number);
    outcomes_.committed(o.what.key, o.what.number, o.expiry);
  }
  outcomes_.age(now());
  for (const found_write& f : found.open) recover(f.what, f.last);
  service_ = std::make_shared<store::table_service>(
      fs_, w.folder, std::move(found.tables), store::table_service_options{},
      [clock = clock_] { return clock.at(std::chrono::steady_clock::now().time_since_epoch()); }, notify_);
  std::vector<store::table_service::done> none;
  disk_ = service_->collect(none);
  log("writes", "%s: %zu open, %zu outcomes known", w.folder.c_str(), open_.size(), outcomes_.size());
  for (const auto& [id, open] : open_) {
    open->room = room_of_write(open->payload.size(), config_.bounds.write_buffer);
    reserved_ += open->room;
    bind_routes(*open, true);
    waiting_ += open->waits = true;
    open->again_at = open->begun;
    schedule(*open);
  }
}

void coordinator::take_folder_over(time_point steady) {
  next_try_ = steady + config_.keyed->retry_disk;
  try {
    open_folder();
    next_try_ = time_point::max();
    log("handover", "%s taken over", config_.writes->folder.c_str());
  } catch (const store::held&) {       // not yet
  } catch (const std::exception& e) {  // it cannot be read: writes stay turned away
    // Damage does not mend itself, and each try reads the folder on the reactor's thread.
    if (dynamic_cast<const store::damaged*>(&e) != nullptr) next_try_ = time_point::max();
    open_.clear();
    outcomes_ = outcome_cache(config_.writes->outcomes);
    service_ = nullptr;
    log("handover", "%s cannot be taken over: %s", config_.writes->folder.c_str(), e.what());
  }
}

std::int64_t coordinator::now() const {
  return clock_.at(net::steady_now());
}

// As the keyed results know it: by tenant, class and key; by name, since numbers may change from one start to
// the next, and a write that is not found counts as one that never ran.
std::string coordinator::key_of(const request& what) const {
  const auto& tenants = config_.settings.tenants;
  std::string key = what.tenant < tenants.size() ? tenants[what.tenant].name : std::string();
  key += '\0';
  key += config_.settings.classes[what.request_class].name;
  key += '\0';
  return key += what.key;
}

const write_plan* coordinator::plan_of(const request& what) const {
  for (const write_plan& p : config_.writes->plans)
    if (p.request_class == what.request_class) return &p;
  return nullptr;
}

std::shared_ptr<coordinator::write> coordinator::make(const write_id& id, std::size_t request_class,
                                                      std::string payload, std::string key) {
  const write_plan* plan = nullptr;
  for (const write_plan& p : config_.writes->plans) {
    if (p.request_class == request_class) plan = &p;
  }
  if (plan == nullptr) return nullptr;
  std::vector<part_kind> kinds;
  for (const std::size_t p : plan->participants)
    kinds.push_back(config_.dependencies->endpoints[p].one_phase ? part_kind::one_phase
                                                                 : part_kind::two_phase);
  auto w = std::make_shared<write>(std::move(kinds), *plan);
  w->id = id;
  w->number = number_of(id);
  last_number_ = std::max(last_number_, w->number);
  w->request_class = request_class;
  w->payload = std::move(payload);
  w->key = std::move(key);
  w->begun = net::steady_now();
  w->pause = config_.writes->retry;
  w->again_at = w->begun + w->pause;
  for (const std::size_t p : plan->participants)
    w->at.push_back(config_.dependencies->endpoints[p].at.front());
  return w;
}

// Once for each write, before it begins: what a participant has promised its endpoint alone knows.
void coordinator::choose_endpoints(write& w) {
  for (std::size_t i = 0; i < w.at.size(); ++i) {
    const std::size_t d = w.plan->participants[i];
    w.route[i] = routes_[d].choose(w.begun, draws_(), true).value_or(0);
    w.at[i] = config_.dependencies->endpoints[d].at[w.route[i]];
  }
  bind_routes(w, true);
}

// Its steps begin once it is on disk. Uncounted until then, all that arrive in the meantime would choose the
// same endpoint.
void coordinator::bind_routes(const write& w, bool bound) {
  for (std::size_t i = 0; i < w.route.size(); ++i) {
    upstream::endpoint_set* r = route_of(w, i);
    if (r == nullptr) continue;
    bound ? r->on_bound(w.route[i]) : r->on_unbound(w.route[i]);
  }
}

// None where the endpoint is no longer configured.
upstream::endpoint_set* coordinator::route_of(const write& w, std::size_t participant) {
  upstream::endpoint_set& all = routes_[w.plan->participants[participant]];
  return w.route[participant] < all.count() ? &all : nullptr;
}

// How an endpoint fares tells where the next writes go.
void coordinator::step_ended(const write& w, std::size_t participant, bool told, bool well) {
  const time_point at = net::steady_now();
  if (upstream::endpoint_set* r = route_of(w, participant))
    r->on_end(w.route[participant], at, at - w.asked[participant], told, well);
}

void coordinator::routes_changed(const std::function<bool(const std::string&)>& routable) {
  for (std::size_t d = 0; d < routes_.size(); ++d) {
    const std::vector<std::string>& places = config_.dependencies->endpoints[d].places;
    for (std::size_t e = 0; e < places.size(); ++e) routes_[d].set_reachable(e, routable(places[e]));
  }
}

void coordinator::recover(const begun_write& b, log_mark last) {
  std::size_t i = 0;
  while (i < config_.settings.classes.size() && config_.settings.classes[i].name != b.request_class) ++i;
  auto w = i < config_.settings.classes.size() ? make(b.id, i, b.payload, b.key) : nullptr;
  if (!w) {
    log("writes", "a write of %s is open and has no plan any more: it is left as it is",
        b.request_class.c_str());
    return;
  }
  w->on_disk = last;
  w->committed = last == log_mark::decided;
  std::istringstream at(b.endpoints);
  std::string address;
  for (std::size_t p = 0; p < w->at.size() && at >> address; ++p) {
    const std::size_t colon = address.rfind(':');
    w->at[p] = {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    const auto& configured = config_.dependencies->endpoints[w->plan->participants[p]].at;
    w->route[p] = static_cast<std::size_t>(std::find(configured.begin(), configured.end(), w->at[p]) -
                                           configured.begin());
  }
  outcomes_.begin(hash_of(w->key), w->number);
  open_[b.id] = std::move(w);
}

// ---- backend ----------------------------------------------------------------------------------------------

// Why a write cannot begin now, as the time after which it is worth coming back.
std::optional<duration> coordinator::no_room(const write_plan& plan, const request& what) {
  constexpr duration soon = std::chrono::seconds(1);
  if (!disk_ || !disk_->writable) return config_.keyed->retry_disk;
  const auto aged = [&] { return std::max<duration>(soon, duration(outcomes_.next_ageing() - now())); };
  const std::uint64_t needed = reserved_ + room_of_write(what.payload.size(), config_.bounds.write_buffer);
  if (const store::verdict v = disk_->rules.of(disk_->disk, needed, static_cast<std::int64_t>(needed));
      !v.may)
    return v.come_back ? std::max<duration>(soon, *v.come_back) : aged();
  if (!outcomes_.room()) return aged();
  if (!calls_.take(plan.participants)) return config_.writes->retry;
  return std::nullopt;
}

void coordinator::run(request_id id, const request& what) {
  const write_plan* plan = plan_of(what);
  if (plan == nullptr) {
    behind_.run(id, what);
    return;
  }
  if (const auto come_back = no_room(*plan, what)) {
    ++turned_away_;
    reactor_.wake();
    dispatcher_.on_backend_rejected(id, *come_back);
    return;
  }
  char name[write_id_size + 1];
  std::snprintf(
      name, sizeof name, "%016llx%016llx", static_cast<unsigned long long>(random_),
      static_cast<unsigned long long>(std::max(last_number_, static_cast<std::uint64_t>(now())) + 1));
  const auto w = make(name, what.request_class, what.payload, key_of(what));
  w->owner = id;
  choose_endpoints(*w);
  const auto& c = config_.settings.classes[what.request_class];
  w->decide_by =
      what.arrived + (c.latency_objective.count() > 0 ? c.latency_objective : c.deadline) - w->plan->reserve;
  w->room = room_of_write(what.payload.size(), config_.bounds.write_buffer);
  reserved_ += w->room;
  share_changed(*w);
  runs_[id] = w->id;
  open_[w->id] = w;
  outcomes_.begin(hash_of(w->key), w->number);
  schedule(*w);
  w->machine.begin();
  advance(w);
}

// It cannot be stopped: it goes on to its end, which the key tells later.
void coordinator::pause(request_id id) {
  const auto at = runs_.find(id);
  if (at == runs_.end()) {
    behind_.pause(id);
    return;
  }
  if (const auto w = open_.find(at->second); w != open_.end()) w->second->owner = 0;
  runs_.erase(at);
  reactor_.wake();
  dispatcher_.on_end(id, run_end::aborted, {}, {});
}

void coordinator::resume(request_id id) {
  if (!runs_.contains(id)) behind_.resume(id);
}

bool coordinator::inquire(request_id id, const request& what) {
  if (plan_of(what) == nullptr) return behind_.inquire(id, what);
  reactor_.wake();
  if (!service_) {  // what another process has in the folder is not known here
    dispatcher_.on_inquired(id, inquiry_end::unknown, {});
    return true;
  }
  const std::string key = key_of(what);
  const outcome_cache::key hash = hash_of(key);
  const outcome_cache::known o = outcomes_.of(hash);
  switch (o.how) {
    // Nothing of it was ever on disk, so nobody was asked; or it was undone.
    case outcome_cache::standing::unknown: dispatcher_.on_inquired(id, inquiry_end::never_ran, {}); break;
    case outcome_cache::standing::under_way: dispatcher_.on_inquired(id, inquiry_end::unknown, {}); break;
    case outcome_cache::standing::committed:
      if (service_->get(++last_ticket_, outcome_table, outcome_key({o.which, hash}))) {
        reads_[last_ticket_] = {id, key};
      } else {
        dispatcher_.on_inquired(id, inquiry_end::unknown, {});
      }
      break;
  }
  return true;
}

void coordinator::set_share(std::size_t dependency, double most) {
  calls_.set_share(dependency, most);
  behind_.set_share(dependency, calls_.left(dependency));
}

fan_out::client::calls coordinator::calls_at(std::size_t dependency) const {
  fan_out::client::calls c = behind_.calls_at(dependency);
  c.in_flight += calls_.writes(dependency);
  c.waiting += waiting_;
  c.turned_away += calls_.turned_away(dependency);
  return c;
}

// Its calls were taken or given back: what gathers at the same dependencies has the rest of the share.
void coordinator::share_changed(const write& w) {
  for (const std::size_t d : w.plan->participants) behind_.set_share(d, calls_.left(d));
}

std::string coordinator::figures() const {
  return "writes.open=" + std::to_string(open_.size()) +
         "\nwrites.outcomes=" + std::to_string(outcomes_.size()) +
         "\nwrites.turned_away=" + std::to_string(turned_away_) +
         "\nwrites.holds_folder=" + (service_ ? "1" : "0") + "\n" +
         (disk_ ? "writes.disk_used=" + std::to_string(disk_->disk.used) +
                      "\nwrites.disk_live=" + std::to_string(disk_->disk.live) +
                      "\nwrites.disk_writable=" + (disk_->writable ? "1" : "0") + "\n"
                : std::string());
}

// ---- Steps and marks --------------------------------------------------------------------------------------

void coordinator::advance(const std::shared_ptr<write>& w) {
  while (const auto a = w->machine.pick()) {
    if (const auto* s = std::get_if<take_step>(&*a)) {
      take(w, *s);
      continue;
    }
    if (const auto* m = std::get_if<write_mark>(&*a)) {
      mark(w, m->what);
      continue;
    }
    // Under way: the dispatcher's own deadline says so.
    const tx_answer how = std::get<answer_now>(*a).how;
    if (how == tx_answer::under_way || w->owner == 0) continue;
    const request_id id = std::exchange(w->owner, 0);
    runs_.erase(id);
    reactor_.wake();
    const bool whole = how == tx_answer::committed;
    dispatcher_.on_end(id, whole ? run_end::succeeded : run_end::never_started,
                       whole ? compose_result(*w) : std::string(), net::steady_now() - w->begun);
  }
  if (w->machine.where() == transaction::stage::over) finish(w);
}

void coordinator::mark(const std::shared_ptr<write>& w, log_mark m) {
  store::batch b;
  if (m == log_mark::begun) {
    begun_write begun{w->id, config_.settings.classes[w->request_class].name, w->key, w->payload, {}};
    for (const endpoint& e : w->at)
      begun.endpoints += (begun.endpoints.empty() ? "" : " ") + e.host + ":" + std::to_string(e.port);
    b = batch_of_begun(begun);
  } else if (m != log_mark::over) {
    b = batch_of_mark(w->id, m);
  } else if (w->committed) {
    b = batch_of_over(
        w->id, std::pair(outcome_id{w->number, hash_of(w->key)}, ended_write{w->key, compose_result(*w)}));
  } else {
    b = batch_of_over(w->id, std::nullopt);
  }
  marks_[++last_ticket_] = {w->id, m};
  unsent_.emplace_back(last_ticket_, std::move(b));
  send_unsent();
}

// In their order: where the queue is full, they wait for the next step.
void coordinator::send_unsent() {
  while (!unsent_.empty() &&
         service_->commit(unsent_.front().first, unsent_.front().second, store::durability::now))
    unsent_.pop_front();
}

void coordinator::on_marked(std::uint64_t ticket, bool durable) {
  const auto at = marks_.find(ticket);
  if (at == marks_.end()) return;
  const marking m = at->second;
  marks_.erase(at);
  const auto found = open_.find(m.id);
  if (found == open_.end()) return;
  const auto w = found->second;
  if (durable) w->on_disk = std::max(w->on_disk, m.what);
  w->machine.on_logged(m.what, durable);
  advance(w);
}

void coordinator::on_read(const reading& r, const store::table_service::done& d) {
  const auto e = d.value ? read_ended(*d.value) : std::nullopt;
  const bool ours = e && e->key == r.key;
  if (!ours)
    log("writes", "a result cannot be read: %s",
        !d.fault.empty() ? d.fault.c_str()
        : e              ? "it is another one's"
                         : "it is not there");
  dispatcher_.on_inquired(r.id, ours ? inquiry_end::result : inquiry_end::unknown,
                          ours ? e->result : std::string());
}

void coordinator::take(const std::shared_ptr<write>& w, const take_step& s) {
  const dependency_config& d = config_.dependencies->endpoints[w->plan->participants[s.participant]];
  std::string bytes;
  if (const auto p = uwsgi::next_packet(w->payload, config_.bounds)) {
    std::vector<std::pair<std::string, std::string>> vars = p->vars;
    const writes_config& c = *config_.writes;
    std::erase_if(vars, [&](const auto& v) {
      return v.first == c.step_var || v.first == c.id_var || (!d.path.empty() && v.first == "PATH_INFO");
    });
    vars.emplace_back(c.step_var, name_of(s.what));
    vars.emplace_back(c.id_var, w->id);
    if (!d.path.empty()) vars.emplace_back("PATH_INFO", d.path);
    bytes = uwsgi::encode_packet(vars, p->body);
  }
  const endpoint& to = w->at[s.participant];
  if (w->talks[s.participant] != nullptr)
    step_ended(*w, s.participant, false, false);  // one that nobody waits for now
  if (upstream::endpoint_set* r = route_of(*w, s.participant)) r->on_start(w->route[s.participant]);
  w->asked[s.participant] = net::steady_now();
  try {
    w->talks[s.participant] = std::make_shared<uwsgi::exchange>(
        reactor_, config_.bounds, to, std::move(bytes),
        [this, id = w->id, s](uwsgi::exchange_end how, const uwsgi::response_head* head,
                              std::string_view response) {
          on_exchanged(id, s.participant, s.what, how, head, response);
        });
  } catch (const Poco::Exception&) {
    step_ended(*w, s.participant, true, false);
    w->machine.on_step(s.participant, s.what, step_end::unknown);
  }
}

// 2xx: yes; 409: no, for good; anything else says nothing.
void coordinator::on_exchanged(const write_id& id, std::size_t participant, step_kind what,
                               uwsgi::exchange_end how, const uwsgi::response_head* head,
                               std::string_view response) {
  const auto at = open_.find(id);
  if (at == open_.end()) return;
  const auto w = at->second;
  w->talks[participant]->close();
  reactor_.retire(std::move(w->talks[participant]));
  reactor_.wake();
  constexpr unsigned no = 409;
  step_end end = step_end::unknown;
  if (how == uwsgi::exchange_end::whole && head->status >= 200 && head->status <= 299) end = step_end::yes;
  if (how == uwsgi::exchange_end::whole && head->status == no) end = step_end::no;
  if (what == step_kind::commit && end == step_end::yes) {
    w->committed = true;
    w->results[participant] = {fan_out::part_is::fresh, {}, std::string(response.substr(head->size))};
  }
  step_ended(*w, participant, true, end != step_end::unknown);
  w->machine.on_step(participant, what, end);
  advance(w);
}

std::string coordinator::compose_result(const write& w) const {
  upstream::request_plan p;
  for (const std::size_t i : w.plan->participants)
    p.parts.push_back({config_.dependencies->endpoints[i].name, i, false, {}});
  return fan_out::assemble_response(p, w.results);
}

void coordinator::finish(const std::shared_ptr<write>& w) {
  const outcome_cache::key key = hash_of(w->key);
  if (w->committed && w->on_disk == log_mark::over) {
    outcomes_.committed(key, w->number, now() + keep_.count());
  } else {
    outcomes_.undone(key, w->number);
  }
  for (std::size_t i = 0; i < w->talks.size(); ++i)
    if (w->talks[i] != nullptr) step_ended(*w, i, false, false);
  bind_routes(*w, false);
  calls_.give_back(w->plan->participants);
  share_changed(*w);
  reserved_ -= w->room;
  due_.erase({w->due, w->id});
  open_.erase(w->id);
}

void coordinator::schedule(write& w) {
  due_.erase({w.due, w.id});
  w.due = std::min(w.decide_by, w.again_at);
  due_.emplace(w.due, w.id);
}

void coordinator::look_at(const std::shared_ptr<write>& w, time_point steady) {
  if (w->waits && calls_.take(w->plan->participants, true)) {
    w->waits = false;
    --waiting_;
    share_changed(*w);
    w->machine.resume(w->on_disk);
  }
  if (steady >= w->decide_by) {
    w->decide_by = time_point::max();
    w->machine.on_deadline();
  }
  if (steady >= w->again_at && w->waits) w->again_at = steady + config_.writes->retry;
  // A step that hangs counts as unheard once the participant's budget has passed: it is taken again on a new
  // connection.
  if (steady >= w->again_at) {
    w->again_at = steady + w->pause;
    w->pause = std::min<duration>(w->pause * 2, config_.writes->longest_retry);
    for (std::size_t i = 0; i < w->talks.size(); ++i) {
      const duration budget = config_.dependencies->rules[w->plan->participants[i]].budget;
      if (w->machine.where() == transaction::stage::preparing || w->talks[i] == nullptr ||
          steady - w->asked[i] < budget)
        continue;
      w->talks[i]->close();
      reactor_.retire(std::move(w->talks[i]));
      w->talks[i] = nullptr;
      step_ended(*w, i, true, false);
      w->machine.on_step(
          i, w->machine.where() == transaction::stage::aborting ? step_kind::abort : step_kind::commit,
          step_end::unknown);
    }
    w->machine.again();
  }
  schedule(*w);
  advance(w);
}

time_point coordinator::step(time_point steady) {
  if (!service_) {
    if (steady >= next_try_) take_folder_over(steady);
    if (!service_) return next_try_;
  }
  std::vector<store::table_service::done> done;
  const bool was_writable = disk_->writable;
  disk_ = service_->collect(done);
  if (was_writable != disk_->writable)
    log("writes", "%s", disk_->writable ? "the disk takes writes again" : disk_->fault.c_str());
  for (const auto& d : done) {
    if (d.what == store::table_service::kind::commit) {
      on_marked(d.ticket, d.fault.empty() && d.v.may);
    } else if (const auto read = reads_.find(d.ticket); read != reads_.end()) {
      const reading r = std::move(read->second);
      reads_.erase(read);
      on_read(r, d);
    }
  }
  send_unsent();
  while (!due_.empty() && due_.begin()->first <= steady) {
    const auto w = open_.find(due_.begin()->second);
    if (w == open_.end()) {
      due_.erase(due_.begin());
    } else {
      look_at(std::shared_ptr<write>(w->second), steady);
    }
  }
  if (steady >= next_ageing_) {
    next_ageing_ = steady + age_every;
    outcomes_.age(now());
  }
  const time_point next = outcomes_.next_ageing() != 0 ? next_ageing_ : time_point::max();
  return due_.empty() ? next : std::min(next, due_.begin()->first);
}

}  // namespace marblewharf::transaction
