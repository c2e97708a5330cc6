// The program's configuration: typed values with their defaults, and the reader of the platform's file. All
// of it is read and checked at the start (config/operator_file.hpp adds the operator's file) and then passed
// down by const reference.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "admission_policy/policy.hpp"
#include "config/endpoint.hpp"
#include "config/limits.hpp"
#include "upstream/plan.hpp"

namespace marblewharf {

// A configuration that cannot be used; the text names the key at fault.
struct bad_config : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// How a uwsgi var of the operator's choice tells one property of a request.
struct var_mapping {
  std::string var;  // empty: no var tells it
  // The property's value by the var's; empty: they are the same.
  std::map<std::string, std::string, std::less<>> values;
};

// Section `uwsgi`: the second front and the servers behind it.
struct uwsgi_config {
  endpoint listen;
  std::vector<endpoint> servers;
  var_mapping request_class;
  var_mapping tenant;
  var_mapping cost;                  // expected work, ms on one core
  std::vector<double> default_cost;  // by class, ms, where the var is absent; 0: unknown
  double reserved_kb = 0;            // KB of memory reserved for each queued request
  bool hash_content = false;         // compute a fingerprint of each request: another part needs it
};

// Section `keyed`: idempotency with results on disk, known across restarts.
struct keyed_config {
  std::string folder;
  std::string uwsgi_var;                           // holds the key; empty: uwsgi requests have none
  std::string thrift_field;                        // the same of Thrift requests
  std::size_t longest_key = 255;                   // bytes
  std::uint64_t space = std::uint64_t{1} << 30;    // bytes of the folder
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes of one file in it
  std::uint64_t entries = 1'000'000;               // keys known at once
  std::vector<std::chrono::nanoseconds> windows;   // idempotency windows by class; 0: not keyed
  // A run past its deadline may go on for so long, as one that is stopped has an unknown outcome.
  std::chrono::nanoseconds finish_within = std::chrono::seconds(10);
  std::chrono::nanoseconds retry_disk = std::chrono::milliseconds(500);  // between attempts at a failed disk
  // The var and its value that ask a server for the outcome of an earlier run; empty: no server is asked.
  std::string inquiry_var, inquiry_value;
  unsigned inquiry_tries = 3;
  std::chrono::nanoseconds inquiry_pause = std::chrono::milliseconds(200);  // before the second; then doubled
  std::chrono::nanoseconds scrub{};  // between two scrubs of the folder; 0: never
};

// Idempotency in memory, for keyed classes of the platform's settings. Unused where there is a keyed_config.
struct repeats_config {
  std::string thrift_field = "unique";            // holds the key; a request without it has none
  std::size_t longest_key = 255;                  // bytes
  std::vector<std::chrono::nanoseconds> windows;  // by class, with limits::rule_slack; 0: not keyed
  std::chrono::nanoseconds longest_wait{};        // the longest deadline: no request is run after it
  std::size_t memory = 0;                         // bytes of keys and results
};

// Section `background`: what background work may use (docs/scheduler.md).
struct background_config {
  unsigned workers = 1;                          // threads
  double cpu = 0.1;                              // cores, all jobs together
  std::uint64_t read = std::uint64_t{16} << 20;  // bytes a second, all jobs together
  // Busy shares of the cores, 0 to 1: full headroom up to `quiet`, none from `busy` on.
  double quiet = 0.5, busy = 0.85;
  std::chrono::nanoseconds calm = std::chrono::seconds(1);     // no headroom so long after a request queued
  std::chrono::nanoseconds deadline = std::chrono::hours(24);  // a job due for so long needs no headroom
};

// Section `dependency`: an upstream of fan-outs and transactions. The rules for calls to it are apart, in
// upstream::dependency_rules.
struct dependency_config {
  std::string name;
  std::vector<endpoint> at;
  std::string path;                 // PATH_INFO of its calls; empty: the request's own
  bool one_phase = false;           // as a participant of transactions, it cannot prepare
  std::vector<std::string> places;  // by endpoint: its zone or cluster member; empty: unknown
};

// Sections `dependencies`, `dependency` and `part`.
struct dependencies_config {
  std::vector<dependency_config> endpoints;
  std::vector<upstream::dependency_rules> rules;  // index: as `endpoints`
  std::vector<upstream::request_plan> plans;
  std::string budget_var;                    // tells an upstream the ms it has; empty: nothing does
  std::size_t cache = std::size_t{8} << 20;  // bytes of sub-responses kept for fallbacks
};

// A class whose requests are transactions.
struct write_plan {
  std::size_t request_class = 0;
  std::vector<std::size_t> participants;  // indices of dependencies_config::endpoints
  std::chrono::nanoseconds
      reserve{};                      // before the latency objective: an undecided transaction is undone then
  std::chrono::nanoseconds window{};  // how long the outcome is known by its key
};

// Section `writes`: transactions over several upstreams and their log on disk.
struct writes_config {
  std::vector<write_plan> plans;
  std::string folder;
  std::uint64_t segment = std::uint64_t{8} << 20;  // bytes of one file
  std::uint64_t space = std::uint64_t{256} << 20;  // bytes of the folder
  std::string step_var, id_var;                    // tell a participant its step and the transaction's id
  std::chrono::nanoseconds retry = std::chrono::milliseconds(200);  // of an unanswered step; then doubled
  std::chrono::nanoseconds longest_retry = std::chrono::seconds(5);
  std::size_t outcomes = 1'000'000;  // known at once by key, about 100 bytes each
  std::chrono::nanoseconds scrub{};  // between two scrubs of the folder; 0: never
};

// Section `zone`.
struct fleet_zone {
  std::string name;
  std::string region;
  std::vector<endpoint> members;  // the configured ones: a quorum counts these, alive or not
};

// Section `fleet`: the cluster that decides in common which zones are out (docs/failover.md).
struct fleet_config {
  std::string name;             // in every datagram: those of other clusters are dropped
  endpoint listen;              // UDP, for membership
  endpoint advertise;           // where others send to; a member of `zone`. As `listen` unless set
  std::string zone;             // this node's
  std::vector<endpoint> seeds;  // probed until they answer
  std::vector<fleet_zone> zones;
  std::chrono::nanoseconds probe_interval = std::chrono::milliseconds(500);
  std::chrono::nanoseconds probe_timeout = std::chrono::milliseconds(200);
  unsigned indirect_probes = 3;
  double suspicion_min_rounds = 4;  // shortest suspicion, in probe intervals times log10 of the members
  double suspicion_max_factor = 6;  // the longest over the shortest
  unsigned suspicion_confirmations = 3;
  unsigned retransmits = 4;          // of each change, times log10 of the members
  unsigned gossip_per_message = 8;   // changes
  unsigned refresh_per_message = 2;  // members of the whole table in turn, beside the changes
  unsigned health_most = 8;          // highest local health score, which lengthens probe timeouts
  unsigned reconnect_every = 5;      // probe intervals; 0: a member held dead is never probed
  std::chrono::nanoseconds hold_down =
      std::chrono::seconds(10);  // a zone is healthy so long before it is back
  std::chrono::nanoseconds vote_lease = std::chrono::seconds(10);  // a vote that is not renewed expires
  unsigned votes_per_message = 12;                                 // of other members, retransmitted
  // A member that has not been heard of counts as dead only so long after the start.
  std::chrono::nanoseconds start_grace = std::chrono::seconds(5);

  // The region of a zone; empty: there is no such zone.
  std::string region_of(const std::string& zone_name) const;
};

// What a global limit counts: running requests, requests a second, or calls in flight to an upstream.
enum class budget_unit { runs, requests, calls };

// Section `budget`: a global limit that the cluster divides among its nodes as quotas (docs/budgets.md).
struct budget_config {
  std::string name;
  budget_unit unit = budget_unit::runs;
  double whole = 0;   // the global limit, in its unit
  double safe = 0;    // the guaranteed share of each configured member
  double weight = 1;  // of this node, in the division
  // How long what a lost node had in flight still counts; 0 for requests.
  std::chrono::nanoseconds settle{};
  unsigned tenant = 0;                    // of requests
  int request_class = -1;                 // of requests; -1: all of the tenant's
  std::optional<std::size_t> dependency;  // of calls
};

// Sections `budgets` and `budget`.
struct budgets_config {
  std::vector<budget_config> all;
  std::chrono::nanoseconds lease = std::chrono::seconds(2);
  std::chrono::nanoseconds renew = std::chrono::milliseconds(500);
  std::chrono::nanoseconds settle{};  // of budgets without their own; the longest deadline unless set
  double drift = 0.01;                // largest relative error of a clock's rate
  double reserve = 0.05;              // share of each limit kept for nodes that join
  double clock_rate = 1;              // of this node's clock; other than 1 in tests only
  bool audit = false;                 // log every quota in force, without a bound on lines; in tests only
};

// The whole configuration. What is absent is off; the platform's file alone turns on no optional part but
// `console` and `repeats`.
struct config {
  std::string name;                 // of the node, in reports to the registry
  endpoint listen;                  // Thrift
  endpoint runtime;                 // runs the requests
  endpoint directory;               // the registry
  std::optional<endpoint> console;  // of the operators
  std::uint64_t seed = 0;           // of the admission policy's random choices
  limits bounds;
  admission_policy::settings settings;
  std::optional<uwsgi_config> uwsgi;
  std::optional<keyed_config> keyed;
  std::optional<repeats_config> repeats;  // absent where `keyed` is there
  std::optional<dependencies_config> dependencies;
  std::optional<writes_config> writes;  // needs `keyed` and `dependencies`
  std::optional<fleet_config> fleet;
  std::optional<budgets_config> budgets;  // needs `fleet`
  background_config background;           // in use where a part has background work
};

// Reads the text of the platform's configuration file. Throws bad_config.
config read_config(const std::string& text);

// Turns the second front on: a part of the connections is its own from then on.
void turn_on_uwsgi(config& settings, uwsgi_config uwsgi);

// Turns durable idempotency on, in place of the one in memory: the admission policy is told which classes are
// keyed.
void turn_on_keys(config& settings, keyed_config keyed);

// Turns fan-out on. Throws bad_config where uwsgi is off.
void turn_on_dependencies(config& settings, dependencies_config dependencies);

// The text of a file. Throws bad_config, in which `what` stands for the file.
std::string read_file(const char* path, const char* what);

// Reads the file that $PROXY_CONFIG names. The console's address is `console` there, or else $PROXY_CONSOLE;
// there are no more descriptors than this process may open. Throws bad_config.
config load_config();

}  // namespace marblewharf
