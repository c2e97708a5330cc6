#include "admission_policy/idempotency_keys.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

TEST(IdempotencyKeys, ExpireOneByOneInOrderOfExpiry) {
  idempotency_keys keys;
  keys.retain(1, 20ms);
  keys.retain(2, 10ms);
  EXPECT_FALSE(keys.expire_one(9ms));
  EXPECT_TRUE(keys.expire_one(10ms));
  EXPECT_FALSE(keys.expire_one(10ms));
  EXPECT_EQ(keys.size(), 1u);
  EXPECT_FALSE(keys.forget(2));
  EXPECT_TRUE(keys.expire_one(20ms));
}

TEST(IdempotencyKeys, ForgetAKeyOnce) {
  idempotency_keys keys;
  keys.retain(1, 20ms);
  EXPECT_TRUE(keys.forget(1));
  EXPECT_FALSE(keys.forget(1));
  EXPECT_EQ(keys.size(), 0u);
  EXPECT_FALSE(keys.expire_one(1s));
}

}  // namespace
}  // namespace admission_policy::testing
