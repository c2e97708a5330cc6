#include "config/config.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include "json/json.hpp"
#include "policy_settings/settings_reader.hpp"

namespace marblewharf {

std::string fleet_config::region_of(const std::string& named) const {
  for (const fleet_zone& z : zones)
    if (z.name == named) return z.region;
  return {};
}
namespace {

constexpr std::size_t least_descriptors = 128;  // with fewer there is no room for clients

const json::value* member(const json::value& in, const std::string& key) {
  const json::value* found = in.find(key);
  return found != nullptr && found->what != json::kind::null ? found : nullptr;
}

std::string text_of(const json::value& in, const std::string& key) {
  const json::value* v = member(in, key);
  if (v == nullptr) throw bad_config(key + " is missing");
  if (v->what != json::kind::string || v->text.empty()) throw bad_config(key + " is no text");
  return v->text;
}

double number_of(const json::value& in, const std::string& key, const std::string& path, double absent,
                 double least, double most) {
  const json::value* v = member(in, key);
  if (v == nullptr) return absent;
  double parsed = 0;
  const char* end = v->text.data() + v->text.size();
  if (v->what != json::kind::number || std::from_chars(v->text.data(), end, parsed).ptr != end)
    throw bad_config(path + " is no number");
  if (!(parsed >= least && parsed <= most)) {
    std::ostringstream why;
    why << path << " is not from " << least << " to " << most;
    throw bad_config(why.str());
  }
  return parsed;
}

endpoint to_endpoint(const std::string& text, const std::string& key) {
  const std::size_t colon = text.rfind(':');
  unsigned port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || colon == 0 ||
      std::from_chars(text.data() + colon + 1, end, port).ptr != end || port > 65535) {
    throw bad_config(key + " is no host:port");
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

endpoint endpoint_of(const json::value& in, const std::string& key) {
  return to_endpoint(text_of(in, key), key);
}

// The nested settings as the paths of the simulator's first message.
void flatten(const json::value& v, const std::string& path, admission_policy::setting_paths& out) {
  switch (v.what) {
    case json::kind::object:
      for (const auto& [key, item] : v.members) flatten(item, path.empty() ? key : path + "." + key, out);
      break;
    case json::kind::array: {
      if (!v.items.empty() && v.items.front().what == json::kind::object) {
        out[path + ".count"] = std::to_string(v.items.size());
        for (std::size_t i = 0; i < v.items.size(); ++i)
          flatten(v.items[i], path + "." + std::to_string(i), out);
        break;
      }
      std::string joined;
      for (const json::value& item : v.items) joined += (joined.empty() ? "" : ",") + item.text;
      out[path] = joined;
      break;
    }
    case json::kind::null: break;
    default: out[path] = v.text;
  }
}

bool is_control(char sign) {
  constexpr char first_printable = 0x20;
  constexpr char del = 0x7f;
  return (sign >= 0 && sign < first_printable) || sign == del;
}

// Names go over wires and into log lines as they are: any text but control signs, and each only once.
void check_name(const std::string& name, const std::string& key, std::set<std::string>& taken) {
  if (name.empty()) throw bad_config(key + " is missing");
  if (std::any_of(name.begin(), name.end(), is_control)) throw bad_config(key + " has a control sign in it");
  if (!taken.insert(name).second) throw bad_config(key + " is there twice: " + name);
}

// What the module cannot do without or would misread, by the operators' names and not the module's.
void check_settings(const admission_policy::settings& s) {
  if (s.cores == 0) throw bad_config("settings.Extra.NCores is missing or 0");
  if (s.classes.empty()) throw bad_config("settings.Classes has no class");
  std::set<std::string> class_names, tenant_names;
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "settings.Classes." + std::to_string(i) + ".";
    check_name(s.classes[i].name, at + "Name", class_names);
    if (s.classes[i].deadline.count() <= 0) throw bad_config(at + "Deadline is missing or 0");
    if (s.classes[i].deadline < s.classes[i].latency_objective)
      throw bad_config(at + "Deadline is under its Objective");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i)
    check_name(s.tenants[i].name, "settings.Tenants." + std::to_string(i) + ".Name", tenant_names);
}

admission_policy::settings settings_of(const json::value& all) {
  const json::value* given = member(all, "settings");
  if (given == nullptr || given->what != json::kind::object) throw bad_config("settings is no object");
  admission_policy::setting_paths paths;
  flatten(*given, "", paths);
  admission_policy::settings s;
  try {
    s = admission_policy::settings_from(paths);
  } catch (const std::invalid_argument& e) {
    throw bad_config(std::string("settings.") + e.what());
  }
  check_settings(s);
  return s;
}

std::uint64_t seed_of(const json::value& all) {
  const json::value* v = member(all, "seed");
  if (v == nullptr) return 0;
  std::uint64_t seed = 0;
  const char* end = v->text.data() + v->text.size();
  if (v->what != json::kind::string || std::from_chars(v->text.data(), end, seed, 16).ptr != end)
    throw bad_config("seed is no hexadecimal text");
  return seed;
}

json::value parse_object(const std::string& text, const std::string& what) {
  json::value all;
  try {
    all = json::parse(text);
  } catch (const json::bad_json& e) {
    throw bad_config(what + " is no JSON, " + e.what());
  }
  if (all.what != json::kind::object) throw bad_config(what + " is no object");
  return all;
}

void read_limits(const json::value& all, limits& bounds) {
  const json::value* given = member(all, "limits");
  if (given == nullptr || given->what != json::kind::object) throw bad_config("limits is no object");
  const auto limit = [given](const char* key, double least, double most) {
    const std::string path = std::string("limits.") + key;
    if (member(*given, key) == nullptr) throw bad_config(path + " is missing");
    return number_of(*given, key, path, 0, least, most);
  };
  constexpr double least_cores = 0.001;
  constexpr double for_buffers = 0.25;   // of the memory
  constexpr double for_results = 0.125;  // the same
  constexpr double bytes_each_mb = 1 << 20;
  limit("cores", least_cores,
        1e6);  // one thread of ours stays under a core; what is wrong is told all the same
  const double memory = limit("memory_mb", 16, 1e6) * bytes_each_mb;
  bounds.buffered = static_cast<std::size_t>(for_buffers * memory);
  bounds.kept_results = static_cast<std::size_t>(for_results * memory);
  bounds.descriptors = static_cast<std::size_t>(limit("sockets", least_descriptors, 1e6));
}

std::optional<repeats_config> repeats_of(const admission_policy::settings& settings, const limits& bounds) {
  repeats_config r;
  r.memory = bounds.kept_results;
  bool any = false;
  for (const admission_policy::class_settings& c : settings.classes) {
    const bool keyed =
        c.effect == admission_policy::request_effect::keyed && c.idempotency_window.count() > 0;
    r.windows.push_back(keyed ? c.idempotency_window + bounds.rule_slack : std::chrono::nanoseconds{});
    r.longest_wait = std::max(r.longest_wait, c.deadline);
    any = any || keyed;
  }
  return any ? std::optional(std::move(r)) : std::nullopt;
}

// What the program needs itself comes first, then the console, and the clients have the rest.
void divide_descriptors(config& c) {
  limits& bounds = c.bounds;
  std::size_t console = 0;
  if (c.console) {
    bounds.console_connections =
        std::min(bounds.console_connections, bounds.descriptors / bounds.console_share);
    console = bounds.console_connections;
  }
  bounds.connections = bounds.descriptors - bounds.own_descriptors - console;
}

// A process may have fewer descriptors than the platform's settings say.
void heed_own_descriptors(limits& bounds) {
  rlimit own{};
  if (::getrlimit(RLIMIT_NOFILE, &own) != 0 || own.rlim_cur >= bounds.descriptors) return;
  if (own.rlim_cur < least_descriptors)
    throw bad_config("limits.sockets: this process may open " + std::to_string(own.rlim_cur) +
                     " files, and needs " + std::to_string(least_descriptors));
  bounds.descriptors = own.rlim_cur;
}

}  // namespace

config read_config(const std::string& text) {
  const json::value all = parse_object(text, "the configuration");
  config c;
  c.name = text_of(all, "name");
  // A word of the reports to the catalog, and part of a file's name.
  const auto fits = [](char sign) { return sign > ' ' && sign <= '~' && sign != '/'; };
  if (!std::all_of(c.name.begin(), c.name.end(), fits))
    throw bad_config("name has a space, a slash or a sign that is not ASCII in it");
  c.listen = endpoint_of(all, "listen");
  c.runtime = endpoint_of(all, "runtime");
  c.directory = endpoint_of(all, "directory");
  if (member(all, "console") != nullptr) c.console = endpoint_of(all, "console");
  c.seed = seed_of(all);
  const double stop_ms = number_of(all, "stop_ms", "stop_ms", 3200, 1, 600000);
  c.bounds.stop = std::chrono::milliseconds(std::lround(stop_ms));
  read_limits(all, c.bounds);
  divide_descriptors(c);
  c.settings = settings_of(all);
  c.repeats = repeats_of(c.settings, c.bounds);
  return c;
}

void turn_on_uwsgi(config& c, uwsgi_config mapping) {
  // A quarter for its callers and a quarter for what runs on its servers; Thrift keeps the half that
  // balancers open at the most.
  c.bounds.uwsgi_connections = c.bounds.connections / 4;
  c.bounds.connections -= 2 * c.bounds.uwsgi_connections;
  c.uwsgi = std::move(mapping);
}

void turn_on_keys(config& c, keyed_config keys) {
  for (std::size_t i = 0; i < keys.windows.size(); ++i) {
    if (keys.windows[i].count() == 0) continue;
    // The module keeps a key while its request can be open; from then on the folder knows it.
    c.settings.classes[i].effect = admission_policy::request_effect::keyed;
    c.settings.classes[i].idempotency_window = c.settings.classes[i].deadline;
  }
  c.keyed = std::move(keys);
  c.repeats.reset();
}

void turn_on_dependencies(config& c, dependencies_config all) {
  if (!c.uwsgi) throw bad_config("parts are gathered for uwsgi requests, and uwsgi is off");
  for (const upstream::request_plan& p : all.plans) {
    for (admission_policy::class_settings& k : c.settings.classes)
      k.calls_dependency = k.calls_dependency || k.name == p.request_class;
  }
  c.uwsgi->hash_content = true;
  c.dependencies = std::move(all);
}

std::string read_file(const char* path, const char* what) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw bad_config(std::string(what) + " cannot be read: " + path);
  return text.str();
}

config load_config() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr) throw bad_config("PROXY_CONFIG is not set");
  config c = read_config(read_file(path, "PROXY_CONFIG"));
  const char* console = std::getenv("PROXY_CONSOLE");
  if (!c.console && console != nullptr && *console != '\0') c.console = to_endpoint(console, "PROXY_CONSOLE");
  heed_own_descriptors(c.bounds);
  divide_descriptors(c);
  return c;
}

}  // namespace marblewharf
