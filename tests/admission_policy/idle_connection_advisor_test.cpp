#include "admission_policy/idle_connection_advisor.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

TEST(IdleConnectionAdvisor, KeepsConnectionsOfCallersThatReturn) {
  idle_connection_advisor advisor;
  for (int i = 0; i < 200; ++i) {
    advisor.note_arrival(static_cast<unsigned>(i % 10), i * 10ms);
    EXPECT_FALSE(advisor.evaluate(i * 10ms).has_value());
  }
}

TEST(IdleConnectionAdvisor, ClosesSoonWhereCallersDoNotReturnAndKeepsAgainWhenTheyDo) {
  idle_connection_advisor advisor;
  for (unsigned caller = 0; caller < 100; ++caller) advisor.note_arrival(caller, 1ms * caller);
  const auto closing = advisor.evaluate(100ms);
  ASSERT_TRUE(closing.has_value());
  EXPECT_EQ(closing->after, 200ms);
  EXPECT_FALSE(advisor.evaluate(100ms).has_value());  // only a change is advised
  for (unsigned i = 0; i < 100; ++i) advisor.note_arrival(1, 200ms);
  const auto keeping = advisor.evaluate(200ms);
  ASSERT_TRUE(keeping.has_value());
  EXPECT_EQ(keeping->after, 0ns);
}

TEST(IdleConnectionAdvisor, CountsACallerThatComesBackAfterFiveSecondsAsNew) {
  idle_connection_advisor soon;
  idle_connection_advisor late;
  for (int i = 0; i < 100; ++i) {
    soon.note_arrival(1, i * 4999ms);
    late.note_arrival(1, i * 5000ms);
  }
  EXPECT_FALSE(soon.evaluate(500s).has_value());
  EXPECT_TRUE(late.evaluate(500s).has_value());
}

TEST(IdleConnectionAdvisor, KeepsConnectionsWhileHalfOfTheCallersReturn) {
  idle_connection_advisor advisor;
  unsigned new_caller = 0;
  while (!advisor.evaluate(0ns)) advisor.note_arrival(++new_caller, 0ns);
  EXPECT_EQ(new_caller, 35u);  // 0.98 to the 35th is the first power below one half
}

}  // namespace
}  // namespace admission_policy::testing
