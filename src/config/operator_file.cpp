#include "config/operator_file.hpp"

#include <confuse.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "config/units.hpp"
#include "store/cleaning.hpp"

namespace marblewharf {
namespace {

// What libconfuse tells while it parses: it hands no context to its callbacks, so one parse at a time in a
// thread leaves its notes here.
struct notes {
  std::map<const cfg_opt_t*, int> lines;  // where each value stands
  std::string fault;                      // the first one
};
thread_local notes* current = nullptr;

int note_line(cfg_t* cfg, cfg_opt_t* opt) {
  current->lines[opt] = cfg->line;
  return 0;
}

[[gnu::format(printf, 2, 0)]] void note_fault(cfg_t* cfg, const char* format, va_list arguments) {
  if (!current->fault.empty()) return;
  char text[512];
  std::vsnprintf(text, sizeof text, format, arguments);
  const int line = cfg != nullptr ? cfg->line : 0;
  current->fault = std::to_string(line) + ": " + text;
}

struct freed {
  void operator()(cfg_t* cfg) const { cfg_free(cfg); }
};

// One section of the file, and the messages about what stands in it.
class section {
 public:
  section(cfg_t* cfg, const notes& n, const std::string& path, std::string name)
      : cfg_(cfg), notes_(n), path_(path), name_(std::move(name)) {}

  bool has(const char* key) const { return cfg_size(cfg_, key) > 0; }
  std::string text(const char* key) const {
    const char* value = cfg_getstr(cfg_, key);
    return value != nullptr ? value : "";
  }
  std::string needed(const char* key) const {
    if (text(key).empty()) fail(key, "is missing");
    return text(key);
  }
  std::vector<std::string> list(const char* key) const {
    std::vector<std::string> items;
    for (unsigned i = 0; i < cfg_size(cfg_, key); ++i) items.emplace_back(cfg_getnstr(cfg_, key, i));
    return items;
  }
  std::chrono::nanoseconds time(const char* key, std::chrono::nanoseconds least,
                                std::chrono::nanoseconds most) const {
    const auto value = parse_time(text(key));
    if (!value) fail(key, "is no time such as 90s or 24h", text(key));
    if (*value < least || *value > most) fail(key, "is out of bounds", text(key));
    return *value;
  }
  std::uint64_t bytes(const char* key, std::uint64_t least, std::uint64_t most) const {
    return within(key, parse_bytes(text(key)), "is no size such as 64MiB", least, most);
  }
  std::uint64_t count(const char* key, std::uint64_t least, std::uint64_t most) const {
    return within(key, parse_count(text(key)), "is no whole number", least, most);
  }
  double number(const char* key, double least, double most) const {
    const std::string value = text(key);
    double parsed = 0;
    const char* end = value.data() + value.size();
    if (std::from_chars(value.data(), end, parsed, std::chars_format::fixed).ptr != end || value.empty())
      fail(key, "is no number", value);
    if (!(parsed >= least && parsed <= most)) fail(key, "is out of bounds", value);
    return parsed;
  }
  bool flag(const char* key) const {
    const std::string value = text(key);
    if (value == "yes" || value == "on" || value == "true") return true;
    if (value == "no" || value == "off" || value == "false") return false;
    fail(key, "is neither yes nor no", value);
  }
  endpoint address(const char* key, const std::string& value) const {
    const std::size_t colon = value.rfind(':');
    unsigned port = 0;
    const char* end = value.data() + value.size();
    if (colon == std::string::npos || colon == 0 ||
        std::from_chars(value.data() + colon + 1, end, port).ptr != end || port > 65535)
      fail(key, "is no host:port", value);
    return {value.substr(0, colon), static_cast<std::uint16_t>(port)};
  }

  [[noreturn]] void fail(const char* key, const std::string& what, const std::string& found = {}) const {
    const cfg_opt_t* opt = key != nullptr ? cfg_getopt(cfg_, key) : nullptr;
    const auto at = notes_.lines.find(opt);
    const int line = at != notes_.lines.end() ? at->second : cfg_->line;
    std::string text = path_ + ":" + std::to_string(line) + ": " + name_;
    if (key != nullptr) text += std::string(".") + key;
    text += " " + what;
    if (!found.empty()) text += ": \"" + found + "\"";
    if (at == notes_.lines.end()) text += " (the section ends on this line)";  // libconfuse keeps no other
    throw bad_config(text);
  }

 private:
  std::uint64_t within(const char* key, std::optional<std::uint64_t> value, const char* what,
                       std::uint64_t least, std::uint64_t most) const {
    if (!value) fail(key, what, text(key));
    if (*value < least || *value > most)
      fail(key, "is not from " + std::to_string(least) + " to " + std::to_string(most), text(key));
    return *value;
  }

  cfg_t* cfg_;
  const notes& notes_;
  const std::string& path_;
  std::string name_;
};

class operator_file {
 public:
  explicit operator_file(const std::string& path) : path_(path) {
    // The table of what may stand in the file. Values are texts: units and bounds are judged by us, with the
    // line.
    static cfg_opt_t uwsgi[] = {CFG_STR("listen", nullptr, CFGF_NONE),
                                CFG_STR_LIST("servers", nullptr, CFGF_NONE),
                                CFG_STR("class_var", nullptr, CFGF_NONE),
                                CFG_STR("tenant_var", nullptr, CFGF_NONE),
                                CFG_STR("cost_var", nullptr, CFGF_NONE),
                                CFG_STR("held", "40KiB", CFGF_NONE),
                                CFG_END()};
    static cfg_opt_t request_class[] = {CFG_STR_LIST("uwsgi_values", nullptr, CFGF_NONE),
                                        CFG_STR("uwsgi_cost", nullptr, CFGF_NONE),
                                        CFG_STR("keyed", "no", CFGF_NONE),
                                        CFG_STR("window", "24h", CFGF_NONE),
                                        CFG_STR("reserve", "50ms", CFGF_NONE),
                                        CFG_STR("worth_without", "0", CFGF_NONE),
                                        CFG_STR_LIST("participants", nullptr, CFGF_NONE),
                                        CFG_END()};
    static cfg_opt_t tenant[] = {CFG_STR_LIST("uwsgi_values", nullptr, CFGF_NONE), CFG_END()};
    static cfg_opt_t keyed[] = {CFG_STR("folder", nullptr, CFGF_NONE),
                                CFG_STR("scrub", "0s", CFGF_NONE),
                                CFG_STR("uwsgi_var", nullptr, CFGF_NONE),
                                CFG_STR("thrift_field", nullptr, CFGF_NONE),
                                CFG_STR("longest_key", "255", CFGF_NONE),
                                CFG_STR("space", "1GiB", CFGF_NONE),
                                CFG_STR("entries", "1000000", CFGF_NONE),
                                CFG_STR("segment", "8MiB", CFGF_NONE),
                                CFG_STR("finish_within", "10s", CFGF_NONE),
                                CFG_STR("retry_disk", "500ms", CFGF_NONE),
                                CFG_STR("inquiry_var", nullptr, CFGF_NONE),
                                CFG_STR("inquiry_value", nullptr, CFGF_NONE),
                                CFG_STR("inquiry_tries", "3", CFGF_NONE),
                                CFG_STR("inquiry_pause", "200ms", CFGF_NONE),
                                CFG_END()};
    static cfg_opt_t common[] = {CFG_STR("budget_var", nullptr, CFGF_NONE),
                                 CFG_STR("cache", "8MiB", CFGF_NONE), CFG_END()};
    static cfg_opt_t dependency[] = {CFG_STR_LIST("endpoints", nullptr, CFGF_NONE),
                                     CFG_STR("path", nullptr, CFGF_NONE),
                                     CFG_STR("budget", "1s", CFGF_NONE),
                                     CFG_STR("tries", "2", CFGF_NONE),
                                     CFG_STR("retry_share", "0.1", CFGF_NONE),
                                     CFG_STR("retry_floor", "1", CFGF_NONE),
                                     CFG_STR("hedge_quantile", "0.95", CFGF_NONE),
                                     CFG_STR("hedge_share", "0.05", CFGF_NONE),
                                     CFG_STR("most_in_flight", "64", CFGF_NONE),
                                     CFG_STR("failures", "5", CFGF_NONE),
                                     CFG_STR("out", "2s", CFGF_NONE),
                                     CFG_STR("most_out", "0.5", CFGF_NONE),
                                     CFG_STR("ramp", "5s", CFGF_NONE),
                                     CFG_STR("fade", "2s", CFGF_NONE),
                                     CFG_STR("one_phase", "no", CFGF_NONE),
                                     CFG_STR_LIST("places", nullptr, CFGF_NONE),
                                     CFG_STR("overprovisioning", "1.4", CFGF_NONE),
                                     CFG_STR("panic", "0.5", CFGF_NONE),
                                     CFG_STR("most_each", "0", CFGF_NONE),
                                     CFG_END()};
    static cfg_opt_t writes[] = {
        CFG_STR("folder", nullptr, CFGF_NONE),     CFG_STR("segment", "8MiB", CFGF_NONE),
        CFG_STR("space", "256MiB", CFGF_NONE),     CFG_STR("step_var", nullptr, CFGF_NONE),
        CFG_STR("id_var", nullptr, CFGF_NONE),     CFG_STR("retry", "200ms", CFGF_NONE),
        CFG_STR("longest_retry", "5s", CFGF_NONE), CFG_STR("outcomes", "1000000", CFGF_NONE),
        CFG_STR("scrub", "0s", CFGF_NONE),         CFG_END()};
    static cfg_opt_t background[] = {
        CFG_STR("workers", "1", CFGF_NONE),    CFG_STR("cpu", "0.1", CFGF_NONE),
        CFG_STR("read", "16MiB", CFGF_NONE),   CFG_STR("quiet", "0.5", CFGF_NONE),
        CFG_STR("busy", "0.85", CFGF_NONE),    CFG_STR("calm", "1s", CFGF_NONE),
        CFG_STR("deadline", "24h", CFGF_NONE), CFG_END()};
    static cfg_opt_t part[] = {CFG_STR("class", nullptr, CFGF_NONE), CFG_STR("from", nullptr, CFGF_NONE),
                               CFG_STR("required", "no", CFGF_NONE),
                               CFG_STR_LIST("fallback", nullptr, CFGF_NONE), CFG_END()};
    static cfg_opt_t fleet[] = {CFG_STR("name", nullptr, CFGF_NONE),
                                CFG_STR("listen", nullptr, CFGF_NONE),
                                CFG_STR("advertise", nullptr, CFGF_NONE),
                                CFG_STR("zone", nullptr, CFGF_NONE),
                                CFG_STR_LIST("seeds", nullptr, CFGF_NONE),
                                CFG_STR("probe_interval", "500ms", CFGF_NONE),
                                CFG_STR("probe_timeout", "200ms", CFGF_NONE),
                                CFG_STR("indirect_probes", "3", CFGF_NONE),
                                CFG_STR("suspicion_min_rounds", "4", CFGF_NONE),
                                CFG_STR("suspicion_max_factor", "6", CFGF_NONE),
                                CFG_STR("suspicion_confirmations", "3", CFGF_NONE),
                                CFG_STR("retransmits", "4", CFGF_NONE),
                                CFG_STR("gossip_per_message", "8", CFGF_NONE),
                                CFG_STR("refresh_per_message", "2", CFGF_NONE),
                                CFG_STR("health_most", "8", CFGF_NONE),
                                CFG_STR("reconnect_every", "5", CFGF_NONE),
                                CFG_STR("hold_down", "10s", CFGF_NONE),
                                CFG_STR("vote_lease", "10s", CFGF_NONE),
                                CFG_STR("votes_per_message", "12", CFGF_NONE),
                                CFG_STR("start_grace", "5s", CFGF_NONE),
                                CFG_END()};
    static cfg_opt_t zone[] = {CFG_STR("region", nullptr, CFGF_NONE),
                               CFG_STR_LIST("members", nullptr, CFGF_NONE), CFG_END()};
    static cfg_opt_t budget_rules[] = {
        CFG_STR("lease", "2s", CFGF_NONE),     CFG_STR("renew", "500ms", CFGF_NONE),
        CFG_STR("settle", nullptr, CFGF_NONE), CFG_STR("drift", "0.01", CFGF_NONE),
        CFG_STR("reserve", "0.05", CFGF_NONE), CFG_STR("clock_rate", "1", CFGF_NONE),
        CFG_STR("audit", "no", CFGF_NONE),     CFG_END()};
    static cfg_opt_t budget[] = {CFG_STR("unit", nullptr, CFGF_NONE),
                                 CFG_STR("whole", nullptr, CFGF_NONE),
                                 CFG_STR("safe", "0", CFGF_NONE),
                                 CFG_STR("weight", "1", CFGF_NONE),
                                 CFG_STR("tenant", nullptr, CFGF_NONE),
                                 CFG_STR("class", nullptr, CFGF_NONE),
                                 CFG_STR("dependency", nullptr, CFGF_NONE),
                                 CFG_STR("settle", nullptr, CFGF_NONE),
                                 CFG_END()};
    static cfg_opt_t all[] = {
        CFG_SEC("uwsgi", uwsgi, CFGF_NODEFAULT),
        CFG_SEC("keyed", keyed, CFGF_NODEFAULT),
        CFG_SEC("background", background, CFGF_NODEFAULT),
        CFG_SEC("fleet", fleet, CFGF_NODEFAULT),
        CFG_SEC("budgets", budget_rules, CFGF_NODEFAULT),
        CFG_SEC("budget", budget, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("zone", zone, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("class", request_class, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("dependencies", common, CFGF_NODEFAULT),
        CFG_SEC("writes", writes, CFGF_NODEFAULT),
        CFG_SEC("dependency", dependency, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("part", part, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_SEC("tenant", tenant, CFGF_MULTI | CFGF_TITLE | CFGF_NO_TITLE_DUPES),
        CFG_END()};
    cfg_.reset(cfg_init(all, CFGF_NONE));
    cfg_set_error_function(cfg_.get(), note_fault);
    for (const auto& [name, options] : {std::pair{"uwsgi", uwsgi},
                                        {"keyed", keyed},
                                        {"class", request_class},
                                        {"tenant", tenant},
                                        {"dependencies", common},
                                        {"writes", writes},
                                        {"dependency", dependency},
                                        {"part", part},
                                        {"background", background},
                                        {"fleet", fleet},
                                        {"zone", zone},
                                        {"budgets", budget_rules},
                                        {"budget", budget}}) {
      for (const cfg_opt_t* o = options; o->name != nullptr; ++o)
        cfg_set_validate_func(cfg_.get(), (std::string(name) + "|" + o->name).c_str(), note_line);
    }
    current = &notes_;
    const int how = cfg_parse(cfg_.get(), path.c_str());
    current = nullptr;
    if (how == CFG_FILE_ERROR) throw bad_config(path + ": cannot be read: " + std::strerror(errno));
    if (how != CFG_SUCCESS)
      throw bad_config(path + ":" + (notes_.fault.empty() ? "0: no settings" : notes_.fault));
  }

  void apply(config& c) const {
    uwsgi_config second;
    keyed_config keys;
    second.default_cost.assign(c.settings.classes.size(), 0);
    keys.windows.assign(c.settings.classes.size(), {});
    read_classes(c.settings, second, keys);
    each("tenant", [&](const section& s, const std::string& title) {
      index_of(s, c.settings.tenants, title);
      map_values(s, second.tenant, title);
    });
    read_fleet(c);  // first: dependencies name places in it
    if (cfg_size(cfg_.get(), "uwsgi") > 0) turn_on_uwsgi(c, read_uwsgi(std::move(second)));
    if (cfg_size(cfg_.get(), "dependency") > 0) turn_on_dependencies(c, read_dependencies(c));
    if (cfg_size(cfg_.get(), "keyed") > 0) {
      turn_on_keys(c, read_keyed(c, std::move(keys)));
    } else if (std::any_of(keys.windows.begin(), keys.windows.end(), [](auto w) { return w.count() > 0; })) {
      throw bad_config(path_ + ":0: keyed is missing, and a class has keyed = yes");
    }
    read_writes(c);
    read_budgets(c);
    read_background(c);
  }

 private:
  template <typename F>
  void each(const char* kind, F&& f) const {
    for (unsigned i = 0; i < cfg_size(cfg_.get(), kind); ++i) {
      cfg_t* one = cfg_getnsec(cfg_.get(), kind, i);
      const std::string title = cfg_title(one);
      f(section(one, notes_, path_, std::string(kind) + " \"" + title + "\""), title);
    }
  }
  section only(const char* kind) const { return {cfg_getsec(cfg_.get(), kind), notes_, path_, kind}; }

  template <typename T>
  std::size_t index_of(const section& s, const std::vector<T>& known, const std::string& title) const {
    const auto at = std::find_if(known.begin(), known.end(), [&](const T& k) { return k.name == title; });
    if (at == known.end()) s.fail(nullptr, "names nothing in the settings");
    return static_cast<std::size_t>(at - known.begin());
  }
  static void map_values(const section& s, var_mapping& m, const std::string& title) {
    for (const std::string& value : s.list("uwsgi_values")) {
      if (!m.values.emplace(value, title).second) s.fail("uwsgi_values", "names a value twice", value);
    }
  }

  void read_classes(admission_policy::settings& known, uwsgi_config& second, keyed_config& keys) const {
    constexpr auto most_cost = std::chrono::seconds(1000);
    constexpr auto longest = std::chrono::hours(24 * 400);
    each("class", [&](const section& s, const std::string& title) {
      const std::size_t i = index_of(s, known.classes, title);
      map_values(s, second.request_class, title);
      if (!s.text("uwsgi_cost").empty())
        second.default_cost[i] =
            std::chrono::duration<double, std::milli>(s.time("uwsgi_cost", {}, most_cost)).count();
      if (const double worth = s.number("worth_without", 0, 1); worth > 0)
        known.classes[i].weight_without_call = worth;
      if (!s.flag("keyed")) return;
      // A request may be open for its whole deadline: a key that ages out before could run twice.
      keys.windows[i] = s.time("window", known.classes[i].deadline * 2, longest);
    });
  }

  uwsgi_config read_uwsgi(uwsgi_config u) const {
    const section s = only("uwsgi");
    u.listen = s.address("listen", s.needed("listen"));
    for (const std::string& server : s.list("servers")) u.servers.push_back(s.address("servers", server));
    if (u.servers.empty()) s.fail("servers", "names no server");
    u.request_class.var = s.needed("class_var");
    u.tenant.var = s.needed("tenant_var");
    u.cost.var = s.text("cost_var");
    constexpr double kib = 1024;
    u.reserved_kb = static_cast<double>(s.bytes("held", 100, 2000 * 1024)) / kib;
    return u;
  }

  keyed_config read_keyed(const config& c, keyed_config k) const {
    using namespace std::chrono_literals;
    const section s = only("keyed");
    k.folder = s.needed("folder");
    k.uwsgi_var = s.text("uwsgi_var");
    k.thrift_field = s.text("thrift_field");
    if (k.uwsgi_var.empty() && k.thrift_field.empty())
      s.fail("uwsgi_var", "and thrift_field are both missing");
    if (c.uwsgi && k.uwsgi_var.empty()) s.fail("uwsgi_var", "is missing, and uwsgi is on");
    k.longest_key = s.count("longest_key", 8, 1024);
    k.segment = s.bytes("segment", 64 << 10, std::uint64_t{1} << 30);
    k.space = s.bytes("space", 4 * k.segment, std::uint64_t{1} << 50);
    k.entries = s.count("entries", 16, 100'000'000);
    k.finish_within = s.time("finish_within", 0s, 3600s);
    k.retry_disk = s.time("retry_disk", 10ms, 3600s);
    k.inquiry_var = s.text("inquiry_var");
    k.inquiry_value = s.text("inquiry_value");
    if (k.inquiry_var.empty() != k.inquiry_value.empty())
      s.fail("inquiry_var", "and inquiry_value go together");
    if (!k.inquiry_var.empty() && !c.uwsgi) s.fail("inquiry_var", "is set, and uwsgi is off");
    k.inquiry_tries = static_cast<unsigned>(s.count("inquiry_tries", 1, 100));
    k.inquiry_pause = s.time("inquiry_pause", 1ms, 60s);
    k.scrub = s.time("scrub", 0s, longest_scrub);
    if (std::none_of(k.windows.begin(), k.windows.end(), [](auto w) { return w.count() > 0; }))
      s.fail(nullptr, "is on, and no class has keyed = yes");
    return k;
  }

  dependencies_config read_dependencies(const config& c) const {
    using namespace std::chrono_literals;
    dependencies_config all;
    if (cfg_size(cfg_.get(), "dependencies") > 0) {
      const section s = only("dependencies");
      all.budget_var = s.text("budget_var");
      all.cache = s.bytes("cache", 0, std::uint64_t{1} << 32);
    }
    each("dependency", [&](const section& s, const std::string& title) {
      dependency_config d;
      d.name = title;
      d.path = s.text("path");
      for (const std::string& at : s.list("endpoints")) d.at.push_back(s.address("endpoints", at));
      if (d.at.empty()) s.fail("endpoints", "names no endpoint");
      upstream::dependency_rules r;
      r.name = title;
      r.endpoints = d.at.size();
      r.budget = s.time("budget", 1ms, 600s);
      r.tries = static_cast<unsigned>(s.count("tries", 1, 10));
      r.retry_share = s.number("retry_share", 0, 1);
      r.retry_floor = s.number("retry_floor", 0, 1000);
      r.hedge_quantile = s.number("hedge_quantile", 0, 0.999);
      r.hedge_share = s.number("hedge_share", 0, 1);
      r.most_in_flight = static_cast<double>(s.count("most_in_flight", 1, 4096));
      d.one_phase = s.flag("one_phase");
      read_places(s, c, d, r);
      r.health.failures = static_cast<unsigned>(s.count("failures", 1, 1000));
      r.health.out = s.time("out", 1ms, 600s);
      r.health.most_out = s.number("most_out", 0, 1);
      r.health.ramp = s.time("ramp", 1ms, 600s);
      r.health.fade = s.time("fade", 1ms, 600s);
      all.endpoints.push_back(std::move(d));
      all.rules.push_back(std::move(r));
    });
    std::vector<std::vector<std::string>> titles;  // of parts, by plan
    each("part", [&](const section& s, const std::string& title) {
      const std::size_t request_class = [&] {
        for (std::size_t i = 0; i < c.settings.classes.size(); ++i) {
          if (c.settings.classes[i].name == s.needed("class")) return i;
        }
        s.fail("class", "names nothing in the settings", s.text("class"));
      }();
      const admission_policy::class_settings& k = c.settings.classes[request_class];
      if (k.effect != admission_policy::request_effect::safe)
        s.fail("class", "has an effect: only reads are gathered", k.name);
      auto plan = std::find_if(all.plans.begin(), all.plans.end(),
                               [&](const upstream::request_plan& p) { return p.request_class == k.name; });
      if (plan == all.plans.end()) {
        all.plans.push_back({k.name,
                             k.latency_objective.count() > 0 ? k.latency_objective : k.deadline,
                             reserve_of(k.name),
                             {}});
        titles.emplace_back();
        plan = std::prev(all.plans.end());
      }
      upstream::part_plan p;
      p.name = title;
      p.from = dependency_of(s, "from", s.needed("from"), all);
      p.required = s.flag("required");
      for (const std::string& text : s.list("fallback")) p.stand_ins.push_back(stand_in_of(s, text, all));
      plan->parts.push_back(std::move(p));
      titles[static_cast<std::size_t>(plan - all.plans.begin())].push_back(title);
    });
    try {
      upstream::check_plans(all.plans, all.rules);
    } catch (const upstream::bad_plan& e) {
      // The line of the part, by its title.
      const std::string title = e.part_at < 0 ? "" : titles[e.plan][static_cast<std::size_t>(e.part_at)];
      each("part", [&](const section& s, const std::string& name) {
        if (name == title) s.fail("from", e.what());
      });
      throw;
    }
    return all;
  }

  // Where a dependency's endpoints are, in the fleet's own terms: each a zone, or a member, whose zone counts
  // then.
  void read_places(const section& s, const config& c, dependency_config& d,
                   upstream::dependency_rules& r) const {
    d.places = s.list("places");
    r.near.rules.overprovisioning = s.number("overprovisioning", 1, 10);
    r.near.rules.panic_threshold = s.number("panic", 0, 1);
    r.near.rules.most_each = static_cast<unsigned>(s.count("most_each", 0, 4096));
    if (d.places.empty()) {
      if (r.near.rules.most_each > 0) s.fail("most_each", "is set, and places is missing");
      return;
    }
    if (!c.fleet) s.fail("places", "is set, and fleet is missing");
    if (d.places.size() != d.at.size()) s.fail("places", "are not as many as endpoints");
    const failover::place own{c.fleet->zone, c.fleet->region_of(c.fleet->zone)};
    for (const std::string& place : d.places) {
      std::string zone;
      for (const fleet_zone& z : c.fleet->zones) {
        const bool member = std::any_of(z.members.begin(), z.members.end(), [&](const endpoint& m) {
          return m.host + ":" + std::to_string(m.port) == place;
        });
        if (z.name == place || member) zone = z.name;
      }
      if (zone.empty()) s.fail("places", "names neither a zone nor a member of the fleet", place);
      r.near.where.push_back(failover::level_of(own, {zone, c.fleet->region_of(zone)}));
    }
  }

  void read_fleet(config& c) const {
    using namespace std::chrono_literals;
    if (cfg_size(cfg_.get(), "fleet") == 0) {
      if (cfg_size(cfg_.get(), "zone") > 0) throw bad_config(path_ + ":0: zone is set, and fleet is missing");
      return;
    }
    const section s = only("fleet");
    fleet_config f;
    f.name = s.needed("name");
    f.listen = s.address("listen", s.needed("listen"));
    f.advertise = s.text("advertise").empty() ? f.listen : s.address("advertise", s.text("advertise"));
    f.zone = s.needed("zone");
    for (const std::string& seed : s.list("seeds")) f.seeds.push_back(s.address("seeds", seed));
    if (f.seeds.empty()) s.fail("seeds", "names no seed");
    f.probe_interval = s.time("probe_interval", 10ms, 60s);
    f.probe_timeout = s.time("probe_timeout", 1ms, f.probe_interval);
    f.indirect_probes = static_cast<unsigned>(s.count("indirect_probes", 0, 16));
    f.suspicion_min_rounds = s.number("suspicion_min_rounds", 1, 100);
    f.suspicion_max_factor = s.number("suspicion_max_factor", 1, 100);
    f.suspicion_confirmations = static_cast<unsigned>(s.count("suspicion_confirmations", 0, 16));
    f.retransmits = static_cast<unsigned>(s.count("retransmits", 1, 32));
    f.gossip_per_message = static_cast<unsigned>(s.count("gossip_per_message", 1, 32));
    f.refresh_per_message = static_cast<unsigned>(s.count("refresh_per_message", 0, 32));
    f.health_most = static_cast<unsigned>(s.count("health_most", 0, 64));
    f.reconnect_every = static_cast<unsigned>(s.count("reconnect_every", 0, 1000));
    f.hold_down = s.time("hold_down", 0s, 3600s);
    // A vote is issued four times in its lease, and each time rides on probes.
    f.vote_lease = s.time("vote_lease", 8 * f.probe_interval, 3600s);
    f.votes_per_message = static_cast<unsigned>(s.count("votes_per_message", 1, 16));
    f.start_grace = s.time("start_grace", 0s, 3600s);
    bool self_configured = false;
    each("zone", [&](const section& z, const std::string& title) {
      fleet_zone one{title, z.needed("region"), {}};
      for (const std::string& m : z.list("members")) {
        one.members.push_back(z.address("members", m));
        if (one.members.back() == f.advertise && title == f.zone) self_configured = true;
      }
      if (one.members.empty()) z.fail("members", "names no member");
      f.zones.push_back(std::move(one));
    });
    if (!self_configured)
      s.fail(s.text("advertise").empty() ? "listen" : "advertise", "is no member of the zone named in zone",
             f.zone);
    c.fleet = std::move(f);
  }

  static constexpr std::chrono::nanoseconds longest_scrub = std::chrono::hours(24 * 366);

  void read_background(config& c) const {
    using namespace std::chrono_literals;
    if (cfg_size(cfg_.get(), "background") == 0) return;
    const section s = only("background");
    background_config& b = c.background;
    b.workers = static_cast<unsigned>(s.count("workers", 1, 16));
    b.cpu = s.number("cpu", 0.001, 16);
    b.read = s.bytes("read", 1 << 10, std::uint64_t{1} << 40);
    b.quiet = s.number("quiet", 0, 1);
    b.busy = s.number("busy", 0, 1);
    if (b.busy < b.quiet) s.fail("busy", "is under quiet", s.text("busy"));
    b.calm = s.time("calm", 0s, 60s);
    b.deadline = s.time("deadline", 0s, longest_scrub);
  }

  void read_budgets(config& c) const {
    using namespace std::chrono_literals;
    if (cfg_size(cfg_.get(), "budget") == 0) {
      if (cfg_size(cfg_.get(), "budgets") > 0)
        only("budgets").fail(nullptr, "is set, and no budget is named");
      return;
    }
    budgets_config all;
    for (const auto& k : c.settings.classes) all.settle = std::max(all.settle, k.deadline);
    if (cfg_size(cfg_.get(), "budgets") > 0) {
      const section s = only("budgets");
      all.lease = s.time("lease", 200ms, 600s);
      // Two renewals may be lost before a lease ends.
      all.renew = s.time("renew", 10ms, all.lease / 3);
      if (!s.text("settle").empty()) all.settle = s.time("settle", 0s, 3600s);
      all.drift = s.number("drift", 0, 0.2);
      all.reserve = s.number("reserve", 0, 0.5);
      all.clock_rate = s.number("clock_rate", 0.5, 2);
      all.audit = s.flag("audit");
    }
    std::size_t members = 0;
    if (c.fleet)
      for (const fleet_zone& z : c.fleet->zones) members += z.members.size();
    each("budget", [&](const section& s, const std::string& title) {
      if (!c.fleet) s.fail(nullptr, "is set, and fleet is missing");
      budget_config b;
      b.name = title;
      const std::string unit = s.needed("unit");
      b.whole = s.number("whole", 0, 1e9);
      b.safe = s.number("safe", 0, 1e9);
      b.weight = s.number("weight", 0.001, 1000);
      if (b.whole <= 0) s.fail("whole", "is nothing", s.text("whole"));
      if (b.safe * static_cast<double>(members) > b.whole)
        s.fail("safe", "of " + std::to_string(members) + " members is more than the whole", s.text("safe"));
      const auto only_for = [&](const char* key, const char* which) {
        if (unit == which && s.text(key).empty()) s.fail(key, "is missing");
        if (unit != which && !s.text(key).empty()) s.fail(key, std::string("goes with unit = ") + which);
      };
      only_for("tenant", "requests");
      only_for("dependency", "calls");
      if (unit != "requests" && !s.text("class").empty()) s.fail("class", "goes with unit = requests");
      if (unit == "runs") {
        b.unit = budget_unit::runs;
        for (const budget_config& other : all.all)
          if (other.unit == b.unit) s.fail("unit", "of runs has a budget already", other.name);
      } else if (unit == "requests") {
        b.unit = budget_unit::requests;
        b.tenant = static_cast<unsigned>(named(s, "tenant", c.settings.tenants));
        if (!s.text("class").empty())
          b.request_class = static_cast<int>(named(s, "class", c.settings.classes));
      } else if (unit == "calls") {
        b.unit = budget_unit::calls;
        if (!c.dependencies) s.fail("dependency", "names no dependency", s.text("dependency"));
        b.dependency = dependency_of(s, "dependency", s.text("dependency"), *c.dependencies);
      } else {
        s.fail("unit", "is none of runs, requests, calls", unit);
      }
      // What is asked for a second is over when its second is: nothing of it stays in flight.
      if (b.unit != budget_unit::requests) b.settle = all.settle;
      if (!s.text("settle").empty()) {
        if (b.unit == budget_unit::requests) s.fail("settle", "goes with unit = runs or calls");
        b.settle = s.time("settle", 0s, 3600s);
      }
      all.all.push_back(std::move(b));
      constexpr std::size_t most = 32;  // one datagram names them all
      if (all.all.size() > most) s.fail(nullptr, "is one too many: " + std::to_string(most) + " at the most");
    });
    c.budgets = std::move(all);
  }
  // The index of what a key names among things of the settings.
  template <typename T>
  static std::size_t named(const section& s, const char* key, const std::vector<T>& known) {
    const std::string text = s.text(key);
    const auto at = std::find_if(known.begin(), known.end(), [&](const T& k) { return k.name == text; });
    if (at == known.end()) s.fail(key, "names nothing in the settings", text);
    return static_cast<std::size_t>(at - known.begin());
  }

  void read_writes(config& c) const {
    using namespace std::chrono_literals;
    writes_config w;
    each("class", [&](const section& s, const std::string& title) {
      if (!s.has("participants")) return;
      write_plan p;
      p.request_class = index_of(s, c.settings.classes, title);
      if (!c.keyed || c.keyed->windows[p.request_class].count() == 0)
        s.fail("participants", "go with keyed = yes: a write over several is known by its key");
      if (!c.dependencies) s.fail("participants", "name no dependency");
      unsigned one_phase = 0;
      for (const std::string& name : s.list("participants")) {
        p.participants.push_back(dependency_of(s, "participants", name, *c.dependencies));
        if (std::count(p.participants.begin(), p.participants.end(), p.participants.back()) > 1)
          s.fail("participants", "name one twice", name);
        one_phase += c.dependencies->endpoints[p.participants.back()].one_phase;
      }
      if (one_phase > 1) s.fail("participants", "have more than one that cannot prepare");
      p.reserve = s.time("reserve", 0s, 60s);
      p.window = c.keyed->windows[p.request_class];
      w.plans.push_back(std::move(p));
    });
    if (w.plans.empty()) return;
    if (cfg_size(cfg_.get(), "writes") == 0)
      throw bad_config(path_ + ":0: writes is missing, and a class has participants");
    const section s = only("writes");
    w.folder = s.needed("folder");
    w.step_var = s.needed("step_var");
    w.id_var = s.needed("id_var");
    // A batch is at most a quarter of a segment, and a result may take write_buffer; cleaning needs room to
    // turn.
    w.segment = s.bytes("segment", 1 << 20, std::uint64_t{1} << 30);
    // Guards against an outcome that no batch can hold: its write could never be over.
    for (const write_plan& p : w.plans) {
      const std::uint64_t result = p.participants.size() * (c.bounds.result + c.bounds.response_head);
      const std::uint64_t most =
          std::max<std::uint64_t>(result, c.bounds.write_buffer) + c.keyed->longest_key + (8 << 10);
      if (most > w.segment / 4)
        s.fail("segment", "is too small for the results of so many participants", s.text("segment"));
    }
    w.space = s.bytes("space", store::least_segments * w.segment, std::uint64_t{1} << 50);
    w.retry = s.time("retry", 10ms, 60s);
    w.longest_retry = s.time("longest_retry", w.retry, 3600s);
    w.outcomes = s.count("outcomes", 1, 100'000'000);
    w.scrub = s.time("scrub", 0s, longest_scrub);
    c.writes = std::move(w);
  }

  std::chrono::nanoseconds reserve_of(const std::string& request_class) const {
    using namespace std::chrono_literals;
    std::chrono::nanoseconds reserve = 50ms;
    each("class", [&](const section& s, const std::string& title) {
      if (title == request_class) reserve = s.time("reserve", 0s, 60s);
    });
    return reserve;
  }
  static std::size_t dependency_of(const section& s, const char* key, const std::string& name,
                                   const dependencies_config& all) {
    for (std::size_t i = 0; i < all.endpoints.size(); ++i) {
      if (all.endpoints[i].name == name) return i;
    }
    s.fail(key, "names no dependency", name);
  }
  static upstream::fallback stand_in_of(const section& s, const std::string& text,
                                        const dependencies_config& all) {
    using kind = upstream::fallback::kind;
    const std::size_t space = text.find(' ');
    const std::string what = text.substr(0, space);
    const std::string rest = space == std::string::npos ? "" : text.substr(space + 1);
    if (what == "dependency") return {kind::dependency, dependency_of(s, "fallback", rest, all), {}, {}};
    if (what == "fixed") return {kind::fixed, 0, {}, rest};
    const auto age = parse_time(rest);
    if (what != "stale" || !age)
      s.fail("fallback", "is none of 'dependency NAME', 'stale AGE', 'fixed TEXT'", text);
    return {kind::stale, 0, *age, {}};
  }

  const std::string path_;
  notes notes_;
  std::unique_ptr<cfg_t, freed> cfg_;
};

}  // namespace

void apply_operator_file(config& c, const std::string& path) {
  operator_file(path).apply(c);
}

}  // namespace marblewharf
