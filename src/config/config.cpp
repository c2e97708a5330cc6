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

namespace {

constexpr std::size_t min_descriptors = 128;  // fewer descriptors would leave none for clients
constexpr double default_stop_ms = 3200;
constexpr double max_stop_ms = 600'000;

// Returns the member of an object, or nullptr if the member is absent or null.
const json::value* member(const json::value& object, const std::string& key) {
  const json::value* found = object.find(key);
  return found != nullptr && found->type != json::kind::null ? found : nullptr;
}

std::string text_of(const json::value& object, const std::string& key) {
  const json::value* found = member(object, key);
  if (found == nullptr) throw invalid_config(key + " is missing");
  if (found->type != json::kind::string || found->text.empty())
    throw invalid_config(key + " is not a non-empty string");
  return found->text;
}

// `path`: the key in error messages. `absent`: the result if the key is absent.
double number_of(const json::value& object, const std::string& key, const std::string& path, double absent,
                 double min, double max) {
  const json::value* found = member(object, key);
  if (found == nullptr) return absent;
  double parsed = 0;
  const char* end = found->text.data() + found->text.size();
  if (found->type != json::kind::number || std::from_chars(found->text.data(), end, parsed).ptr != end)
    throw invalid_config(path + " is not a number");
  if (!(parsed >= min && parsed <= max)) {
    std::ostringstream why;
    why << path << " is outside the range " << min << " to " << max;
    throw invalid_config(why.str());
  }
  return parsed;
}

endpoint to_endpoint(const std::string& text, const std::string& key) {
  const std::optional<endpoint> parsed = parse_endpoint(text);
  if (!parsed) throw invalid_config(key + " is not an address host:port");
  return *parsed;
}

endpoint endpoint_of(const json::value& object, const std::string& key) {
  return to_endpoint(text_of(object, key), key);
}

void flatten(const json::value& value, const std::string& path, admission_policy::setting_paths& paths);

std::string join_path(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

// Flattens an array of objects to the number of objects and a path for each member, and any other array to
// one comma-separated text.
void flatten_array(const json::value& array, const std::string& path,
                   admission_policy::setting_paths& paths) {
  const std::vector<json::value>& items = array.items;
  if (!items.empty() && items.front().type == json::kind::object) {
    paths[path + ".count"] = std::to_string(items.size());
    for (std::size_t index = 0; index < items.size(); ++index)
      flatten(items[index], path + "." + std::to_string(index), paths);
    return;
  }
  std::string joined;
  for (const json::value& item : items) {
    if (!joined.empty()) joined += ",";
    joined += item.text;
  }
  paths[path] = joined;
}

// Flattens nested settings to paths, the form in which the simulator passes them.
void flatten(const json::value& value, const std::string& path, admission_policy::setting_paths& paths) {
  switch (value.type) {
    case json::kind::object:
      for (const auto& [key, item] : value.members) flatten(item, join_path(path, key), paths);
      break;
    case json::kind::array: flatten_array(value, path, paths); break;
    case json::kind::null: break;
    default: paths[path] = value.text;
  }
}

bool is_control(char character) {
  constexpr char first_printable = 0x20;
  constexpr char del = 0x7f;
  return (character >= 0 && character < first_printable) || character == del;
}

// Names are sent to peers and logged unescaped, so control characters are not allowed. Each name must be
// unique.
void check_name(const std::string& name, const std::string& key, std::set<std::string>& taken) {
  if (name.empty()) throw invalid_config(key + " is missing");
  if (std::any_of(name.begin(), name.end(), is_control))
    throw invalid_config(key + " contains a control character");
  if (!taken.insert(name).second) throw invalid_config(key + " is used twice: " + name);
}

void check_classes(const std::vector<admission_policy::class_settings>& classes) {
  if (classes.empty()) throw invalid_config("settings.Classes contains no class");
  std::set<std::string> names;
  for (std::size_t index = 0; index < classes.size(); ++index) {
    const admission_policy::class_settings& request_class = classes[index];
    const std::string path = "settings.Classes." + std::to_string(index) + ".";
    check_name(request_class.name, path + "Name", names);
    if (request_class.deadline.count() <= 0) throw invalid_config(path + "Deadline is missing or 0");
    if (request_class.deadline < request_class.latency_objective)
      throw invalid_config(path + "Deadline is shorter than Objective");
  }
}

// Checks values that the admission policy needs or would misinterpret. Error messages name the platform's
// keys.
void check_settings(const admission_policy::settings& settings) {
  if (settings.cores == 0) throw invalid_config("settings.Extra.NCores is missing or 0");
  check_classes(settings.classes);
  std::set<std::string> names;
  for (std::size_t index = 0; index < settings.tenants.size(); ++index)
    check_name(settings.tenants[index].name, "settings.Tenants." + std::to_string(index) + ".Name", names);
}

admission_policy::settings settings_of(const json::value& file) {
  const json::value* section = member(file, "settings");
  if (section == nullptr || section->type != json::kind::object)
    throw invalid_config("settings is not an object");
  admission_policy::setting_paths paths;
  flatten(*section, "", paths);
  admission_policy::settings settings;
  try {
    settings = admission_policy::settings_from(paths);
  } catch (const std::invalid_argument& error) {
    throw invalid_config(std::string("settings.") + error.what());
  }
  check_settings(settings);
  return settings;
}

std::uint64_t seed_of(const json::value& file) {
  constexpr int hexadecimal = 16;
  const json::value* found = member(file, "seed");
  if (found == nullptr) return 0;
  std::uint64_t seed = 0;
  const char* end = found->text.data() + found->text.size();
  if (found->type != json::kind::string ||
      std::from_chars(found->text.data(), end, seed, hexadecimal).ptr != end)
    throw invalid_config("seed is not a hexadecimal string");
  return seed;
}

// `description`: the name of the text in error messages.
json::value parse_object(const std::string& text, const std::string& description) {
  json::value parsed;
  try {
    parsed = json::parse(text);
  } catch (const json::bad_json& error) {
    throw invalid_config(description + " is not valid JSON: " + error.what());
  }
  if (parsed.type != json::kind::object) throw invalid_config(description + " is not a JSON object");
  return parsed;
}

void read_limits(const json::value& file, limits& bounds) {
  const json::value* section = member(file, "limits");
  if (section == nullptr || section->type != json::kind::object)
    throw invalid_config("limits is not an object");
  const auto limit = [section](const char* key, double min, double max) {
    const std::string path = std::string("limits.") + key;
    if (member(*section, key) == nullptr) throw invalid_config(path + " is missing");
    return number_of(*section, key, path, 0, min, max);
  };
  constexpr double min_cores = 0.001;
  constexpr double min_memory_mb = 16;
  constexpr double largest_limit = 1e6;
  constexpr double buffers_share = 0.25;   // of the memory limit
  constexpr double results_share = 0.125;  // of the memory limit
  constexpr double bytes_per_mb = 1 << 20;
  // Validated but not used: the node has only one busy thread, which needs less than a core.
  limit("cores", min_cores, largest_limit);
  const double memory_bytes = limit("memory_mb", min_memory_mb, largest_limit) * bytes_per_mb;
  bounds.max_buffered_bytes = static_cast<std::size_t>(buffers_share * memory_bytes);
  bounds.max_stored_result_bytes = static_cast<std::size_t>(results_share * memory_bytes);
  bounds.descriptors = static_cast<std::size_t>(limit("sockets", min_descriptors, largest_limit));
}

std::vector<std::chrono::nanoseconds> platform_windows_of(const admission_policy::settings& settings,
                                                          const limits& bounds) {
  std::vector<std::chrono::nanoseconds> windows;
  for (const admission_policy::class_settings& request_class : settings.classes) {
    const bool keyed = request_class.effect == admission_policy::request_effect::keyed &&
                       request_class.idempotency_window.count() > 0;
    windows.push_back(keyed ? request_class.idempotency_window + bounds.rule_slack
                            : std::chrono::nanoseconds{});
  }
  return windows;
}

// Lists of windows may be empty, if no class is keyed.
std::chrono::nanoseconds window_at(const std::vector<std::chrono::nanoseconds>& windows, std::size_t index) {
  return index < windows.size() ? windows[index] : std::chrono::nanoseconds{};
}

bool any_window(const std::vector<std::chrono::nanoseconds>& windows) {
  return std::any_of(windows.begin(), windows.end(), [](auto window) { return window.count() > 0; });
}

std::optional<memory_idempotency_config> memory_idempotency_of(const config& settings) {
  if (!any_window(settings.platform_windows)) return std::nullopt;
  memory_idempotency_config memory;
  memory.windows = settings.platform_windows;
  memory.max_bytes = settings.bounds.max_stored_result_bytes;
  for (const admission_policy::class_settings& request_class : settings.policy_settings.classes)
    memory.longest_deadline = std::max(memory.longest_deadline, request_class.deadline);
  return memory;
}

// Reserves descriptors for the program itself and for the console; the remaining ones are for clients.
void divide_descriptors(config& settings) {
  limits& bounds = settings.bounds;
  std::size_t console = 0;
  if (settings.console) {
    bounds.console_connections =
        std::min(bounds.console_connections, bounds.descriptors / bounds.console_share);
    console = bounds.console_connections;
  }
  bounds.connections = bounds.descriptors - bounds.reserved_descriptors - console;
}

// Caps the number of descriptors at the process's limit, which can be lower than the platform's setting.
void apply_descriptor_limit(limits& bounds) {
  rlimit granted{};
  if (::getrlimit(RLIMIT_NOFILE, &granted) != 0 || granted.rlim_cur >= bounds.descriptors) return;
  if (granted.rlim_cur < min_descriptors)
    throw invalid_config("limits.sockets: the process may open only " + std::to_string(granted.rlim_cur) +
                         " files, but needs at least " + std::to_string(min_descriptors));
  bounds.descriptors = granted.rlim_cur;
}

}  // namespace

std::string fleet_config::region_of(const std::string& zone_name) const {
  for (const fleet_zone& candidate : zones)
    if (candidate.name == zone_name) return candidate.region;
  return {};
}

config read_config(const std::string& text) {
  const json::value file = parse_object(text, "the configuration");
  config settings;
  settings.name = text_of(file, "name");
  // The name is a word in reports to the registry and part of a file name.
  const auto allowed = [](char character) { return character > ' ' && character <= '~' && character != '/'; };
  if (!std::all_of(settings.name.begin(), settings.name.end(), allowed))
    throw invalid_config("name contains a space, a slash or a character that is not printable ASCII");
  settings.listen = endpoint_of(file, "listen");
  settings.runtime = endpoint_of(file, "runtime");
  settings.registry = endpoint_of(file, "directory");
  if (member(file, "console") != nullptr) settings.console = endpoint_of(file, "console");
  settings.seed = seed_of(file);
  const double stop_ms = number_of(file, "stop_ms", "stop_ms", default_stop_ms, 1, max_stop_ms);
  settings.bounds.shutdown_duration = std::chrono::milliseconds(std::lround(stop_ms));
  read_limits(file, settings.bounds);
  divide_descriptors(settings);
  settings.policy_settings = settings_of(file);
  settings.platform_windows = platform_windows_of(settings.policy_settings, settings.bounds);
  settings.memory_idempotency = memory_idempotency_of(settings);
  return settings;
}

void enable_uwsgi(config& settings, uwsgi_config uwsgi) {
  // One quarter is for uwsgi callers and one for connections to uwsgi servers. Thrift keeps half of the
  // connections, which is the most that balancers open.
  constexpr std::size_t uwsgi_divisor = 4;
  limits& bounds = settings.bounds;
  bounds.uwsgi_connections = bounds.connections / uwsgi_divisor;
  bounds.connections -= 2 * bounds.uwsgi_connections;
  settings.uwsgi = std::move(uwsgi);
}

void enable_durable_idempotency(config& settings, keyed_config keyed) {
  for (std::size_t index = 0; index < keyed.windows.size(); ++index) {
    if (keyed.windows[index].count() == 0) continue;
    keyed.windows[index] = std::max(keyed.windows[index], window_at(settings.platform_windows, index));
    admission_policy::class_settings& request_class = settings.policy_settings.classes[index];
    request_class.effect = admission_policy::request_effect::keyed;
    // The policy tracks a key until the deadline of its request; the stored results cover the rest of the
    // window.
    request_class.idempotency_window = request_class.deadline;
    if (settings.memory_idempotency) settings.memory_idempotency->windows[index] = {};
  }
  if (settings.memory_idempotency && !any_window(settings.memory_idempotency->windows))
    settings.memory_idempotency.reset();
  settings.keyed = std::move(keyed);
}

void enable_dependencies(config& settings, dependencies_config dependencies) {
  if (!settings.uwsgi) throw invalid_config("section dependency needs section uwsgi, which is missing");
  for (const upstream::request_plan& plan : dependencies.plans) {
    for (admission_policy::class_settings& request_class : settings.policy_settings.classes)
      if (request_class.name == plan.request_class) request_class.calls_dependency = true;
  }
  settings.uwsgi->compute_fingerprint = true;
  settings.dependencies = std::move(dependencies);
}

std::string read_file(const char* path, const char* description) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw invalid_config(std::string(description) + " cannot be read: " + path);
  return text.str();
}

config load_config() {
  const char* path = std::getenv("PROXY_CONFIG");
  if (path == nullptr) throw invalid_config("PROXY_CONFIG is not set");
  config settings = read_config(read_file(path, "PROXY_CONFIG"));
  const char* console = std::getenv("PROXY_CONSOLE");
  if (!settings.console && console != nullptr && *console != '\0')
    settings.console = to_endpoint(console, "PROXY_CONSOLE");
  apply_descriptor_limit(settings.bounds);
  divide_descriptors(settings);
  return settings;
}

}  // namespace marblewharf
