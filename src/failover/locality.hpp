// Locality-aware load balancing: divides calls among the caller's zone, its region and the remaining
// endpoints, like Envoy's priority levels with overprovisioning factor and panic threshold.
//
// Stateless and without I/O; may be called from any thread. The caller provides, for each endpoint, its
// locality level and whether it is able to accept a call (its health checks succeed, its zone is not decided
// out and its admission limit is not reached). The caller draws the level of a call with its own uniform
// random number in [0, 1).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace marblewharf::failover {

// The locality of an endpoint relative to the caller: same zone, same region or elsewhere.
enum class level : std::uint8_t { zone = 0, region = 1, rest = 2 };
inline constexpr std::size_t level_count = 3;

struct locality_options {
  // A level keeps all its calls if at least 1/overprovisioning of its endpoints are available.
  double overprovisioning = 1.4;
  // If a smaller fraction of all endpoints is available, panic is possible; see shares_of().
  double panic_threshold = 0.5;
  // An endpoint with this many calls in flight counts as unavailable; 0: no limit.
  unsigned max_calls_per_endpoint = 0;
};

struct place {
  std::string zone;
  std::string region;
};

struct endpoint_availability {
  level where = level::rest;
  bool available = true;  // whether the endpoint is available, that is, can accept a call
};

struct level_shares {
  std::array<double, level_count> share{};  // by level; the sum is 1, or 0 if there are no endpoints
  bool panic = false;                       // calls are spread equally over all endpoints, available or not
};

level level_of(const place& caller, const place& endpoint);

// The coverage of a level is min(1, overprovisioning * fraction of its endpoints that are available). The
// levels are filled in order: each gets the remaining calls up to its coverage. Calls that no level covers
// are divided among the levels in proportion to these shares. Panic, as in Envoy, applies if the coverages
// add up to less than 1 and a smaller fraction than panic_threshold of all endpoints is available; the share
// of a level is then its fraction of all endpoints. A zone that is cut off while its own endpoints are
// healthy covers all calls and therefore does not panic.
level_shares shares_of(std::span<const endpoint_availability> endpoints,
                       const locality_options& options = {});

// Selects the level for one call; `uniform` is in [0, 1). Returns nullopt if all shares are 0.
std::optional<level> draw_level(const level_shares& shares, double uniform);

}  // namespace marblewharf::failover
