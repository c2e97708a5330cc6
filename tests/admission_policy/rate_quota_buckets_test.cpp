#include "admission_policy/rate_quota_buckets.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

constexpr int all_classes = -1;

TEST(RateQuotaBuckets, AdmitRequestsThatNoQuotaCovers) {
  rate_quota_buckets buckets;
  buckets.update({{0, all_classes, 10}}, 0ns);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(buckets.take(1, 0, 1s, 0ns).admitted);
}

TEST(RateQuotaBuckets, AdmitOneRequestAndAdviseWhenTheNextTokenIsAvailable) {
  rate_quota_buckets buckets;
  buckets.update({{0, all_classes, 10}}, 0ns);
  EXPECT_TRUE(buckets.take(0, 0, 1s, 0ns).admitted);
  const rate_decision second = buckets.take(0, 0, 1s, 0ns);
  EXPECT_FALSE(second.admitted);
  EXPECT_EQ(second.retry_after, 100ms);
  EXPECT_TRUE(buckets.take(0, 0, 1s, 100ms).admitted);
}

TEST(RateQuotaBuckets, TakeATokenFromEveryCoveringBucketOrFromNone) {
  rate_quota_buckets buckets;
  buckets.update({{0, all_classes, 10}, {0, 1, 0.5}}, 0ns);
  EXPECT_TRUE(buckets.take(0, 1, 1s, 0ns).admitted);
  EXPECT_FALSE(buckets.take(0, 1, 1s, 100ms).admitted);  // the bucket of its class is empty
  EXPECT_TRUE(buckets.take(0, 0, 1s, 100ms).admitted);   // the tenant's token was not taken
}

TEST(RateQuotaBuckets, AdviseTheNextQuotaIfTheRateIsZero) {
  rate_quota_buckets buckets;
  buckets.update({{0, all_classes, 10}}, 0ns);
  buckets.take(0, 0, 700ms, 0ns);
  buckets.update({{0, all_classes, 0}}, 0ns);
  EXPECT_EQ(buckets.take(0, 0, 700ms, 10ms).retry_after, 700ms);
}

TEST(RateQuotaBuckets, KeepTheTokensOfAnUpdatedQuota) {
  rate_quota_buckets buckets;
  buckets.update({{0, all_classes, 10}}, 0ns);
  buckets.take(0, 0, 1s, 0ns);
  buckets.update({{0, all_classes, 20}}, 0ns);
  EXPECT_FALSE(buckets.take(0, 0, 1s, 0ns).admitted);
}

}  // namespace
}  // namespace admission_policy::testing
