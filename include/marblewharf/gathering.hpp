// Fan-out for embedders: one answer from several sources. Each source has its own time budget, retries and
// hedged requests within budgets, a limit on calls in flight that follows latency, outlier ejection of its
// endpoints, and fallbacks. The decisions are those of the daemon (docs/dependencies.md); the calls are the
// embedder's functions.
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
  std::chrono::steady_clock::time_point until;  // nobody waits for the call after this
  const std::atomic<bool>* cancelled =
      nullptr;  // set once nobody waits; a long call looks at it now and then
};
// One call of an endpoint: its bytes, or an exception. It runs in a thread of the gathering's.
using source_call = std::function<std::string(const call_terms&)>;

// Thrown by a call that is to be retried no sooner than `wait` from now.
struct not_now : std::runtime_error {
  explicit not_now(std::chrono::nanoseconds wait) : std::runtime_error("not now"), after(wait) {}
  std::chrono::nanoseconds after;
};

// The locality of an endpoint, seen from this process: nearer endpoints are preferred while enough of them
// can take calls.
enum class nearness { own_zone, own_region, elsewhere };
struct near_rules {
  double overprovisioning = 1.4;  // a level keeps all calls while at least 1/1.4 of it can take them
  // Where the levels cannot take all calls and fewer than this share of all endpoints can, calls are spread
  // over all endpoints alike.
  double panic_threshold = 0.5;
  unsigned most_each = 0;  // calls at once at one endpoint before calls go to a further one; 0: no bound
};

struct source {
  std::string name;
  std::vector<source_call> endpoints;
  std::chrono::nanoseconds budget = std::chrono::seconds(1);  // for one part, all attempts together
  unsigned tries = 2;             // first attempt and retries; 1 where a call may not be made twice
  double hedge_share = 0;         // hedged requests for each first attempt; 0 = none
  unsigned threads = 8;           // calls at once, at most: a source that hangs blocks no more of them
  std::vector<nearness> where{};  // by endpoint; empty: all alike
  near_rules near{};
};

// A fallback, the first of these that is set.
struct stand_in_for {
  std::string source;                 // a part from another source
  std::chrono::nanoseconds oldest{};  // the last good part of the same subject, no older than this
  std::string fixed;                  // these bytes
};

// What one source contributes to the answer.
struct part_of {
  std::string name;
  std::string source;
  bool required = false;                // the answer fails without it
  std::vector<stand_in_for> stand_ins;  // tried in this order
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

// Owns a thread for each call that its sources may make at once, and one for timers. All functions are safe
// to call from any thread.
class gathering {
 public:
  // Throws std::invalid_argument for a plan that could not be kept: unknown names, a source twice in one
  // chain of fallbacks, budgets that do not fit the latency objective `aim`.
  gathering(std::vector<source> sources, const std::vector<part_of>& parts, std::chrono::nanoseconds aim,
            std::size_t cache_bytes = std::size_t{1} << 20, std::uint64_t seed = 0);
  // Waits for calls that still run.
  ~gathering();
  gathering(const gathering&) = delete;
  gathering& operator=(const gathering&) = delete;

  // Blocks until all parts are there or replaced, `within` has passed, or a required part is missing.
  gathered gather(std::uint64_t subject, std::chrono::nanoseconds within);

  // What the embedder knows of an endpoint: its zone is out, its process is suspected. It gets calls again
  // once it is said to be reachable. Throws std::invalid_argument for an unknown source, or an endpoint that
  // is not in the source's `where`.
  void set_reachable(const std::string& source, std::size_t endpoint, bool reachable);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace marblewharf::middleware
