// Locality-aware load balancing: the shares of calls for the caller's zone, its region and the rest, as
// Envoy's locality priorities with overprovisioning and panic.
//
// Free of I/O and of state; any thread. The caller tells of each endpoint its level and whether it is able to
// take a call (healthy by its own checks, its zone not decided out, and under its admission limit), and draws
// the level with a number in [0, 1) of its own randomness.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace marblewharf::failover {

// How near an endpoint is to the caller.
enum class level : std::uint8_t { zone = 0, region = 1, rest = 2 };
inline constexpr std::size_t levels = 3;

struct locality_options {
  double overprovisioning = 1.4;  // a level keeps all its calls while at least 1/1.4 of it can take them
  double panic_threshold = 0.5;   // with a smaller fraction able, calls go to all endpoints alike
  unsigned most_each = 0;         // calls in flight at one endpoint before it counts as unable; 0: no limit
};

struct place {
  std::string zone;
  std::string region;
};

struct endpoint_state {
  level where = level::rest;
  bool able = true;  // to take a call
};

struct level_shares {
  std::array<double, levels> share{};  // adds up to 1 where any endpoint is there; all 0 where none is
  bool panic = false;                  // calls go to all endpoints alike, able or not
};

level level_of(const place& caller, const place& endpoint);

// The first level takes min(1, overprovisioning * its able fraction) of the calls, the next one the same of
// what is left, and so on; what no level covers is spread over the levels in proportion to what they took.
// Panic, as in Envoy, only where the levels together do not cover all calls (a zone that is cut off with its
// own endpoints healthy is in none) and fewer than panic_threshold of all endpoints are able: then the shares
// are the levels' fractions of all endpoints.
level_shares shares_of(std::span<const endpoint_state> endpoints, const locality_options& options = {});

// The level for one call; `uniform` in [0, 1). None where the shares are all 0.
std::optional<level> draw(const level_shares& shares, double uniform);

}  // namespace marblewharf::failover
