// The program's configuration: typed values with their defaults, and the reader of the platform's file. The
// whole configuration is read and checked at the start (config/operator_file.hpp adds the operator's file)
// and is then passed on by const reference.
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

// Thrown for an invalid configuration. The text names the invalid key.
struct invalid_config : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Maps a uwsgi var that the operator names to one property of a request.
struct var_mapping {
  std::string var;  // empty: the property is not read from a var
  // Key: value of the var. Mapped value: value of the property. Empty: both values are the same.
  std::map<std::string, std::string, std::less<>> values;
};

// Section `uwsgi`: the front for uwsgi callers and the uwsgi servers that run their requests.
struct uwsgi_config {
  endpoint listen;
  std::vector<endpoint> servers;
  var_mapping request_class;
  var_mapping tenant;
  var_mapping cost;                  // the var holds the expected work, in ms on one core
  std::vector<double> default_cost;  // by class, ms; used if the var is absent; 0: unknown
  double reserved_kb = 0;            // KB of memory reserved for each queued request
  bool compute_fingerprint = false;  // compute a fingerprint of each request; set for fan-outs
};

// Section `keyed`: idempotency with results on disk, which survive restarts, for the classes that the
// operator's file names.
struct keyed_config {
  std::string folder;
  std::string uwsgi_var;  // uwsgi var that holds the key; empty: uwsgi requests have no keys
  // Thrift field that holds the key. Empty: the field of the platform's protocol in classes that its settings
  // call keyed, and Thrift requests of other classes have no keys.
  std::string thrift_field;
  std::size_t max_key_bytes = 255;                          // maximum key size in bytes
  std::uint64_t max_folder_bytes = std::uint64_t{1} << 30;  // maximum size of the folder in bytes
  std::uint64_t segment_bytes = std::uint64_t{8} << 20;     // size of a segment file in bytes
  std::uint64_t max_keys = 1'000'000;                       // maximum number of stored keys
  // Idempotency windows by class, at least those of the platform; 0: results are not on disk.
  std::vector<std::chrono::nanoseconds> windows;
  // How long a run may continue after its deadline. Stopping the run would leave its outcome unknown.
  std::chrono::nanoseconds max_overrun = std::chrono::seconds(10);
  std::chrono::nanoseconds disk_retry_interval =
      std::chrono::milliseconds(500);  // retry interval after a disk error
  // The var and its value that mark a request to a server as an inquiry for the outcome of an earlier run;
  // empty: no inquiries are sent.
  std::string inquiry_var, inquiry_value;
  unsigned inquiry_tries = 3;
  // Delay before the second attempt. The delay doubles after each attempt, at most ten times.
  std::chrono::nanoseconds inquiry_retry_delay = std::chrono::milliseconds(200);
  std::chrono::nanoseconds scrub_interval{};  // interval between scrubs of the folder; 0: no scrubbing
};

// Idempotency in memory, for the keyed classes of the platform's settings whose results are not on disk.
struct memory_idempotency_config {
  std::size_t max_key_bytes = 255;                // maximum key size in bytes
  std::vector<std::chrono::nanoseconds> windows;  // by class; 0: results are not in memory
  std::chrono::nanoseconds longest_deadline{};    // longest deadline of all classes; no request starts later
  std::size_t max_bytes = 0;                      // maximum size of keys and results in bytes
};

// Section `background`: resource limits of background jobs (docs/scheduler.md).
struct background_config {
  unsigned workers = 1;                                      // threads
  double cpu_cores = 0.1;                                    // cores, for all jobs together
  std::uint64_t read_bytes_per_s = std::uint64_t{16} << 20;  // bytes per second, for all jobs together
  // Utilization of the cores, 0 to 1: full headroom up to `full_headroom_load`, no headroom from
  // `no_headroom_load` on.
  double full_headroom_load = 0.5, no_headroom_load = 0.85;
  // There is no headroom for this long after a request was queued.
  std::chrono::nanoseconds queue_cooldown = std::chrono::seconds(1);
  // A job that is overdue for this long runs also without headroom.
  std::chrono::nanoseconds max_overdue = std::chrono::hours(24);
};

// Section `dependency`: an upstream of fan-outs and transactions. upstream::dependency_rules has the rules
// for calls to the upstream.
struct dependency_config {
  std::string name;
  std::vector<endpoint> endpoints;
  std::string path;                 // PATH_INFO of calls to the upstream; empty: PATH_INFO of the request
  bool one_phase = false;           // the upstream has no prepare step when it is a participant
  std::vector<std::string> places;  // by endpoint: its zone, or the address of its member; empty: unknown
};

// Sections `dependencies`, `dependency` and `part`.
struct dependencies_config {
  std::vector<dependency_config> upstreams;
  std::vector<upstream::dependency_rules> rules;  // same index as `upstreams`
  std::vector<upstream::request_plan> plans;
  std::string budget_var;  // var with the time budget of a call in ms; empty: not sent
  std::size_t cache_bytes = std::size_t{8} << 20;  // maximum bytes of sub-responses cached for fallbacks
};

// A class whose requests are transactions.
struct transaction_plan {
  std::size_t request_class = 0;
  std::vector<std::size_t> participants;  // indices of dependencies_config::upstreams
  // An undecided transaction is aborted this long before the latency objective.
  std::chrono::nanoseconds reserve{};
  std::chrono::nanoseconds window{};  // how long the outcome is retained under its key
};

// Section `transactions`: transactions over several upstreams and their log on disk.
struct transactions_config {
  std::vector<transaction_plan> plans;
  std::string folder;
  std::uint64_t segment_bytes = std::uint64_t{8} << 20;       // size of a segment file in bytes
  std::uint64_t max_folder_bytes = std::uint64_t{256} << 20;  // maximum size of the folder in bytes
  std::string step_var, id_var;  // vars that pass the step and the transaction's id to a participant
  // Delay before an unanswered step is repeated. The delay doubles after each attempt, up to
  // `max_retry_delay`.
  std::chrono::nanoseconds retry_delay = std::chrono::milliseconds(200);
  std::chrono::nanoseconds max_retry_delay = std::chrono::seconds(5);
  std::size_t max_outcomes = 1'000'000;  // maximum number of outcomes retained by key; about 100 bytes each
  std::chrono::nanoseconds scrub_interval{};  // interval between scrubs of the folder; 0: no scrubbing
};

// Section `zone`.
struct fleet_zone {
  std::string name;
  std::string region;
  std::vector<endpoint> members;  // configured members; a quorum counts all of them, alive or dead
};

// Section `fleet`: the cluster whose members agree on which zones are down (docs/failover.md).
struct fleet_config {
  std::string name;             // sent in every datagram; datagrams of other clusters are dropped
  endpoint listen;              // UDP, for membership
  endpoint advertise;           // address that other members send to, listed in `zone`; default: `listen`
  std::string zone;             // zone of this node
  std::vector<endpoint> seeds;  // probed until they answer
  std::vector<fleet_zone> zones;
  std::chrono::nanoseconds probe_interval = std::chrono::milliseconds(500);
  std::chrono::nanoseconds probe_timeout = std::chrono::milliseconds(200);
  unsigned indirect_probes = 3;
  // Minimum suspicion time in probe intervals, divided by max(1, log10(live members)).
  double suspicion_min_rounds = 4;
  double suspicion_max_factor = 6;  // maximum suspicion time divided by the minimum
  unsigned suspicion_confirmations = 3;
  unsigned retransmits = 4;          // messages per membership change, divided by ceil(log10(members + 1))
  unsigned gossip_per_message = 8;   // maximum membership changes in a message
  unsigned refresh_per_message = 2;  // further entries of the member table in a message, in turn
  unsigned max_health_score = 8;     // maximum local health score; the score lengthens probe timeouts
  unsigned dead_member_probe_interval =
      5;  // probe intervals between probes of dead members; 0: no such probes
  // A zone must be healthy for this long before it gets traffic again.
  std::chrono::nanoseconds hold_down = std::chrono::seconds(10);
  std::chrono::nanoseconds vote_lease = std::chrono::seconds(10);  // a vote that is not renewed expires
  unsigned votes_per_message = 12;  // maximum votes of other members that a message forwards
  // After the start, a member from which no message has arrived counts as dead only after this time.
  std::chrono::nanoseconds start_grace = std::chrono::seconds(5);

  // The region of a zone; empty if the zone is unknown.
  std::string region_of(const std::string& zone_name) const;
};

// What a global limit counts: running requests, requests per second, or in-flight calls to an upstream.
enum class budget_unit { runs, requests, calls };

// Section `budget`: a global limit that the cluster divides among its nodes as quotas (docs/budgets.md).
struct budget_config {
  std::string name;
  budget_unit unit = budget_unit::runs;
  double limit = 0;             // the global limit, in its unit
  double guaranteed_share = 0;  // the guaranteed share of each configured member
  double weight = 1;            // relative weight of this node when the limit is divided
  // How long the runs or calls of a lost node count as in flight; 0 for unit `requests`.
  std::chrono::nanoseconds settle_time{};
  unsigned tenant = 0;                    // unit `requests` only
  int request_class = -1;                 // unit `requests` only; -1: all classes of the tenant
  std::optional<std::size_t> dependency;  // unit `calls` only
};

// Sections `budgets` and `budget`.
struct budgets_config {
  std::vector<budget_config> budgets;
  std::chrono::nanoseconds lease_duration = std::chrono::seconds(2);
  std::chrono::nanoseconds renew_interval = std::chrono::milliseconds(500);
  std::chrono::nanoseconds settle_time{};  // default of the budgets; if not set, the longest deadline
  double max_clock_drift = 0.01;           // maximum relative error of a clock's rate
  double join_reserve = 0.05;              // share of each limit reserved for joining nodes
  double clock_rate = 1;                   // rate of this node's clock; differs from 1 only in tests
  bool audit = false;                      // log every quota in force, without rate limit; only in tests
};

// The whole configuration. An absent optional part is disabled. The platform's file alone can enable only
// `console` and `memory_idempotency`; the operator's file enables the others.
struct config {
  std::string name;                 // name of the node in reports to the registry
  endpoint listen;                  // listen address of the Thrift front
  endpoint runtime;                 // backend that runs the Thrift requests
  endpoint registry;                // the registry
  std::optional<endpoint> console;  // listen address of the operators' console
  std::uint64_t seed = 0;           // passed to the admission policy
  limits bounds;
  admission_policy::settings policy_settings;
  std::optional<uwsgi_config> uwsgi;
  // Idempotency windows by class as the platform's settings promise them, with limits::rule_slack; 0: the
  // settings do not call the class keyed.
  std::vector<std::chrono::nanoseconds> platform_windows;
  std::optional<keyed_config> keyed;
  std::optional<memory_idempotency_config> memory_idempotency;  // absent if no class has results in memory
  std::optional<dependencies_config> dependencies;
  std::optional<transactions_config> transactions;  // needs `keyed` and `dependencies`
  std::optional<fleet_config> fleet;
  std::optional<budgets_config> budgets;  // needs `fleet`
  background_config background;           // used only if a part has background jobs
};

// Reads the text of the platform's configuration file. Throws invalid_config.
config read_config(const std::string& text);

// Enables the uwsgi front and reserves a part of the connections for it.
void enable_uwsgi(config& settings, uwsgi_config uwsgi);

// Enables durable idempotency for the classes with a window in `keyed`, in place of idempotency in memory,
// and marks these classes as keyed in the admission policy's settings. A window that is shorter than that of
// the platform is extended to it. All other classes are left as they are.
void enable_durable_idempotency(config& settings, keyed_config keyed);

// Enables fan-out. Throws invalid_config if uwsgi is disabled.
void enable_dependencies(config& settings, dependencies_config dependencies);

// Returns the contents of a file. Throws invalid_config, whose text names the file as `description`.
std::string read_file(const char* path, const char* description);

// Reads the file that $PROXY_CONFIG names. The console's address is `console` in the file, otherwise
// $PROXY_CONSOLE. Caps the number of descriptors at the process's limit (RLIMIT_NOFILE). Throws
// invalid_config.
config load_config();

}  // namespace marblewharf
