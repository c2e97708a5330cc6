#include "admission_policy/memory_guard.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

// A run uses four times the memory that its request reserved; a key uses 10 KB.
memory_guard guard_of(double memory_kb) {
  settings policy_settings = plain_settings();
  policy_settings.memory_kb = memory_kb;
  policy_settings.running_memory_factor = 4;
  policy_settings.idempotency_key_kb = 10;
  return memory_guard(policy_settings);
}

TEST(MemoryGuard, StartsRunsUpToThreeQuartersOfTheMemory) {
  memory_guard memory = guard_of(1000);
  memory.reserve(450);
  EXPECT_TRUE(memory.fits_as_run(100));  // the start adds three times 100 KB
  memory.reserve(1);
  EXPECT_FALSE(memory.fits_as_run(100));
}

TEST(MemoryGuard, IsExceededAboveTheQueueLimitUntilMemoryIsReleased) {
  memory_guard memory = guard_of(1000);
  memory.reserve(850);
  EXPECT_FALSE(memory.exceeded());
  memory.reserve_key();
  EXPECT_TRUE(memory.exceeded());
  memory.release_key();
  EXPECT_FALSE(memory.exceeded());
}

TEST(MemoryGuard, RetainsKeysUpToHalfOfTheMemory) {
  const memory_guard memory = guard_of(1000);
  EXPECT_TRUE(memory.fits_another_key(49));
  EXPECT_FALSE(memory.fits_another_key(50));
}

TEST(MemoryGuard, HasNoLimitIfNoMemoryIsConfigured) {
  memory_guard memory = guard_of(0);
  memory.reserve(1e9);
  EXPECT_TRUE(memory.fits_as_run(1e9));
  EXPECT_TRUE(memory.fits_another_key(1000000));
  EXPECT_FALSE(memory.exceeded());
}

}  // namespace
}  // namespace admission_policy::testing
