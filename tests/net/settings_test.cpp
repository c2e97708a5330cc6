// Reading the operator's file: the resulting configuration, and error texts that name file, line and key.
#include <unistd.h>

#include <fstream>
#include <functional>
#include <map>

#include "config/key_rules.hpp"
#include "config/operator_file.hpp"
#include "config/operator_file_error.hpp"
#include "config/units.hpp"
#include "harness.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

namespace {

std::string test_folder() {
  static const std::string folder = [] {
    char name[] = "/tmp/marblewharf-settings-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    return std::string(name);
  }();
  return folder;
}

config platform() {
  config settings;
  settings.policy_settings.cores = 1;
  settings.policy_settings.classes.push_back(
      {.name = "kurs-abfrage", .latency_objective = 500ms, .deadline = 2s});
  settings.policy_settings.classes.push_back(
      {.name = "kurs-meldung", .latency_objective = 1s, .deadline = 3s});
  settings.policy_settings.tenants.push_back({.name = "isar-invest", .quota = 5});
  return settings;
}

config read(const std::string& text) {
  const std::string path = test_folder() + "/node.conf";
  std::ofstream(path) << text;
  config settings = platform();
  apply_operator_file(settings, path);
  return settings;
}

std::string fault(const std::string& text) {
  try {
    read(text);
  } catch (const invalid_config& error) {
    return std::string(error.what()).substr(test_folder().size());
  }
  return "none";
}

const std::string keyed_section =
    "keyed {\n  folder = \"/tmp/x\"\n  thrift_field = key\n}\nclass kurs-meldung {\n  keyed = yes\n}\n";

const std::string two_member_fleet =
    "fleet {\n  name = kurse\n  listen = \"127.0.0.1:7946\"\n  zone = z0\n  seeds = {\"127.0.0.1:7947\"}\n"
    "  hold_down = 3s\n}\nzone z0 {\n  region = r\n  members = {\"127.0.0.1:7946\", \"127.0.0.1:7947\"}\n}\n";

void reads_all_sections() {
  const config settings = read(
      "# comment\nuwsgi {\n  listen = \"127.0.0.1:3030\"\n  servers = {\"127.0.0.1:1\", \"127.0.0.1:2\"}\n"
      "  class_var = P\n  tenant_var = T\n  held = 8KiB\n}\nclass kurs-meldung {\n  uwsgi_values = {\"/a\", "
      "\"/b\"}\n"
      "  uwsgi_cost = 1.5s\n  keyed = yes\n  window = 90s\n}\ntenant isar-invest { uwsgi_values = {i} }\n"
      "keyed {\n  folder = \"/tmp/x\"\n  uwsgi_var = K\n  space = 64MiB\n}\n");
  CHECK(settings.uwsgi && settings.uwsgi->servers.size() == 2 && settings.uwsgi->servers[1].port == 2);
  CHECK(settings.uwsgi->request_class.values.at("/b") == "kurs-meldung" &&
        settings.uwsgi->tenant.values.at("i") == "isar-invest");
  CHECK(settings.uwsgi->default_cost[1] == 1500 && settings.uwsgi->reserved_kb == 8);
  CHECK(settings.keyed && settings.keyed->windows[0] == 0s && settings.keyed->windows[1] == 90s &&
        settings.keyed->max_folder_bytes == 64u << 20);
  CHECK(!read("").uwsgi && !read("").keyed && !read("").fleet);  // a feature without a section is disabled
  const config with_fleet =
      read(two_member_fleet +
           "uwsgi {\n  listen = \"127.0.0.1:3030\"\n  servers = {\"127.0.0.1:1\"}\n  class_var = P\n"
           "  tenant_var = T\n}\ndependency kurse {\n  endpoints = {\"127.0.0.1:1\", \"127.0.0.1:2\"}\n"
           "  places = {\"127.0.0.1:7947\", z0}\n  most_each = 7\n}\n");
  const auto& near = with_fleet.dependencies->rules[0].near;
  CHECK(near.levels.size() == 2 && near.levels[0] == failover::level::zone &&
        near.rules.max_calls_per_endpoint == 7);
  CHECK(with_fleet.fleet && with_fleet.fleet->name == "kurse" && with_fleet.fleet->seeds.size() == 1 &&
        with_fleet.fleet->hold_down == 3s);
  CHECK(with_fleet.fleet->zones.size() == 1 && with_fleet.fleet->zones[0].members.size() == 2);
}

// Guards against an operator's file that takes away what the platform's settings promise (review/6): a class
// that it does not name stays in memory, a window is at least that of the platform, and the Thrift front
// reads the key of the platform's protocol.
void operator_file_takes_nothing_away() {
  config settings = platform();
  settings.policy_settings.classes.push_back({.name = "kurs-liste", .latency_objective = 1s, .deadline = 3s});
  settings.platform_windows = {0s, 48h, 5s};
  settings.memory_idempotency.emplace().windows = settings.platform_windows;
  keyed_config on_disk;
  on_disk.uwsgi_var = "K";
  on_disk.windows = {24h, 24h, 0s};
  enable_durable_idempotency(settings, on_disk);
  CHECK(result_storage_of(settings, 0) == result_storage::disk);
  CHECK(result_storage_of(settings, 1) == result_storage::disk);
  CHECK(result_storage_of(settings, 2) == result_storage::memory);
  CHECK((settings.keyed->windows == std::vector<std::chrono::nanoseconds>{24h, 48h, 0s}));
  CHECK((settings.memory_idempotency->windows == std::vector<std::chrono::nanoseconds>{0s, 0s, 5s}));
  const key_rules thrift = thrift_key_rules(settings), uwsgi = uwsgi_key_rules(settings);
  CHECK(thrift.find(0) == nullptr);
  for (const std::size_t promised : {std::size_t{1}, std::size_t{2}})
    CHECK(thrift.find(promised)->source == "unique" && !thrift.find(promised)->required);
  CHECK(uwsgi.find(0)->source == "K" && uwsgi.find(0)->required && uwsgi.find(1)->required);
  CHECK(uwsgi.find(2)->source == "K" && !uwsgi.find(2)->required);
}

// No class is left in memory if the file has all of them on disk.
void all_classes_on_disk() {
  config settings = platform();
  settings.platform_windows = {0s, 5s};
  settings.memory_idempotency.emplace().windows = settings.platform_windows;
  keyed_config on_disk;
  on_disk.thrift_field = "key";
  on_disk.windows = {0s, 24h};
  enable_durable_idempotency(settings, on_disk);
  CHECK(!settings.memory_idempotency && result_storage_of(settings, 0) == result_storage::none);
  const key_rules thrift = thrift_key_rules(settings);
  CHECK(thrift.find(0) == nullptr && thrift.find(1)->source == "key" && thrift.find(1)->required);
}

void errors_name_file_line_and_key() {
  const std::map<std::string, std::string> faults = {
      {"uwsgi {\n\n  listen = nowhere\n}\n",
       "/node.conf:3: uwsgi.listen is not an address host:port: \"nowhere\""},
      {"uwsgi {\n  listne = x\n}\n", "/node.conf:2: no such option 'listne'"},
      {"class kurs-foo {\n}\n",
       "/node.conf:2: class \"kurs-foo\" is not defined in the platform's settings (the section ends on this "
       "line)"},
      {"class kurs-meldung {\n  keyed = maybe\n}\n",
       "/node.conf:2: class \"kurs-meldung\".keyed is neither yes nor no: \"maybe\""},
      {"class kurs-meldung {\n  keyed = yes\n}\n",
       "/node.conf:0: keyed is missing, but a class has keyed = yes"},
      {keyed_section + "class kurs-abfrage {\n  keyed = yes\n  window = 3s\n}\n",
       "/node.conf:10: class \"kurs-abfrage\".window is outside the allowed range: \"3s\""},
      {"keyed {\n  folder = a\n  thrift_field = k\n  space = 12parsecs\n}\n",
       "/node.conf:4: keyed.space is not a size such as 64MiB: \"12parsecs\""},
      {"keyed {\n  folder = a\n}\n",
       "/node.conf:3: keyed.uwsgi_var and thrift_field are both missing (the section ends on this line)"},
      {"fleet {\n  name = kurse\n  listen = \"127.0.0.1:7946\"\n  zone = z0\n}\n",
       "/node.conf:5: fleet.seeds lists no seed (the section ends on this line)"},
      {"zone z0 {\n  region = r\n}\n", "/node.conf:0: zone is set, but section fleet is missing"},
      {"fleet {\n  name = kurse\n  listen = \"127.0.0.1:7946\"\n  zone = z0\n  seeds = "
       "{\"127.0.0.1:7947\"}\n}\n"
       "zone z0 {\n  region = r\n  members = {\"127.0.0.1:7947\"}\n}\n",
       "/node.conf:3: fleet.listen is not a member of the zone that is set in zone: \"z0\""},
      {"dependency kurse {\n  endpoints = {\"127.0.0.1:1\"}\n  places = {z0}\n}\n",
       "/node.conf:3: dependency \"kurse\".places is set, but section fleet is missing"},
      {two_member_fleet + "dependency kurse {\n  endpoints = {\"127.0.0.1:1\"}\n  places = {z0, z0}\n}\n",
       "/node.conf:14: dependency \"kurse\".places does not have as many entries as endpoints"},
      {two_member_fleet + "dependency kurse {\n  endpoints = {\"127.0.0.1:1\"}\n  places = {z9}\n}\n",
       "/node.conf:14: dependency \"kurse\".places lists neither a zone nor a member of the fleet: \"z9\""},
  };
  for (const auto& [text, message] : faults) {
    if (fault(text) != message) std::fprintf(stderr, "got: %s\n", fault(text).c_str());
    CHECK(fault(text) == message);
  }
  CHECK(fault(keyed_section) == "none");
  // Section `writes`: the largest outcome must fit in a batch, and the space must be enough for compaction.
  const auto writes_with_participants = [](int participants, const std::string& sizes) {
    std::string text =
                    "uwsgi {\n  listen = \"127.0.0.1:1\"\n  servers = {\"127.0.0.1:2\"}\n  class_var = C\n  "
                    "tenant_var = T\n}\n"
                    "keyed {\n  folder = \"/tmp/x\"\n  uwsgi_var = K\n}\n",
                names;
    for (int i = 0; i < participants; ++i) {
      const std::string name = "p" + std::to_string(i);
      text += "dependency " + name + " {\n  endpoints = {\"127.0.0.1:3\"}\n}\n";
      names += (names.empty() ? "" : ", ") + name;
    }
    return text + "class kurs-meldung {\n  keyed = yes\n  participants = {" + names +
           "}\n}\nwrites {\n  folder = \"/tmp/y\"\n  step_var = S\n  id_var = I\n" + sizes + "}\n";
  };
  CHECK(fault(writes_with_participants(2, "  segment = 1MiB\n  space = 12MiB\n")) == "none");
  CHECK(fault(writes_with_participants(2, "  segment = 1MiB\n  space = 11MiB\n"))
            .find("writes.space is outside the range 12582912") != std::string::npos);
  CHECK(fault(writes_with_participants(40, "  segment = 1MiB\n"))
            .find("writes.segment is too small for the results") != std::string::npos);
  CHECK(fault(writes_with_participants(40, "")) == "none");
  try {
    config settings = platform();
    apply_operator_file(settings, test_folder() + "/none.conf");
    CHECK(false);
  } catch (const invalid_config& error) {
    CHECK(std::string(error.what()).find("none.conf: cannot be read") != std::string::npos);
  }
}

// operator_file_error carries the same faults as typed fields: file, line, key, problem and invalid value.
void errors_have_typed_fields() {
  const auto typed_fault = [](const std::string& text) {
    try {
      read(text);
    } catch (const operator_file_error& error) {
      return error.fault();
    }
    CHECK(false);
    return operator_file_fault{};
  };
  const std::string file = test_folder() + "/node.conf";
  const operator_file_fault value = typed_fault("uwsgi {\n\n  listen = nowhere\n}\n");
  CHECK(value.file == file && value.line == 3 && value.key == "uwsgi.listen");
  CHECK(value.problem == "is not an address host:port" && value.found == "nowhere" && !value.at_section_end);
  const operator_file_fault absent = typed_fault("keyed {\n  folder = a\n}\n");
  CHECK(absent.line == 3 && absent.key == "keyed.uwsgi_var" && absent.found.empty() && absent.at_section_end);
  const operator_file_fault unknown = typed_fault("uwsgi {\n  listne = x\n}\n");
  CHECK(unknown.line == 2 && unknown.key.empty() && unknown.problem == "no such option 'listne'");
  const operator_file_fault missing = typed_fault("class kurs-meldung {\n  keyed = yes\n}\n");
  CHECK(missing.line == 0 && missing.key == "keyed");
  CHECK(missing.problem == "is missing, but a class has keyed = yes");
  try {
    config settings = platform();
    apply_operator_file(settings, test_folder() + "/none.conf");
    CHECK(false);
  } catch (const operator_file_error& error) {
    CHECK(!error.fault().line && error.fault().file == test_folder() + "/none.conf");
  }
}

// The example files under deploy/ are valid.
void accepts_example_files() {
  for (const char* name : {"marblewharf.conf", "marblewharf-keyed.conf", "marblewharf-dependencies.conf",
                           "marblewharf-fleet.conf"}) {
    config settings = platform();
    for (const char* extra_class : {"kurs-liste", "kurs-auftrag"}) {
      settings.policy_settings.classes.push_back(settings.policy_settings.classes[0]);
      settings.policy_settings.classes.back().name = extra_class;
      settings.policy_settings.classes.back().latency_objective = 2s;
    }
    apply_operator_file(settings, std::string(DEPLOY) + "/" + name);
    CHECK(settings.uwsgi);
  }
}

void parses_units() {
  CHECK(parse_time("90s") == 90s && parse_time("1.5h") == 90min && parse_time("250us") == 250us);
  for (const char* invalid : {"", "s", "90", "-1s", "1e3s", "90 s", "1000000d", "inf s", "nans"})
    CHECK(!parse_time(invalid));
  CHECK(parse_bytes("64MiB") == 64u << 20 && parse_bytes("512") == 512u && !parse_bytes("1MB"));
  CHECK(parse_count("7") == 7u && !parse_count("7.5") && !parse_count("") &&
        !parse_count("99999999999999999999"));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"reads_sections", reads_all_sections},     {"takes_nothing_away", operator_file_takes_nothing_away},
      {"all_on_disk", all_classes_on_disk},       {"error_texts", errors_name_file_line_and_key},
      {"error_fields", errors_have_typed_fields}, {"units", parses_units},
      {"examples", accepts_example_files}};
  tests.at(argv[1])();
  ::unlink((test_folder() + "/node.conf").c_str());
  ::rmdir(test_folder().c_str());
  return 0;
}
