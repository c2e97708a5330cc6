// Locality-aware load balancing (ctest -L failover). Guards against calls leaving the caller's zone without
// need, and against overloading the available endpoints of a level that has lost most of its endpoints.
#include "failover/locality.hpp"

#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf::failover;

namespace {

// `total` endpoints in each level, of which `able` are available (can accept calls).
std::vector<endpoint_availability> endpoints_of(std::array<int, 3> total, std::array<int, 3> able) {
  std::vector<endpoint_availability> endpoints;
  for (std::size_t l = 0; l < 3; ++l)
    for (int i = 0; i < total[l]; ++i) endpoints.push_back({static_cast<level>(l), i < able[l]});
  return endpoints;
}

bool near(double a, double b) {
  return std::fabs(a - b) < 1e-9;
}

void levels_by_zone_and_region() {
  const place caller{"muc-a", "muc"};
  CHECK(level_of(caller, {"muc-a", "muc"}) == level::zone);
  CHECK(level_of(caller, {"muc-b", "muc"}) == level::region);
  CHECK(level_of(caller, {"fra-a", "fra"}) == level::rest);
  CHECK(level_of({"", ""}, {"", ""}) == level::rest);  // an unknown zone or region matches no other
}

void shares_follow_able_endpoints() {
  // All endpoints are available: all calls stay in the zone.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {3, 3, 3})).share[0], 1));
  // With three of four endpoints available, 1.4 * 3/4 > 1, so all calls stay in the zone. With two of three
  // available, 1.4 * 2/3 of the calls stay in the zone.
  CHECK(near(shares_of(endpoints_of({4, 3, 3}, {3, 3, 3})).share[0], 1));
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {2, 3, 3})).share[0], 1.4 * 2 / 3));
  // With one of two endpoints available, 0.7 of the calls stay in the zone and 0.3 go to the region.
  const level_shares half = shares_of(endpoints_of({2, 3, 3}, {1, 3, 3}));
  CHECK(near(half.share[0], 0.7) && near(half.share[1], 0.3) && near(half.share[2], 0) && !half.panic);
  // No endpoint of the zone is available: the region gets all calls.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {0, 3, 3})).share[1], 1));
  // No endpoint of the zone or the region is available, but all others are: the remaining level covers all
  // calls, so there is no panic although 6 of 9 endpoints are unavailable.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {0, 0, 3})).share[2], 1));
  // The levels do not cover all calls, and less than half of all endpoints are available: in panic mode all
  // endpoints get equal shares.
  const level_shares panic = shares_of(endpoints_of({3, 3, 3}, {0, 0, 2}));
  CHECK(panic.panic && near(panic.share[0], 1.0 / 3));
  // A zone that is cut off observes its own endpoints as available and all others as unavailable: its calls
  // stay in the zone.
  const level_shares cut = shares_of(endpoints_of({3, 3, 3}, {3, 0, 0}));
  CHECK(!cut.panic && near(cut.share[0], 1));
  CHECK(shares_of({}).share == (std::array<double, 3>{}));
}

void share_properties() {
  CHECK(rc::check("shares add up to 1; another able endpoint in the zone never reduces the zone's share", [] {
    std::array<int, 3> total{}, able{};
    for (std::size_t l = 0; l < 3; ++l) {
      total[l] = *rc::gen::inRange(0, 12);
      able[l] = *rc::gen::inRange(0, total[l] + 1);
    }
    const level_shares shares = shares_of(endpoints_of(total, able));
    double sum = 0;
    for (const double share : shares.share) {
      RC_ASSERT(share >= 0);
      sum += share;
    }
    const bool no_endpoints = total[0] + total[1] + total[2] == 0;
    const bool adds_up = no_endpoints ? sum == 0 : near(sum, 1);
    RC_ASSERT(adds_up);
    if (able[0] < total[0] && !shares.panic) {
      std::array<int, 3> more_able = able;
      ++more_able[0];
      const level_shares more_shares = shares_of(endpoints_of(total, more_able));
      RC_ASSERT(more_shares.share[0] >= shares.share[0] - 1e-9);
    }
    const double uniform = *rc::gen::inRange(0, 1000) / 1000.0;
    if (sum > 0) RC_ASSERT(shares.share[static_cast<std::size_t>(*draw_level(shares, uniform))] > 0);
  }));
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "locality_levels")
    levels_by_zone_and_region();
  else if (name == "locality_shares")
    shares_follow_able_endpoints();
  else if (name == "locality_properties")
    share_properties();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
