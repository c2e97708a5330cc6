#include "admission_policy/idle_connection_advisor.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

TEST(IdleConnectionAdvisor, KeepsConnectionsOpenIfCallersReturn) {
  idle_connection_advisor advisor;
  for (int i = 0; i < 200; ++i) {
    advisor.note_arrival(static_cast<unsigned>(i % 10), i * 10ms);
    EXPECT_FALSE(advisor.evaluate(i * 10ms).has_value());
  }
}

TEST(IdleConnectionAdvisor, ClosesEarlyIfCallersDoNotReturnAndKeepsOpenIfTheyDo) {
  idle_connection_advisor advisor;
  for (unsigned caller = 0; caller < 100; ++caller) advisor.note_arrival(caller, 1ms * caller);
  const auto closing = advisor.evaluate(100ms);
  ASSERT_TRUE(closing.has_value());
  EXPECT_EQ(closing->after, 200ms);
  EXPECT_FALSE(advisor.evaluate(100ms).has_value());  // the advice has not changed
  for (unsigned i = 0; i < 100; ++i) advisor.note_arrival(1, 200ms);
  const auto keeping = advisor.evaluate(200ms);
  ASSERT_TRUE(keeping.has_value());
  EXPECT_EQ(keeping->after, 0ns);
}

TEST(IdleConnectionAdvisor, CountsACallerThatReturnsAfterFiveSecondsAsNew) {
  idle_connection_advisor within_window;
  idle_connection_advisor after_window;
  for (int i = 0; i < 100; ++i) {
    within_window.note_arrival(1, i * 4999ms);
    after_window.note_arrival(1, i * 5000ms);
  }
  EXPECT_FALSE(within_window.evaluate(500s).has_value());
  EXPECT_TRUE(after_window.evaluate(500s).has_value());
}

TEST(IdleConnectionAdvisor, KeepsConnectionsOpenWhileHalfOfTheArrivalsReturn) {
  idle_connection_advisor advisor;
  unsigned new_caller = 0;
  while (!advisor.evaluate(0ns)) advisor.note_arrival(++new_caller, 0ns);
  EXPECT_EQ(new_caller, 35u);  // 0.98^35 is the first power below 0.5
}

}  // namespace
}  // namespace admission_policy::testing
