#include "admission_policy/arrival_curve.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

// Two tenants on one server. A rate of 2 requests per second and an objective of 1 s give a burst of 2.
arrival_curves two_tenants() {
  settings policy_settings = plain_settings();
  policy_settings.servers = 1;
  policy_settings.tenants = {{"limited", 2}, {"unlimited", 0}};
  return arrival_curves(policy_settings, 0ns);
}

TEST(ArrivalCurve, TagsARequestWithinTheCurveWithItsArrivalTime) {
  arrival_curves curves = two_tenants();
  const request_tags tags = curves.tag(0, 1s, 100ms);
  EXPECT_EQ(tags.start, 100ms);
  EXPECT_EQ(tags.finish, 1100ms);
  EXPECT_FALSE(tags.exceeds_curve);
}

TEST(ArrivalCurve, SpacesRequestsThatExceedTheCurveByTheRate) {
  arrival_curves curves = two_tenants();
  curves.tag(0, 1s, 0ns);
  curves.tag(0, 1s, 0ns);
  const request_tags third = curves.tag(0, 1s, 0ns);
  const request_tags fourth = curves.tag(0, 1s, 0ns);
  EXPECT_TRUE(third.exceeds_curve);
  EXPECT_EQ(third.start, 0ns);
  EXPECT_EQ(fourth.start, 500ms);
}

TEST(ArrivalCurve, RefundReturnsTheTokenAndTheInterval) {
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

TEST(ArrivalCurve, ShiftsFutureTagsBackWhileOtherTenantsAreIdle) {
  arrival_curves curves = two_tenants();
  for (int i = 0; i < 4; ++i) {
    curves.tag(0, 1s, 0ns);
    curves.enqueued(0);
  }
  curves.started(0, 500ms);  // the start tag of the last run is 500 ms in the future
  const request_tags tags = curves.tag(0, 1s, 0ns);
  EXPECT_EQ(tags.start, 1s);  // 500 ms in real time plus a shift of 500 ms
}

TEST(ArrivalCurve, MapsUnknownTenantNumbersToTheLastTenant) {
  const arrival_curves curves = two_tenants();
  EXPECT_EQ(curves.tenant_of(0), 0u);
  EXPECT_EQ(curves.tenant_of(7), 1u);
}

TEST(ArrivalCurve, SumsTheQuotasOfThisServer) {
  settings policy_settings = plain_settings();
  policy_settings.servers = 4;
  policy_settings.tenants = {{"first", 8}, {"second", 4}};
  EXPECT_EQ(arrival_curves(policy_settings, 0ns).total_quota(), 3);
}

}  // namespace
}  // namespace admission_policy::testing
