// Fan-out for embedders: combines parts from several sources into one answer. Each source has a time
// budget, a limit on concurrent calls that adapts to latency, and budgets that limit its retries and hedged
// requests; endpoints that fail are ejected. Each part can have fallbacks. The rules are those of the daemon
// (docs/dependencies.md); the embedder supplies the functions that make the calls.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace marblewharf::middleware {

// The deadline and cancellation state that a call receives.
struct call_terms {
  std::chrono::steady_clock::time_point until;  // deadline: the result is not used afterwards
  // Becomes true when the result is no longer needed. A long call should poll it.
  const std::atomic<bool>* cancelled = nullptr;
};
// A call to an endpoint. Returns the bytes of the part or throws. Runs on a thread of the gathering.
using source_call = std::function<std::string(const call_terms&)>;

// Thrown by a call that the endpoint rejected. The call is retried after `wait` at the earliest.
struct not_now : std::runtime_error {
  explicit not_now(std::chrono::nanoseconds wait)
      : std::runtime_error("call rejected by the endpoint"), after(wait) {}
  std::chrono::nanoseconds after;
};

// The locality level of an endpoint relative to this process. Nearer endpoints are preferred while enough of
// them are available.
enum class nearness { own_zone, own_region, elsewhere };
struct near_rules {
  // A locality level gets all calls while at least 1/overprovisioning of its endpoints are available.
  double overprovisioning = 1.4;
  // If the levels cannot take all calls, and less than this share of all endpoints is available, calls are
  // spread evenly over all endpoints.
  double panic_threshold = 0.5;
  unsigned most_each = 0;  // concurrent calls per endpoint before a less near one is used; 0: no limit
};

struct source {
  std::string name;
  std::vector<source_call> endpoints;
  std::chrono::nanoseconds budget = std::chrono::seconds(1);  // for all attempts at one part together
  unsigned tries = 2;      // maximum attempts, including the first; 1 for calls that must not be repeated
  double hedge_share = 0;  // hedged requests per first attempt; 0: no hedging
  unsigned threads = 8;    // maximum concurrent calls; bounds the threads blocked by a hanging source
  std::vector<nearness> where{};  // locality by endpoint; empty: no preference
  near_rules near{};
};

// A fallback: the first of these members that is set.
struct stand_in_for {
  std::string source;  // another source, from which the part is requested
  // Maximum age for a fallback to the last successful part of the same subject, or, for a shared part, of the
  // same object.
  std::chrono::nanoseconds oldest{};
  std::string fixed;  // a fixed text that becomes the part; empty: not set
};

// Whom an answer is for and what it describes.
class subject {
 public:
  // `member`: the authenticated customer that asks. `object`: the id of the object that the parts describe.
  subject(std::string_view member, std::uint64_t object) : member_(member), object_(object) {}
  const std::string& member() const { return member_; }
  std::uint64_t object() const { return object_; }

 private:
  std::string member_;
  std::uint64_t object_;
};

// One part of the answer and the source that it comes from.
struct part_of {
  std::string name;
  std::string source;
  bool required = false;                // the answer fails without this part
  std::vector<stand_in_for> stand_ins;  // fallbacks, tried in this order
  bool shared = false;                  // equal for all members: a stale part may be that of another member
};

enum class part_state { missing, fresh, stale, stand_in };
struct gathered_part {
  part_state state = part_state::missing;
  std::chrono::nanoseconds age{};  // set if the part is stale
  std::string bytes;
};
struct gathered {
  bool complete = false;             // all parts are fresh
  bool failed = false;               // a required part is missing
  std::vector<gathered_part> parts;  // in the order of the constructor's `parts`
};

// Owns `source::threads` threads per source and one timer thread. All functions are safe to call from any
// thread.
class gathering {
 public:
  // `aim`: the latency objective. Throws std::invalid_argument for an invalid plan: an unknown name, a source
  // that occurs twice in one chain of fallbacks, or budgets that exceed the latency objective.
  gathering(std::vector<source> sources, const std::vector<part_of>& parts, std::chrono::nanoseconds aim,
            std::size_t cache_bytes = std::size_t{1} << 20, std::uint64_t seed = 0);
  // Waits for running calls to return.
  ~gathering();
  gathering(const gathering&) = delete;
  gathering& operator=(const gathering&) = delete;

  // Blocks until every part has a result or a fallback, `within` has passed, or a required part has failed.
  // A stale fallback has the same subject; that of a shared part has the same object.
  gathered gather(const subject& about, std::chrono::nanoseconds within);

  // Reports what the embedder knows about an endpoint, for example that its zone is down. An unreachable
  // endpoint gets no calls until it is reported reachable. Throws std::invalid_argument for an unknown
  // source, or for an endpoint that is not in the source's `where`.
  void set_reachable(const std::string& source, std::size_t endpoint, bool reachable);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace marblewharf::middleware
