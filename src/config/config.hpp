// The one place where the configuration is read, checked and given defaults.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "config/limits.hpp"
#include "upstream/plan.hpp"

namespace marblewharf {

// The text names the key at fault.
struct bad_config : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const endpoint&) const = default;
};

// One thing that a uwsgi request tells through a var of the operator's choice.
struct var_mapping {
  std::string var;  // empty: not sent
  // What its values mean, by name; empty: the value is the name.
  std::map<std::string, std::string, std::less<>> values;
};

// The second front, from the operator's file (config/operator_file).
struct uwsgi_config {
  endpoint listen;
  std::vector<endpoint> servers;
  var_mapping request_class;
  var_mapping tenant;
  var_mapping cost;                  // in milliseconds on one core
  std::vector<double> default_cost;  // by class, where the var is absent; 0 = not stated
  double reserved_kb = 0;            // booked for each request while it is held
  bool hash_content = false;         // of each request: somebody wants to know what it is about
};

// Results of keyed requests kept across restarts, from the operator's file.
struct keyed_config {
  std::string folder;
  std::string uwsgi_var;                           // tells the key; empty: that front gives none
  std::string thrift_field;                        // the same
  std::size_t longest_key = 255;                   // bytes
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes of the folder
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes of one file in it
  std::uint64_t entries = 1'000'000;               // keys known at once
  std::vector<std::chrono::nanoseconds> windows;   // by class: how long a repeat may come; 0 = not keyed
  std::chrono::nanoseconds finish_within = std::chrono::seconds(10);  // of a run that was given up
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);
  std::string inquiry_var, inquiry_value;  // what asks a server for the outcome of a write; empty: none does
  unsigned inquiry_tries = 3;
  std::chrono::nanoseconds inquiry_pause = std::chrono::milliseconds(200);  // before the second; then doubled
  std::chrono::nanoseconds scrub{};  // closed segments are read again that often; 0: never
};

// Keyed classes of the platform's settings: repeats are known while their window lasts, in memory. Gives way
// to keyed_config where the operator's file has one.
struct repeats_config {
  std::string thrift_field = "unique";            // tells the key; a request without it has none
  std::size_t longest_key = 255;                  // bytes
  std::vector<std::chrono::nanoseconds> windows;  // by class, the slack of all times included; 0 = not keyed
  std::chrono::nanoseconds longest_wait{};        // the longest deadline: nothing is run that waited longer
  std::size_t memory = 0;                         // bytes
};

// Budgets and room of background work (docs/scheduler.md), from the operator's file.
struct background_config {
  unsigned workers = 1;
  double cpu = 0.1;                                            // of one core, all jobs together
  std::uint64_t read = std::uint64_t{16} << 20;                // bytes a second, all jobs together
  double quiet = 0.5, busy = 0.85;                             // busy cores with all room, and with none
  std::chrono::nanoseconds calm = std::chrono::seconds(1);     // none so long after a request had to wait
  std::chrono::nanoseconds deadline = std::chrono::hours(24);  // a job due for so long runs also without room
};

// Sources that answers of planned classes are gathered from, from the operator's file.
struct dependency_config {
  std::string name;
  std::vector<endpoint> at;
  std::string path;                 // PATH_INFO of its calls; empty: the request's own
  bool one_phase = false;           // of writes: it cannot prepare
  std::vector<std::string> places;  // by endpoint: its zone, or the fleet's member there; empty: not known
};
struct dependencies_config {
  std::vector<dependency_config> endpoints;       // by dependency
  std::vector<upstream::dependency_rules> rules;  // the same
  std::vector<upstream::request_plan> plans;
  std::string budget_var;                    // tells a dependency its milliseconds; empty: nothing does
  std::size_t cache = std::size_t{8} << 20;  // bytes of old parts
};

// Writes over several participants, from the operator's file.
struct write_plan {
  std::size_t request_class = 0;
  std::vector<std::size_t> participants;  // dependencies
  std::chrono::nanoseconds reserve{};     // of the aim: what is not decided by then is undone
  std::chrono::nanoseconds window{};      // how long the outcome is known by its key
};
struct writes_config {
  std::vector<write_plan> plans;
  std::string folder;
  std::uint64_t segment = std::uint64_t{8} << 20;
  std::uint64_t space = std::uint64_t{256} << 20;
  std::string step_var, id_var;  // tell a participant its step, and the write by its id
  std::chrono::nanoseconds retry =
      std::chrono::milliseconds(200);  // of a step that nobody answered; then doubled
  std::chrono::nanoseconds longest_retry = std::chrono::seconds(5);
  std::size_t outcomes = 1'000'000;  // known at once, by key: about 100 bytes each
  std::chrono::nanoseconds scrub{};  // as of keyed results
};

// A fleet of price nodes that learn each other and decide zones out in common (docs/failover.md), from the
// operator's file. None named: nothing of it runs, as in `run` on the platform, which bars talk among
// instances.
struct fleet_zone {
  std::string name;
  std::string region;
  std::vector<endpoint> members;  // the configured members: the quorum counts these, never the ones alive
};
struct fleet_config {
  std::string name;    // carried in every datagram: another fleet's are dropped
  endpoint listen;     // UDP, for membership
  endpoint advertise;  // what the others send to; one of the members of `zone`. As `listen` unless set
                       // (a relay between nodes, as the fleet tests have, takes another)
  std::string zone;    // this node's
  std::vector<endpoint> seeds;  // probed until they answer
  std::vector<fleet_zone> zones;
  std::chrono::nanoseconds probe_interval = std::chrono::milliseconds(500);
  std::chrono::nanoseconds probe_timeout = std::chrono::milliseconds(200);
  unsigned indirect_probes = 3;
  double suspicion_min_rounds = 4;  // shortest suspicion, in probe intervals times log10 of the members
  double suspicion_max_factor = 6;  // the longest over the shortest
  unsigned suspicion_confirmations = 3;
  unsigned retransmits = 4;  // of each change, times log10 of the members
  unsigned gossip_per_message = 8;
  unsigned refresh_per_message = 2;  // claims of the whole table in turn, beside the changes
  unsigned health_most = 8;
  unsigned reconnect_every = 5;  // probe intervals; 0: a member held dead is never pinged
  std::chrono::nanoseconds hold_down = std::chrono::seconds(10);   // healthy that long before a zone is back
  std::chrono::nanoseconds vote_lease = std::chrono::seconds(10);  // a vote not issued again stands that long
  unsigned votes_per_message = 12;                                 // of others, passed on
  std::chrono::nanoseconds start_grace =
      std::chrono::seconds(5);  // a member not heard of since the start is not gone

  // The region of a zone; empty: no such zone.
  std::string region_of(const std::string& zone) const;
};

// Wholes that the fleet divides among its nodes (docs/budgets.md), from the operator's file. None named:
// nothing of it runs, as in `run` on the platform.
enum class budget_unit { runs, requests, calls };
struct budget_config {
  std::string name;
  budget_unit unit = budget_unit::runs;
  double whole = 0;
  double safe = 0;    // of each configured member, always its own
  double weight = 1;  // of this node
  std::chrono::nanoseconds
      settle{};            // what a lost node had in flight is counted that much longer; of requests: 0
  unsigned tenant = 0;     // of requests
  int request_class = -1;  // of requests; -1: all of the tenant's
  std::optional<std::size_t> dependency;  // of calls
};
struct budgets_config {
  std::vector<budget_config> all;
  std::chrono::nanoseconds lease = std::chrono::seconds(2);
  std::chrono::nanoseconds renew = std::chrono::milliseconds(500);
  std::chrono::nanoseconds settle{};  // of budgets that do not say otherwise; left out: the longest deadline
  double drift = 0.01;                // the most that a clock's rate is wrong
  double reserve = 0.05;              // share of each whole kept for nodes that join
  double clock_rate = 1;              // of this node's clock; other than 1 for tests alone
  bool audit = false;                 // log each share in force, without a bound on lines; for tests alone
};

struct config {
  std::string name;
  endpoint listen;
  endpoint runtime;
  endpoint directory;
  std::optional<endpoint> console;  // the operators' console; none: there is none
  std::uint64_t seed = 0;
  limits bounds;
  admission_policy::settings settings;
  std::optional<uwsgi_config> uwsgi;                // none: that front is off
  std::optional<keyed_config> keyed;                // none: no results are kept on disk
  std::optional<repeats_config> repeats;            // none: no class is keyed, or `keyed` has them
  std::optional<dependencies_config> dependencies;  // none: no class is gathered
  std::optional<writes_config> writes;              // none: no write has several participants
  std::optional<fleet_config> fleet;                // none: membership and failover are off
  std::optional<budgets_config> budgets;            // none: no whole is divided
  background_config background;                     // of use where something asks for background work
};

// Reads the text of a configuration file.
config read_config(const std::string& text);

// Turns the second front on: part of the connections are its own from then on.
void turn_on_uwsgi(config& c, uwsgi_config mapping);

// Keeps the results of keyed requests: the module is told which classes are keyed.
void turn_on_keys(config& c, keyed_config keys);

// Answers of planned classes are gathered from dependencies.
void turn_on_dependencies(config& c, dependencies_config all);

// The text of a file; `what` names it in the message of the failure.
std::string read_file(const char* path, const char* what);

// Reads the file that PROXY_CONFIG names; the console is at `console` there, or else at $PROXY_CONSOLE.
config load_config();

}  // namespace marblewharf
