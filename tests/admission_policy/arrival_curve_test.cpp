#include "admission_policy/arrival_curve.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

// Two tenants on one server; the objective of 1 s makes a burst of two for the rate of two a second.
arrival_curves two_tenants() {
  settings given = plain_settings();
  given.servers = 1;
  given.tenants = {{"limited", 2}, {"unlimited", 0}};
  return arrival_curves(given, 0ns);
}

TEST(ArrivalCurve, TagsARequestInsideTheCurveAtItsArrival) {
  arrival_curves curves = two_tenants();
  const request_tags tags = curves.tag(0, 1s, 100ms);
  EXPECT_EQ(tags.start, 100ms);
  EXPECT_EQ(tags.finish, 1100ms);
  EXPECT_FALSE(tags.exceeds_curve);
}

TEST(ArrivalCurve, SpacesRequestsBeyondTheBurstByTheRate) {
  arrival_curves curves = two_tenants();
  curves.tag(0, 1s, 0ns);
  curves.tag(0, 1s, 0ns);
  const request_tags third = curves.tag(0, 1s, 0ns);
  const request_tags fourth = curves.tag(0, 1s, 0ns);
  EXPECT_TRUE(third.exceeds_curve);
  EXPECT_EQ(third.start, 0ns);
  EXPECT_EQ(fourth.start, 500ms);
}

TEST(ArrivalCurve, RefundGivesBackTheTokenAndThePlace) {
  arrival_curves curves = two_tenants();
  for (int i = 0; i < 3; ++i) curves.tag(0, 1s, 0ns);
  EXPECT_EQ(curves.tag(0, 1s, 0ns).start, 500ms);
  curves.refund(0, true);
  EXPECT_EQ(curves.tag(0, 1s, 0ns).start, 500ms);
}

TEST(ArrivalCurve, NeverSpacesATenantWithoutAQuota) {
  arrival_curves curves = two_tenants();
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(curves.tag(1, 1s, 0ns).exceeds_curve);
}

TEST(ArrivalCurve, ShiftsBackTagsThatRanAheadWhileOthersWereIdle) {
  arrival_curves curves = two_tenants();
  for (int i = 0; i < 4; ++i) {
    curves.tag(0, 1s, 0ns);
    curves.enqueued(0);
  }
  curves.started(0, 500ms);  // the tenant's last run was 500 ms ahead of now
  const request_tags tags = curves.tag(0, 1s, 0ns);
  EXPECT_EQ(tags.start, 1s);  // 500 ms in real time, and the shift of 500 ms
}

TEST(ArrivalCurve, TakesTenantNumbersBeyondTheLastAsTheLast) {
  const arrival_curves curves = two_tenants();
  EXPECT_EQ(curves.tenant_of(0), 0u);
  EXPECT_EQ(curves.tenant_of(7), 1u);
}

TEST(ArrivalCurve, SumsTheQuotasOfThisServer) {
  settings given = plain_settings();
  given.servers = 4;
  given.tenants = {{"first", 8}, {"second", 4}};
  EXPECT_EQ(arrival_curves(given, 0ns).total_quota(), 3);
}

}  // namespace
}  // namespace admission_policy::testing
