#include "dependencies/writer.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <sstream>
#include <utility>

#include "dependencies/compose.hpp"
#include "uwsgi/packet.hpp"

namespace marblewharf::dependencies {

using telemetry::log;

namespace {

constexpr duration age_every = std::chrono::seconds(1);
constexpr std::uint32_t record_type = 16;
constexpr std::size_t id_size = 32;

// A mark on disk: id, expiry, mark, whether it committed; then class, key, payload and endpoints, each with its length.
// What only matters with some marks is empty in others. Marks of before endpoints were chosen end after the payload.
struct mark_record {
  std::string id;
  std::int64_t expiry = 0;
  log_mark what{};
  bool committed = false;
  std::string request_class, key, payload;
  std::string endpoints;  // of its participants, as host:port with a blank between; empty: the first of each
};

std::string encode(const mark_record& m) {
  std::string out = m.id;
  const auto put = [&out](auto value) { out.append(reinterpret_cast<const char*>(&value), sizeof value); };
  put(m.expiry);
  put(static_cast<std::uint32_t>(m.what));
  put(static_cast<std::uint32_t>(m.committed));
  for (const std::string* text : {&m.request_class, &m.key, &m.payload, &m.endpoints}) {
    put(static_cast<std::uint32_t>(text->size()));
    out += *text;
  }
  return out;
}

std::optional<mark_record> decode(std::uint32_t type, std::string_view in) {
  constexpr std::size_t fixed = id_size + 16;
  if (type != record_type || in.size() < fixed) return std::nullopt;
  mark_record m;
  m.id = in.substr(0, id_size);
  std::uint32_t what = 0, committed = 0;
  std::memcpy(&m.expiry, in.data() + id_size, 8);
  std::memcpy(&what, in.data() + id_size + 8, 4);
  std::memcpy(&committed, in.data() + id_size + 12, 4);
  m.what = static_cast<log_mark>(what);
  m.committed = committed != 0;
  in.remove_prefix(fixed);
  for (std::string* text : {&m.request_class, &m.key, &m.payload, &m.endpoints}) {
    std::uint32_t size = 0;
    if (in.empty() && text == &m.endpoints) break;
    if (in.size() < sizeof size) return std::nullopt;
    std::memcpy(&size, in.data(), sizeof size);
    in.remove_prefix(sizeof size);
    if (size > in.size()) return std::nullopt;
    *text = in.substr(0, size);
    in.remove_prefix(size);
  }
  return m;
}

const char* name_of(step_kind what) {
  switch (what) {
    case step_kind::prepare: return "prepare";
    case step_kind::commit: return "commit";
    case step_kind::abort: return "abort";
  }
  return "";
}

}  // namespace

struct writer::write {
  write_id id;
  std::size_t request_class = 0;
  std::string key;
  std::string payload;
  const write_plan* plan = nullptr;
  transaction machine;
  request_id owner = 0;  // 0 = whoever asked has gone, or heard
  time_point begun{};
  time_point decide_by = time_point::max();
  time_point again_at{};
  duration pause{};  // before the next again
  bool committed = false;
  std::int64_t expiry = 0;
  log_mark recovered{};
  std::vector<std::shared_ptr<uwsgi::exchange>> talks;  // by participant
  std::vector<part_result> results;                     // by participant, of its commit
  std::vector<endpoint> at;                             // by participant: the one endpoint that all its steps go to
  std::vector<std::size_t> route;                       // the same, by its number
  std::vector<time_point> asked;                        // by participant: its step in flight

  write(std::vector<part_kind> kinds, const write_plan& p)
      : plan(&p), machine(std::move(kinds)), talks(p.participants.size()), results(p.participants.size()),
        route(p.participants.size()), asked(p.participants.size()) {}
};

writer::writer(net::reactor& r, const config& settings, dispatcher& d, backend& behind, store::file_system& fs,
               std::uint64_t random, std::function<void()> notify)
    : reactor_(r), config_(settings), dispatcher_(d), behind_(behind), random_(random), draws_(random) {
  const writes_config& w = *config_.writes;
  for (const dependency_rules& rules : config_.dependencies->rules)
    routes_.emplace_back(rules.endpoints, rules.health, rules.near);
  store::log_options o;
  o.folder = w.folder;
  o.segment = w.segment;
  o.space = w.space;
  o.salt = random;
  auto marks = std::make_unique<store::log>(
      fs, o,
      [](std::uint32_t type, std::string_view body) {
        const auto m = decode(type, body);
        return m ? m->expiry : 0;
      },
      [this](std::uint32_t type, std::string_view body, const store::position&) { recover(type, body); });
  clock_ = keyed::ageing_clock(std::chrono::system_clock::now().time_since_epoch(),
                               std::chrono::nanoseconds(marks->counts().latest), net::steady_now());
  marks->open(now());
  store::committer_options c;
  committer_ = std::make_unique<store::committer>(
      std::move(marks), c,
      [clock = clock_] { return clock.at(std::chrono::steady_clock::now().time_since_epoch()); }, std::move(notify));
  log("writes", "%s: %zu open, %zu outcomes known", w.folder.c_str(), open_.size(), outcomes_.size());
  for (const auto& [id, open] : std::unordered_map(open_)) {
    open->machine.resume(open->recovered);
    advance(open);
  }
}

writer::~writer() = default;

std::int64_t writer::now() const {
  return clock_.at(net::steady_now());
}

// As the keyed results know it: by tenant, class and key; by name, since numbers may change from one start to the next, and
// a write that is not found counts as one that never ran.
std::string writer::key_of(const request& what) const {
  const auto& tenants = config_.settings.tenants;
  std::string key = what.tenant < tenants.size() ? tenants[what.tenant].name : std::string();
  key += '\0';
  key += config_.settings.classes[what.request_class].name;
  key += '\0';
  return key += what.key;
}

std::shared_ptr<writer::write> writer::make(const write_id& id, std::size_t request_class, std::string payload,
                                            std::string key) {
  const write_plan* plan = nullptr;
  for (const write_plan& p : config_.writes->plans) {
    if (p.request_class == request_class) plan = &p;
  }
  if (plan == nullptr) return nullptr;
  std::vector<part_kind> kinds;
  for (const std::size_t p : plan->participants)
    kinds.push_back(config_.dependencies->endpoints[p].one_phase ? part_kind::one_phase : part_kind::two_phase);
  auto w = std::make_shared<write>(std::move(kinds), *plan);
  w->id = id;
  w->request_class = request_class;
  w->payload = std::move(payload);
  w->key = std::move(key);
  w->begun = net::steady_now();
  w->pause = config_.writes->retry;
  w->again_at = w->begun + w->pause;
  for (const std::size_t p : plan->participants) w->at.push_back(config_.dependencies->endpoints[p].at.front());
  return w;
}

// Once for each write, before it begins: what a participant has promised its endpoint alone knows. Where places are not
// known it is the first.
void writer::choose_endpoints(write& w) {
  for (std::size_t i = 0; i < w.at.size(); ++i) {
    const std::size_t d = w.plan->participants[i];
    if (config_.dependencies->endpoints[d].places.empty()) continue;
    w.route[i] = routes_[d].choose(w.begun, draws_(), true).value_or(0);
    w.at[i] = config_.dependencies->endpoints[d].at[w.route[i]];
  }
}

// None where the endpoint is no longer configured.
endpoints* writer::route_of(const write& w, std::size_t participant) {
  endpoints& all = routes_[w.plan->participants[participant]];
  return w.route[participant] < all.count() ? &all : nullptr;
}

// How an endpoint fares tells where the next writes go.
void writer::step_ended(const write& w, std::size_t participant, bool told, bool well) {
  const time_point at = net::steady_now();
  if (endpoints* r = route_of(w, participant)) r->on_end(w.route[participant], at, at - w.asked[participant], told, well);
}

void writer::routes_changed(const std::function<bool(const std::string&)>& routable) {
  for (std::size_t d = 0; d < routes_.size(); ++d) {
    const std::vector<std::string>& places = config_.dependencies->endpoints[d].places;
    for (std::size_t e = 0; e < places.size(); ++e) routes_[d].set_reachable(e, routable(places[e]));
  }
}

void writer::recover(std::uint32_t type, std::string_view body) {
  const auto m = decode(type, body);
  if (!m) return;
  if (m->what == log_mark::begun) {
    std::size_t i = 0;
    while (i < config_.settings.classes.size() && config_.settings.classes[i].name != m->request_class) ++i;
    auto w = i < config_.settings.classes.size() ? make(m->id, i, m->payload, m->key) : nullptr;
    if (!w) {
      log("writes", "a write of %s is open and has no plan any more: it is left as it is", m->request_class.c_str());
      return;
    }
    w->expiry = m->expiry;
    w->recovered = log_mark::begun;
    std::istringstream at(m->endpoints);
    std::string address;
    for (std::size_t p = 0; p < w->at.size() && at >> address; ++p) {
      const std::size_t colon = address.rfind(':');
      w->at[p] = {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
      const auto& known = config_.dependencies->endpoints[w->plan->participants[p]].at;
      w->route[p] = static_cast<std::size_t>(std::find(known.begin(), known.end(), w->at[p]) - known.begin());
    }
    outcomes_[w->key] = {false, false, w->id, {}, m->expiry};
    open_[m->id] = std::move(w);
    return;
  }
  const auto at = open_.find(m->id);
  if (at == open_.end()) return;
  at->second->recovered = m->what;
  if (m->what == log_mark::decided) at->second->committed = true;
  if (m->what != log_mark::over) return;
  outcomes_[at->second->key] = {true, m->committed, m->id, m->payload, m->expiry};
  open_.erase(at);
}

// ---- backend ----------------------------------------------------------------------------------------------

void writer::run(request_id id, const request& what) {
  char name[id_size + 1];
  std::snprintf(name, sizeof name, "%016llx%016llx", static_cast<unsigned long long>(random_),
                static_cast<unsigned long long>(static_cast<std::uint64_t>(now()) + ++last_number_));
  const auto w = make(name, what.request_class, what.payload, key_of(what));
  if (!w) {
    behind_.run(id, what);
    return;
  }
  const std::uint64_t needed = 8 * store::room_for(what.payload.size() + 1024) + store::room_for(config_.bounds.write_buffer);
  if (!writable_ || room_ < needed * (open_.size() + 1)) {
    reactor_.wake();
    dispatcher_.on_end(id, run_end::never_started, {}, {});
    return;
  }
  w->owner = id;
  choose_endpoints(*w);
  const auto& c = config_.settings.classes[what.request_class];
  w->decide_by = what.arrived + (c.aim.count() > 0 ? c.aim : c.deadline) - w->plan->reserve;
  w->expiry = now() + w->plan->window.count();
  runs_[id] = w->id;
  open_[w->id] = w;
  outcomes_[w->key] = {false, false, w->id, {}, w->expiry};
  w->machine.begin();
  advance(w);
}

// It cannot be stopped: it goes on to its end, which the key tells later.
void writer::pause(request_id id) {
  const auto at = runs_.find(id);
  if (at == runs_.end()) {
    behind_.pause(id);
    return;
  }
  if (const auto w = open_.find(at->second); w != open_.end()) w->second->owner = 0;
  runs_.erase(at);
  reactor_.wake();
  dispatcher_.on_end(id, run_end::broken_off, {}, {});
}

void writer::resume(request_id id) {
  if (!runs_.contains(id)) behind_.resume(id);
}

bool writer::inquire(request_id id, const request& what) {
  const auto known = outcomes_.find(key_of(what));
  if (known == outcomes_.end()) {
    const bool ours = std::any_of(config_.writes->plans.begin(), config_.writes->plans.end(),
                                  [&](const write_plan& p) { return p.request_class == what.request_class; });
    if (!ours) return behind_.inquire(id, what);
    // Nothing of it was ever on disk: nobody was asked.
    reactor_.wake();
    dispatcher_.on_inquired(id, inquiry_end::never_ran, {});
    return true;
  }
  const outcome& o = known->second;
  reactor_.wake();
  dispatcher_.on_inquired(id, !o.over        ? inquiry_end::unknown
                              : o.committed ? inquiry_end::result
                                            : inquiry_end::never_ran,
                          std::string(o.result));
  return true;
}

// ---- Steps and marks --------------------------------------------------------------------------------------

void writer::advance(const std::shared_ptr<write>& w) {
  while (const auto a = w->machine.pick()) {
    if (const auto* s = std::get_if<take_step>(&*a)) {
      take(w, *s);
    } else if (const auto* m = std::get_if<write_mark>(&*a)) {
      mark(w, m->what);
    } else if (std::get<answer_now>(*a).how == tx_answer::failed && w->owner != 0) {
      const request_id id = std::exchange(w->owner, 0);
      runs_.erase(id);
      reactor_.wake();
      dispatcher_.on_end(id, run_end::never_started, {}, net::steady_now() - w->begun);
    }  // committed: with the result, once all is over; under way: the dispatcher's own deadline says so
  }
  if (w->machine.where() == transaction::stage::over) finish(w);
}

void writer::mark(const std::shared_ptr<write>& w, log_mark m) {
  mark_record r{w->id, w->expiry, m, w->committed, {}, {}, {}, {}};
  if (m == log_mark::begun) {
    r.request_class = config_.settings.classes[w->request_class].name;
    r.key = w->key;
    r.payload = w->payload;
    for (const endpoint& e : w->at) r.endpoints += (r.endpoints.empty() ? "" : " ") + e.host + ":" + std::to_string(e.port);
  }
  if (m == log_mark::over && w->committed) r.payload = compose_result(*w);
  const std::uint64_t ticket = ++last_ticket_;
  marks_[ticket] = {w->id, m};
  if (!committer_->write(ticket, {{record_type, encode(r)}, w->expiry})) {
    marks_.erase(ticket);
    w->machine.on_logged(m, false);
  }
}

void writer::take(const std::shared_ptr<write>& w, const take_step& s) {
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
  if (w->talks[s.participant] != nullptr) step_ended(*w, s.participant, false, false);  // one that nobody waits for now
  if (endpoints* r = route_of(*w, s.participant)) r->on_start(w->route[s.participant]);
  w->asked[s.participant] = net::steady_now();
  try {
    w->talks[s.participant] = std::make_shared<uwsgi::exchange>(
        reactor_, config_.bounds, to, std::move(bytes),
        [this, id = w->id, s](uwsgi::exchange_end how, const uwsgi::response_head* head, std::string_view response) {
          on_exchanged(id, s.participant, s.what, how, head, response);
        });
  } catch (const Poco::Exception&) {
    step_ended(*w, s.participant, true, false);
    w->machine.on_step(s.participant, s.what, step_end::unknown);
  }
}

// 2xx: yes; 409: no, for good; anything else says nothing.
void writer::on_exchanged(const write_id& id, std::size_t participant, step_kind what, uwsgi::exchange_end how,
                          const uwsgi::response_head* head, std::string_view response) {
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
    w->results[participant] = {part_is::fresh, {}, std::string(response.substr(head->size))};
  }
  step_ended(*w, participant, true, end != step_end::unknown);
  w->machine.on_step(participant, what, end);
  advance(w);
}

std::string writer::compose_result(const write& w) const {
  plan p;
  for (const std::size_t i : w.plan->participants) p.parts.push_back({config_.dependencies->endpoints[i].name, i, false, {}});
  return compose(p, w.results);
}

void writer::finish(const std::shared_ptr<write>& w) {
  outcome o{true, w->committed, w->id, w->committed ? compose_result(*w) : std::string(), w->expiry};
  const auto known = outcomes_.find(w->key);
  if (known == outcomes_.end() || known->second.of == w->id) outcomes_[w->key] = o;
  for (std::size_t i = 0; i < w->talks.size(); ++i)
    if (w->talks[i] != nullptr) step_ended(*w, i, false, false);
  open_.erase(w->id);
  const request_id id = std::exchange(w->owner, 0);
  if (id == 0) return;
  runs_.erase(id);
  reactor_.wake();
  dispatcher_.on_end(id, w->committed ? run_end::fine : run_end::never_started, o.result, net::steady_now() - w->begun);
}

time_point writer::step(time_point steady) {
  std::vector<store::committer::done> done;
  const auto c = committer_->collect(done);
  room_ = c.room;
  writable_ = c.writable;
  for (const auto& d : done) {
    const auto at = marks_.find(d.ticket);
    if (at == marks_.end()) continue;
    const auto [id, m] = at->second;
    marks_.erase(at);
    const auto w = open_.find(id);
    if (w == open_.end()) continue;
    const auto kept = w->second;
    kept->machine.on_logged(m, d.ok);
    advance(kept);
  }
  if (steady < next_look_) return next_look_;
  next_look_ = steady + config_.writes->retry / 4;
  std::vector<std::shared_ptr<write>> all;
  for (const auto& [id, w] : open_) all.push_back(w);
  for (const auto& w : all) {
    if (steady >= w->decide_by) {
      w->decide_by = time_point::max();
      w->machine.on_deadline();
    }
    // A step that hangs counts as unheard: it is taken again on a new connection.
    if (steady >= w->again_at) {
      w->again_at = steady + w->pause;
      w->pause = std::min<duration>(w->pause * 2, config_.writes->longest_retry);
      for (std::size_t i = 0; i < w->talks.size(); ++i) {
        if (w->machine.where() == transaction::stage::preparing || w->talks[i] == nullptr) continue;
        w->talks[i]->close();
        reactor_.retire(std::move(w->talks[i]));
        w->talks[i] = nullptr;
        step_ended(*w, i, true, false);
        w->machine.on_step(i, w->machine.where() == transaction::stage::aborting ? step_kind::abort : step_kind::commit,
                           step_end::unknown);
      }
      w->machine.again();
    }
    advance(w);
  }
  std::erase_if(outcomes_, [&](const auto& o) { return o.second.over && o.second.expiry <= now(); });
  return next_look_;
}

}  // namespace marblewharf::dependencies
