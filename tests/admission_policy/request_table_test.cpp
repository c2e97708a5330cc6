#include "admission_policy/request_table.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

request queued_request(request_id id, time_point finish_tag) {
  request created;
  created.id = id;
  created.finish_tag = finish_tag;
  return created;
}

TEST(RequestTable, OrdersTheQueueByFinishTagAndTiesByArrival) {
  request_table table;
  table.enqueue(queued_request(1, 20ms));
  table.enqueue(queued_request(3, 10ms));
  table.enqueue(queued_request(2, 10ms));
  std::vector<request_id> order;
  for (const auto& queued : table.queue()) order.push_back(queued.entry->id);
  EXPECT_EQ(order, (std::vector<request_id>{2, 3, 1}));
}

TEST(RequestTable, KeepsARequestInTheIndexOfItsStateOnly) {
  request_table table;
  request& tracked = table.enqueue(queued_request(1, 0ns));
  table.change_state(tracked, request_state::running);
  EXPECT_TRUE(table.queue().empty());
  EXPECT_EQ(table.running().size(), 1u);
  table.change_state(tracked, request_state::awaiting_call);
  EXPECT_TRUE(table.running().empty());
  EXPECT_EQ(table.awaiting_call().size(), 1u);
  table.change_state(tracked, request_state::in_call);
  EXPECT_TRUE(table.awaiting_call().empty());
  EXPECT_EQ(table.in_call_count(), 1u);
  table.change_state(tracked, request_state::ending);
  EXPECT_EQ(table.in_call_count(), 0u);
  EXPECT_EQ(table.started_count(), 1u);
}

TEST(RequestTable, CountsRequestsThatAreNeitherQueuedNorSharingAsStarted) {
  request_table table;
  table.enqueue(queued_request(1, 0ns));
  table.change_state(table.enqueue(queued_request(2, 0ns)), request_state::sharing_result);
  table.change_state(table.enqueue(queued_request(3, 0ns)), request_state::running);
  table.change_state(table.enqueue(queued_request(4, 0ns)), request_state::in_call);
  EXPECT_EQ(table.started_count(), 2u);
}

TEST(RequestTable, ReturnsDueRequestsInOrderOfDeadline) {
  request_table table;
  table.set_deadline(table.enqueue(queued_request(1, 0ns)), 30ms);
  table.set_deadline(table.enqueue(queued_request(2, 0ns)), 20ms);
  table.set_deadline(*table.find(1), 10ms);  // replaces the deadline of 30 ms
  EXPECT_EQ(table.next_deadline(), 10ms);
  EXPECT_EQ(table.next_due(9ms), nullptr);
  EXPECT_EQ(table.next_due(10ms)->id, 1u);
  table.clear_deadline(*table.find(1));
  EXPECT_EQ(table.next_due(30ms)->id, 2u);
}

TEST(RequestTable, RemovesARequestAndItsDeadline) {
  request_table table;
  request& ended = table.enqueue(queued_request(1, 0ns));
  table.set_deadline(ended, 10ms);
  table.change_state(ended, request_state::sharing_result);
  table.remove(ended);
  EXPECT_EQ(table.find(1), nullptr);
  EXPECT_FALSE(table.next_deadline().has_value());
}

}  // namespace
}  // namespace admission_policy::testing
