// One answer from several sources, for handlers behind the middleware or any other code: each source under
// its own time budget, with further attempts and second copies within shares, a limit on calls in flight that
// follows latency, endpoints that fail held out, and stand-ins. The decisions are those of the daemon
// (docs/dependencies.md); the calls are functions of the embedder's.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace marblewharf::middleware {

// What a call is told.
struct call_terms {
  std::chrono::steady_clock::time_point until;   // nobody waits for it any longer
  const std::atomic<bool>* cancelled = nullptr;  // set once nobody does; a long call looks now and then
};
// One call of an endpoint: its bytes, or an exception. It runs in a thread of the gathering's.
using source_call = std::function<std::string(const call_terms&)>;

// Thrown by a call that was told to come back later: no attempt is made there before.
struct not_now : std::runtime_error {
  explicit not_now(std::chrono::nanoseconds wait) : std::runtime_error("not now"), after(wait) {}
  std::chrono::nanoseconds after;
};

// Where an endpoint is, seen from this process: calls stay near while enough of what is near can take them.
enum class nearness { own_zone, own_region, elsewhere };
struct near_rules {
  double overprovisioning = 1.4;  // a level keeps all calls while at least 1/1.4 of it can take them
  double panic_threshold = 0.5;   // where the levels cannot take all calls and fewer than this share of all
                                  // endpoints can, calls go over all alike
  unsigned most_each = 0;         // calls at once at one endpoint before further ones go on; 0: no bound
};

struct source {
  std::string name;
  std::vector<source_call> endpoints;
  std::chrono::nanoseconds budget = std::chrono::seconds(1);  // for one part, all attempts together
  unsigned tries = 2;             // first call and further attempts; 1 where a call may not be made twice
  double hedge_share = 0;         // second copies of slow calls for each first call; 0 = none
  unsigned threads = 8;           // calls at once, at most: a source that hangs takes no more
  std::vector<nearness> where{};  // by endpoint; empty: all alike
  near_rules near{};
};

struct stand_in_for {
  std::string source;  // another source; or, where empty,
  std::chrono::nanoseconds
      oldest{};       // the last good part of the same subject, no older than this; or, where 0,
  std::string fixed;  // these bytes
};

struct part_of {
  std::string name;
  std::string source;
  bool required = false;
  std::vector<stand_in_for> stand_ins;
};

enum class part_state { missing, fresh, stale, stand_in };
struct gathered_part {
  part_state state = part_state::missing;
  std::chrono::nanoseconds age{};  // where stale
  std::string bytes;
};
struct gathered {
  bool complete = false;             // all parts are fresh
  bool failed = false;               // a required part is missing
  std::vector<gathered_part> parts;  // in the order of the plan
};

class gathering {
 public:
  // Throws std::invalid_argument for a plan that could not be kept: unknown names, a source twice in one
  // chain, budgets that do not fit `aim`.
  gathering(std::vector<source> sources, std::vector<part_of> parts, std::chrono::nanoseconds aim,
            std::size_t cache_bytes = std::size_t{1} << 20, std::uint64_t seed = 0);
  // Waits for calls that still run.
  ~gathering();
  gathering(const gathering&) = delete;
  gathering& operator=(const gathering&) = delete;

  // Blocks until all parts are there or replaced, `within` has passed, or a required part is missing. From
  // any thread.
  gathered gather(std::uint64_t subject, std::chrono::nanoseconds within);

  // What the embedder knows of an endpoint's place: its zone is out, its process is suspected. Calls go there
  // again once it is said to be reachable. Only for a source with `where`. From any thread. Throws
  // std::invalid_argument.
  void set_reachable(const std::string& source, std::size_t endpoint, bool reachable);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace marblewharf::middleware
