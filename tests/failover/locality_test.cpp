// Locality-aware shares of calls (ctest -L failover).
#include "failover/locality.hpp"

#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf::failover;

namespace {

// n endpoints a level, of which `able` can take calls.
std::vector<endpoint_state> endpoints_of(std::array<int, 3> n, std::array<int, 3> able) {
  std::vector<endpoint_state> out;
  for (std::size_t l = 0; l < 3; ++l)
    for (int i = 0; i < n[l]; ++i) out.push_back({static_cast<level>(l), i < able[l]});
  return out;
}

bool near(double a, double b) {
  return std::fabs(a - b) < 1e-9;
}

void levels_by_place() {
  const place caller{"muc-a", "muc"};
  CHECK(level_of(caller, {"muc-a", "muc"}) == level::zone);
  CHECK(level_of(caller, {"muc-b", "muc"}) == level::region);
  CHECK(level_of(caller, {"fra-a", "fra"}) == level::rest);
  CHECK(level_of({"", ""}, {"", ""}) == level::rest);  // no place known: nothing is near
}

void spills_in_proportion() {
  // All able: all calls stay in the zone.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {3, 3, 3})).share[0], 1));
  // Three of four able: 1.4 * 3/4 > 1, still all in the zone; two of three: 1.4 * 2/3 of it stays.
  CHECK(near(shares_of(endpoints_of({4, 3, 3}, {3, 3, 3})).share[0], 1));
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {2, 3, 3})).share[0], 1.4 * 2 / 3));
  // One of two able: 0.7 stays, 0.3 spills to the region.
  const level_shares half = shares_of(endpoints_of({2, 3, 3}, {1, 3, 3}));
  CHECK(near(half.share[0], 0.7) && near(half.share[1], 0.3) && near(half.share[2], 0) && !half.panic);
  // The zone out (none able there): the region takes it all.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {0, 3, 3})).share[1], 1));
  // Zone and region out, the rest able: it can take all calls, so no panic, though 6 of 9 are unable.
  CHECK(near(shares_of(endpoints_of({3, 3, 3}, {0, 0, 3})).share[2], 1));
  // No level can take them all, and under half are able anywhere: all alike.
  const level_shares panic = shares_of(endpoints_of({3, 3, 3}, {0, 0, 2}));
  CHECK(panic.panic && near(panic.share[0], 1.0 / 3));
  // A zone cut off from the rest keeps serving from its own: the others look unable from it, its own able.
  const level_shares cut = shares_of(endpoints_of({3, 3, 3}, {3, 0, 0}));
  CHECK(!cut.panic && near(cut.share[0], 1));
  CHECK(shares_of({}).share == (std::array<double, 3>{}));
}

void properties() {
  CHECK(rc::check("shares add up to 1; more able near never means less near", [] {
    std::array<int, 3> n{}, able{};
    for (std::size_t l = 0; l < 3; ++l) {
      n[l] = *rc::gen::inRange(0, 12);
      able[l] = *rc::gen::inRange(0, n[l] + 1);
    }
    const level_shares s = shares_of(endpoints_of(n, able));
    double sum = 0;
    for (const double x : s.share) {
      RC_ASSERT(x >= 0);
      sum += x;
    }
    const bool none = n[0] + n[1] + n[2] == 0;
    const bool adds_up = none ? sum == 0 : near(sum, 1);
    RC_ASSERT(adds_up);
    if (able[0] < n[0] && !s.panic) {
      std::array<int, 3> more = able;
      ++more[0];
      const level_shares t = shares_of(endpoints_of(n, more));
      RC_ASSERT(t.share[0] >= s.share[0] - 1e-9);
    }
    const double u = *rc::gen::inRange(0, 1000) / 1000.0;
    if (sum > 0) RC_ASSERT(s.share[static_cast<std::size_t>(*draw(s, u))] > 0);
  }));
}

}  // namespace

int main(int, char** argv) {
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "levels")
    levels_by_place();
  else if (name == "spill")
    spills_in_proportion();
  else if (name == "locality_properties")
    properties();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
