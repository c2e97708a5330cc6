// Tests of the decisions that the whole policy makes, through its public interface.
#include <gtest/gtest.h>

#include <deque>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

using id_list = std::vector<request_id>;

TEST(Settings, InvalidSettingIsNamedInTheException) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 0;
  try {
    policy invalid(policy_settings, 1, 0ns);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("cores"), std::string::npos);
  }
  policy_settings = plain_settings();
  policy_settings.classes.clear();
  EXPECT_THROW(policy(policy_settings, 1, 0ns), std::invalid_argument);
}

TEST(Quota, LimitsRunsUntilTheyEnd) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 4;
  policy_harness harness(policy_settings);
  harness.send({quota_update{2, {}, 500ms}, make_arrival(1), make_arrival(2), make_arrival(3)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{1, 2}));
  harness.send_at(10ms, {client_cancelled{1}});  // its client has left, but the run has not ended
  EXPECT_TRUE(harness.ids_of<start>().empty());
  harness.send_at(20ms, {successful_completion(1)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{3}));
}

TEST(Quota, ZeroRunQuotaRejectsAtOnceWithRetryAfter) {
  policy_harness harness(plain_settings());
  harness.send({make_arrival(1), make_arrival(2), make_arrival(3), make_arrival(4)});
  harness.send_at(10ms, {quota_update{0, {}, 500ms}, make_arrival(5)});
  EXPECT_EQ(harness.ids_of<reject>(), (id_list{3, 4, 5}));  // queued requests are rejected too; runs continue
  for (const reject& rejected : harness.actions_of<reject>()) EXPECT_GE(rejected.retry_after, 500ms);
  harness.send_at(20ms, {successful_completion(1), successful_completion(2), make_arrival(6)});
  EXPECT_EQ(harness.ids_of<reject>(), (id_list{6}));
  harness.send_at(30ms, {quota_update{}, make_arrival(7)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{7}));
}

TEST(Quota, RateIsATokenBucketPerTenantAndClass) {
  settings policy_settings = plain_settings();
  policy_settings.tenants = {{"a", 0}, {"b", 0}};
  policy_harness harness(policy_settings);
  harness.send({quota_update{-1, {{0, -1, 10}}, 500ms}, make_arrival(1, 0), make_arrival(2, 0),
                make_arrival(3, 1), make_arrival(4, 1)});
  EXPECT_EQ(harness.ids_of<reject>(),
            (id_list{2}));  // the bucket holds one token; the other tenant has no limit
  EXPECT_GE(harness.actions_of<reject>()[0].retry_after, 100ms);
  harness.send_at(90ms, {successful_completion(1), make_arrival(5, 0)});
  EXPECT_EQ(harness.ids_of<reject>(), (id_list{5}));
  harness.send_at(110ms, {make_arrival(6, 0)});
  EXPECT_TRUE(harness.ids_of<reject>().empty());
  harness.send_at(1110ms, {quota_update{-1, {{0, -1, 0}}, 500ms}, make_arrival(7, 0), make_arrival(8, 0)});
  // A rate of 0 also removes the tokens that the previous rate would have added.
  EXPECT_TRUE(harness.has<reject>(7) && harness.has<reject>(8));
  EXPECT_GE(harness.actions_of<reject>()[0].retry_after, 500ms);
}

TEST(Limit, StartsAtTheCoreCount) {
  policy_harness harness(plain_settings());
  harness.send({make_arrival(1), make_arrival(2), make_arrival(3)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{1, 2}));
  harness.send_at(100ms, {successful_completion(1)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{3}));
}

// Guards against a run that does not end and closes a cold server to all others. The server cannot tell yet
// how long a run takes, so it starts one request at a time; the run that nobody waits for is not that one.
TEST(SlowStart, RunThatNobodyWaitsForDoesNotKeepOthersOut) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0] = {.name = "write",
                                .latency_objective = 400ms,
                                .deadline = 1200ms,
                                .effect = request_effect::keyed,
                                .idempotency_window = 10s};
  policy_settings.cores = 64;
  policy_settings.cold_start = true;
  policy_settings.cold_start_capacity = 0.21;
  policy_settings.slow_start_duration = 18s;
  policy_settings.halt = halt_mode::pause;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1)});
  EXPECT_TRUE(harness.has<start>(1));
  harness.send_at(100ms, {make_arrival(2)});
  EXPECT_TRUE(harness.has<reject>(2));  // the first run may still show how long a run takes
  harness.send_at(1200ms, {timer_with_cpu_busy(0.1)});
  EXPECT_TRUE(harness.has<fail>(1));
  harness.send_at(1300ms, {make_arrival(3), make_arrival(4)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{3}));
  EXPECT_EQ(harness.ids_of<reject>(), (id_list{4}));
  harness.send_at(1320ms, {successful_completion(3, 20ms), make_arrival(5)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{5}));
}

// A quota of 4 over 2 servers gives a rate of 2 per second here, and the shortest objective of 1 s a burst
// of 2. Tenant 0 sends four requests at once. Two are within the curve and start at 0, the third exceeds it
// and still starts at 0, the fourth starts at 0.5 s. A request of tenant 1 at 0.02 s runs before the fourth
// only.
TEST(Tags, RequestsBeyondTheCurveAreSpacedByTheRate) {
  settings policy_settings = plain_settings();
  policy_settings.tenants = {{"a", 4}, {"b", 4}};
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1, 0), make_arrival(2, 0), make_arrival(3, 0), make_arrival(4, 0)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{1});
  harness.send_at(10ms, {successful_completion(1)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{2});
  harness.send_at(20ms, {successful_completion(2), make_arrival(5, 1)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{3});
  harness.send_at(30ms, {successful_completion(3)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{5});
  harness.send_at(40ms, {successful_completion(5)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{4});
}

// Six requests at once against a burst of 4 leave the tokens at -2. Two seconds at a rate of 1 raise them to
// 0, which is still less than one token. The next request therefore exceeds the curve although it starts now,
// and the one after it starts one interval later.
TEST(Tags, TokensMayGoNegative) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].latency_objective = 4s;
  policy_settings.classes[0].deadline = 20s;
  policy_settings.tenants = {{"a", 1}, {"b", 1}};
  policy_settings.servers = 1;  // rate 1 per second, burst 4
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send(
      {make_arrival(1), make_arrival(2), make_arrival(3), make_arrival(4), make_arrival(5), make_arrival(6)});
  for (request_id id = 1; id <= 6; ++id) harness.send_at(id * 10ms, {successful_completion(id)});
  harness.send_at(2s, {make_arrival(10), make_arrival(11, 0), make_arrival(12, 0), make_arrival(13, 1)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{10});
  harness.send_at(2010ms, {successful_completion(10)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{13});  // request 10 used MaxS, so 11 gets start tag 3 s
}

// Tenant 0 exceeds its curve on spare capacity, so its tags are in the future. At its next arrival the tags
// shift back to now, so that its requests do not wait behind those of tenant 1.
TEST(TagShift, TenantThatUsedSpareCapacityIsNotPenalized) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].latency_objective = 1s;
  policy_settings.tenants = {{"a", 1}, {"b", 1}};
  policy_settings.servers = 1;  // rate 1 per second, burst 1
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2), make_arrival(3),
                make_arrival(4)});  // start tags 0, 0, 1 and 2 s; MaxS 3 s
  for (request_id id = 1; id <= 3; ++id)
    harness.send_at(id * 10ms, {successful_completion(id)});  // request 4 runs: MinS = 2 s
  harness.send_at(100ms, {make_arrival(5)});     // nothing is queued, no shift: start tag and MinS are 3 s
  harness.send_at(110ms, {make_arrival(6)});     // shift by 2.89 s: 5 starts at 0.11 s, 6 at 1.11 s
  harness.send_at(120ms, {make_arrival(7, 1)});  // start tag 0.12 s
  harness.send_at(130ms, {successful_completion(4)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{5});
  harness.send_at(140ms, {successful_completion(5)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{7});
  harness.send_at(150ms, {successful_completion(7)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{6});
}

// Tags must not shift while another tenant has queued requests within its curve.
TEST(TagShift, NeedsEveryQueuedTenantAheadOfItsCurve) {
  settings policy_settings = plain_settings();
  policy_settings.tenants = {{"a", 1}, {"b", 1}};
  policy_settings.servers = 1;
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2, 1), make_arrival(3), make_arrival(4)});
  harness.send_at(
      10ms, {successful_completion(1)});  // queue: 2 (tenant b), 3 (a, start tag 0), 4 (a, start tag 1 s)
  harness.send_at(20ms, {make_arrival(5, 1)});
  EXPECT_TRUE(harness.ids_of<start>().empty());
  harness.send_at(30ms, {successful_completion(2)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{3});
  harness.send_at(40ms, {successful_completion(3)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{5});
}

TEST(Tags, EqualTagsRunInOrderOfArrival) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(3), make_arrival(4), make_arrival(5)});
  harness.send_at(10ms, {successful_completion(3)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{4});
}

TEST(Limit, GrowsOnlyWhileCoresIdleAndWorkWaits) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].latency_objective = 30s;
  policy_settings.classes[0].deadline = 60s;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2), make_arrival(3), make_arrival(4)});
  for (int i = 1; i <= 2; ++i) {  // the gauge does not yet cover the time since work began to wait
    harness.send_at(i * 100ms, {timer_with_cpu_busy(0.5)});
    EXPECT_TRUE(harness.ids_of<start>().empty());
  }
  harness.send_at(300ms, {timer_with_cpu_busy(1.0)});  // cores busy
  EXPECT_TRUE(harness.ids_of<start>().empty());
  harness.send_at(400ms, {timer_with_cpu_busy(0.5)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{3}));
  for (int i = 5; i <= 6; ++i) {
    harness.send_at(i * 100ms, {timer_with_cpu_busy(0.5)});
    EXPECT_TRUE(harness.ids_of<start>().empty());
  }
  harness.send_at(700ms, {timer_with_cpu_busy(0.5)});
  EXPECT_EQ(harness.ids_of<start>(), (id_list{4}));
}

// Half of twelve cores wait for disk I/O, so six more runs find a core. Growth by one run at a time would
// leave cores idle for seconds while work is rejected.
TEST(Limit, GrowsByTheNumberOfIdleCores) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 12;
  policy_settings.classes[0].latency_objective = 30s;
  policy_settings.classes[0].deadline = 60s;
  policy_harness harness(policy_settings);
  std::vector<event> arrivals;
  for (request_id id = 1; id <= 40; ++id) arrivals.push_back(make_arrival(id));
  harness.send(arrivals);
  EXPECT_EQ(harness.ids_of<start>().size(), 12u);
  for (int i = 1; i <= 2; ++i) harness.send_at(i * 100ms, {timer_with_cpu_busy(0.5)});
  harness.send_at(300ms, {timer_with_cpu_busy(0.5)});
  EXPECT_EQ(harness.ids_of<start>().size(), 6u);
}

TEST(Limit, StaysBelowTheConcurrencyCeilingOfAColdServer) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].latency_objective = 100s;
  policy_settings.classes[0].deadline = 200s;
  policy_settings.cold_start = true;
  policy_settings.cold_start_capacity = 0.2;
  policy_settings.slow_start_duration = 1000s;
  policy_harness harness(policy_settings);
  std::vector<event> arrivals;
  for (request_id id = 1; id <= 50; ++id) arrivals.push_back(make_arrival(id));
  harness.send(arrivals);
  std::size_t running = harness.ids_of<start>().size();
  for (int i = 1; i <= 20; ++i) {
    harness.send_at(i * 100ms, {timer_with_cpu_busy(0.1)});
    running += harness.ids_of<start>().size();
  }
  EXPECT_GT(running, 1u);
  EXPECT_LE(running, 3u);  // ceiling: (1 + 4 * 0.2) * 2 = 3.6
}

// Expected work of 3 s exceeds the objective of 1 s. Without an unconditional start on a free core, every
// server would reject the request although no other request would wait.
TEST(Shedding, LargeRequestStartsOnAFreeCore) {
  policy_harness harness(plain_settings());
  arrival large = make_arrival(1);
  large.expected_work = 3s;
  harness.send({large});
  EXPECT_EQ(harness.ids_of<start>(), id_list{1});
  EXPECT_TRUE(harness.ids_of<reject>().empty());
}

// Runs that take 900 ms instead of the expected 200 ms make the server appear slow. The server must still
// start one request at a time; otherwise its estimate could never recover.
TEST(Shedding, SlowServerKeepsStartingOneRequestAtATime) {
  policy_harness harness(plain_settings());
  arrival attempt = make_arrival(1);
  attempt.expected_work = 200ms;
  harness.send({attempt});
  for (request_id id = 50; id < 62; ++id) {  // the policy measures 200 ms as its best time
    attempt.id = id;
    harness.now += 200ms;
    harness.send({timer_with_cpu_busy(1), successful_completion(id == 50 ? 1 : id - 1, 200ms), attempt});
  }
  attempt.id = 1;
  harness.now += 200ms;
  harness.send({timer_with_cpu_busy(1), successful_completion(61), attempt});
  for (request_id id = 2; id < 12; ++id) {
    for (int i = 0; i < 9; ++i) {
      harness.now += 100ms;
      harness.send({timer_with_cpu_busy(1)});
    }
    attempt.id = id;
    harness.send({successful_completion(id - 1, 900ms), attempt});
    EXPECT_TRUE(harness.has<start>(id)) << id;
  }
  harness.send({make_arrival(100)});
  EXPECT_FALSE(harness.has<start>(100));
}

// A tenant sends a flood that is rejected. If the rejected requests kept their tokens, its later requests
// within the rate would wait behind those of other tenants.
TEST(Tags, RejectedRequestReturnsItsToken) {
  settings policy_settings = plain_settings();
  policy_settings.tenants = {{"a", 2}, {"b", 2}};
  policy_settings.servers = 1;
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  std::vector<event> flood{make_arrival(1, 1)};
  for (request_id id = 10; id < 60; ++id) flood.push_back(make_arrival(id, 0));
  harness.send(flood);
  EXPECT_GT(harness.ids_of<reject>().size(), 40u);
  std::size_t left = 50 - harness.ids_of<reject>().size();
  request_id last = 1;
  for (int i = 1; left > 0; ++i, --left) {
    harness.send_at(i * 50ms, {successful_completion(last, 50ms)});
    ASSERT_EQ(harness.ids_of<start>().size(), 1u);
    last = harness.ids_of<start>().front();
  }
  harness.send_at(1900ms, {make_arrival(70, 1), make_arrival(71, 0), make_arrival(72, 1)});
  harness.send_at(1950ms, {successful_completion(last, 50ms)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{70});
  harness.send_at(2000ms, {successful_completion(70, 50ms)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{71});
}

// A flood under a tenant's name never runs on the backend. If it kept its tokens, the tenant's own requests
// would wait behind those of other tenants.
TEST(Tags, RequestThatNeverRanReturnsItsToken) {
  settings policy_settings = plain_settings();
  policy_settings.tenants = {{"a", 2}, {"b", 2}};
  policy_settings.servers = 1;
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  for (request_id id = 10; id < 30; ++id) {
    harness.send_at(1ms * id, {make_arrival(id, 0)});
    ASSERT_TRUE(harness.has<start>(id));
    harness.send({completion{id, outcome::moot, 0ms}});
  }
  harness.send_at(100ms, {make_arrival(69, 1)});
  harness.send_at(110ms, {make_arrival(71, 1), make_arrival(70, 0)});
  harness.send_at(150ms, {successful_completion(69, 50ms)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{70});
}

// The caller's timeout is 4 s, so a retry with 2.9 s left is 1.1 s old. Its objective of 1 s passed at
// another server, and a run would be wasted work.
TEST(Shedding, RetryPastItsObjectiveIsRejected) {
  policy_harness harness(plain_settings());
  arrival first = make_arrival(1);
  first.client_timeout = 4s;
  arrival retry = make_arrival(2);
  retry.client_timeout = 2900ms;
  retry.retry = true;
  harness.send({first});
  harness.send_at(10ms, {retry});
  ASSERT_TRUE(harness.has<reject>(2));
  EXPECT_TRUE(harness.actions_of<reject>().front().no_retry_elsewhere);
  retry.id = 3;
  retry.caller = 1;  // the timeout of this caller is not known
  harness.send_at(20ms, {retry});
  EXPECT_TRUE(harness.has<start>(3));
}

// A cold server with one core at a fifth of its speed sustains 1.8 concurrent runs. Two runs would overload
// it.
TEST(Limit, ColdServerWithOneCoreRunsOneRequest) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0] = {.name = "read", .latency_objective = 9s, .deadline = 20s};
  policy_settings.cores = 1;
  policy_settings.cold_start = true;
  policy_settings.cold_start_capacity = 0.2;
  policy_settings.slow_start_duration = 100s;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  for (duration t = 100ms; t < 900ms; t += 100ms) {
    harness.send_at(t, {timer_with_cpu_busy(0.1)});  // the cores are idle: the limit grows
    EXPECT_FALSE(harness.has<start>(2)) << t.count();
  }
}

// The limit of two cores grows while they are half idle and ten runs per second end. Then the cores are busy
// and only one run per second ends: the limit is cut, but never below the core count.
TEST(Limit, IsCutOnlyWhenRunsSlowDownOnBusyCores) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].latency_objective = 60s;
  policy_settings.classes[0].deadline = 120s;
  policy_harness harness(policy_settings);
  std::vector<event> arrivals;
  for (request_id id = 1; id <= 40; ++id) arrivals.push_back(make_arrival(id));
  harness.send(arrivals);
  std::vector<request_id> running = harness.ids_of<start>();
  std::size_t max_running = 0;
  const auto step = [&](double cpu_busy, bool run_ends) {
    harness.now += 100ms;
    std::vector<event> events{timer_with_cpu_busy(cpu_busy)};
    if (run_ends) {
      events.push_back(successful_completion(running.front()));
      running.erase(running.begin());
    }
    harness.send(events);
    for (const request_id id : harness.ids_of<start>()) running.push_back(id);
    max_running = std::max(max_running, running.size());
  };
  for (int i = 0; i < 22; ++i) step(0.5, true);
  EXPECT_GT(max_running, 3u);
  for (int i = 0; i < 60; ++i) step(1.0, i % 10 == 9);
  EXPECT_EQ(running.size(), 2u);
}

// A client may cancel in any state. The request then needs no answer, its run is stopped, and later events
// about it are ignored.
TEST(Answers, CancelledRequestGetsNoAnswer) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(10ms, {client_cancelled{1}, client_cancelled{2}, client_cancelled{3}});
  EXPECT_TRUE(harness.has<stop_run>(1));
  EXPECT_TRUE(harness.ids_of<reject>().empty());
  EXPECT_TRUE(harness.ids_of<fail>().empty());
  harness.send_at(20ms, {completion{1, outcome::cancelled, 20ms}, completion{2, outcome::moot, 0ms},
                         call_needed{2}, call_ended{1, outcome::ok, 1ms}});
  EXPECT_TRUE(harness.ids_of<fail>().empty());
  harness.send_at(30ms, {make_arrival(4)});
  EXPECT_TRUE(harness.has<start>(4));
}

// The process stalls for two seconds. If the stall counted as slow work, requests would be shed for no
// reason.
TEST(Shedding, StallOfTheProcessIsNotOverload) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1)});
  for (request_id id = 2; id < 30; ++id) {
    harness.now += 100ms;
    harness.send({timer_with_cpu_busy(1), successful_completion(id - 1, 100ms), make_arrival(id)});
  }
  harness.now += 2s;
  harness.send({timer_with_cpu_busy(1), successful_completion(29, 2100ms), make_arrival(40), make_arrival(41),
                make_arrival(42)});
  EXPECT_TRUE(harness.ids_of<reject>().empty());
}

// When no run ends, health must turn bad after the shortest objective, and good again with the first run that
// ends. On two cores, two long runs can explain the pause, so the report comes later than on sixteen cores.
TEST(Health, IsBadWhileManyExpectedRunEndsAreMissing) {
  const auto reported_after = [](unsigned cores) {
    settings policy_settings = plain_settings();
    policy_settings.classes[0].late_weight = 0.5;
    policy_settings.classes[0].deadline = 20s;
    policy_settings.cores = cores;
    policy_harness harness(policy_settings);
    for (request_id id = 1; id <= 5 * cores; ++id) {
      harness.send_at(id * 400ms, {make_arrival(id)});
      for (int i = 1; i <= 2; ++i) harness.send_at(id * 400ms + i * 100ms, {timer_with_cpu_busy(0.5)});
      harness.send_at(id * 400ms + 300ms, {successful_completion(id, 300ms), timer_with_cpu_busy(0.5)});
    }
    const duration begin = (5 * cores + 1) * 400ms;
    std::vector<event> stuck;
    for (request_id id = 1000; id < 1000 + cores; ++id) stuck.emplace_back(make_arrival(id));
    harness.send_at(begin, stuck);
    EXPECT_EQ(harness.ids_of<start>().size(), cores);
    duration waited{};
    while (harness.actions_of<set_health>().empty() && waited < 10s)
      harness.send_at(begin + (waited += 100ms), {timer_with_cpu_busy(1)});
    EXPECT_FALSE(harness.actions_of<set_health>().empty());
    harness.send_at(begin + waited + 100ms, {successful_completion(1000, waited), timer_with_cpu_busy(1)});
    EXPECT_EQ(harness.actions_of<set_health>().size(), 1u);
    return waited;
  };
  EXPECT_LT(reported_after(16), 1500ms);
  EXPECT_GT(reported_after(2), 2s);
  EXPECT_LT(reported_after(2), 5s);
}

TEST(Answers, RequestsInEveryStateAreAnsweredInTime) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 1;
  policy_settings.classes[0].latency_objective = 3s;
  policy_settings.classes[0].calls_dependency = true;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(10ms, {call_needed{1}});
  EXPECT_TRUE(harness.has<place_call>(1));
  std::vector<request_id> answered;
  for (int ms = 20; ms <= 4000; ms += 20) {
    harness.send_at(ms * 1ms, {timer_with_cpu_busy(1)});
    for (const request_id id : harness.ids_of<fail>()) answered.push_back(id);
    for (const request_id id : harness.ids_of<reject>()) answered.push_back(id);
  }
  std::sort(answered.begin(), answered.end());
  EXPECT_EQ(answered, (id_list{1, 2}));
}

TEST(Keys, DuplicateIsNeitherStartedNorRejected) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].effect = request_effect::keyed;
  policy_settings.classes[0].idempotency_window = 10s;
  policy_settings.idempotency_key_kb = 1;
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  arrival duplicate = make_arrival(2);
  duplicate.duplicate_of = 1;
  harness.send({make_arrival(1), duplicate});
  EXPECT_TRUE(harness.has<retain_key>(1));
  EXPECT_EQ(harness.ids_of<start>(), id_list{1});
  EXPECT_TRUE(harness.has<share_result>(2));
  for (int ms = 100; ms < 4000; ms += 100) {
    harness.send_at(ms * 1ms, {timer_with_cpu_busy(1)});
    EXPECT_FALSE(harness.has<reject>(2));
    EXPECT_FALSE(harness.has<start>(2));
    EXPECT_FALSE(harness.has<forget_key>(1));
  }
}

// The first attempt waits unread for 2.5 s, and its caller retries meanwhile. The key of the first attempt
// was retained too late to link the two, so both could run: the retry is rejected. An attempt that arrived
// after the first was read is not a duplicate of it.
TEST(Keys, RetryThatArrivedBeforeItsFirstAttemptWasReadIsRejected) {
  for (const bool marked : {true, false}) {
    settings policy_settings = plain_settings();
    policy_settings.classes[0] = {.name = "write",
                                  .latency_objective = 4s,
                                  .deadline = 9s,
                                  .effect = request_effect::keyed,
                                  .idempotency_window = 20s};
    policy_harness harness(policy_settings);
    arrival first = make_arrival(1);
    first.caller = 7;
    first.read_delay = 2500ms;
    harness.send_at(2000ms, {first});
    EXPECT_TRUE(harness.has<start>(1));
    arrival retry = make_arrival(2);
    retry.caller = 7;
    retry.retry = marked;
    retry.read_delay = 300ms;
    harness.send_at(2010ms, {retry});
    EXPECT_TRUE(harness.has<reject>(2));
    arrival other = make_arrival(3);
    other.caller = 7;
    other.retry = marked;
    other.read_delay = 1ms;
    harness.send_at(2020ms, {other});
    EXPECT_TRUE(harness.has<start>(3));
  }
}

TEST(Memory, LargestFinishTagIsRejectedFirst) {
  settings policy_settings = plain_settings();
  policy_settings.memory_kb = 120;
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2), make_arrival(3)});
  EXPECT_TRUE(harness.ids_of<reject>().empty());
  std::vector<event> arrivals;
  for (request_id id = 4; id <= 12; ++id) arrivals.push_back(make_arrival(id));
  harness.send_at(1ms, arrivals);
  ASSERT_FALSE(harness.ids_of<reject>().empty());
  EXPECT_EQ(harness.ids_of<reject>().front(), 12u);
}

// A start multiplies the memory of a request: in recorded traffic nine runs filled the memory while no
// request was left in the queue to reject.
TEST(Memory, RunStartsOnlyIfItFits) {
  settings policy_settings = plain_settings();
  policy_settings.memory_kb = 100;
  policy_settings.running_memory_factor = 6;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});  // 60 KB each as a run
  EXPECT_EQ(harness.ids_of<start>(), id_list{1});
  harness.send_at(100ms, {successful_completion(1)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{2});
}

TEST(Drain, ArrivalAfterTheGracePeriodIsRejected) {
  policy_harness harness(plain_settings());
  harness.send({shutdown_notice{10s}});
  harness.send_at(900ms, {make_arrival(1)});
  EXPECT_TRUE(harness.has<start>(1));
  harness.send_at(1100ms, {make_arrival(2)});
  EXPECT_FALSE(harness.has<start>(2));
  EXPECT_TRUE(harness.has<reject>(2));
}

TEST(Drain, RunIsAnsweredBeforeTheStop) {
  settings policy_settings = plain_settings();
  policy_settings.halt = halt_mode::none;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), shutdown_notice{2s}});
  harness.send_at(1400ms, {timer_with_cpu_busy(1)});
  EXPECT_TRUE(harness.has<fail>(1));
}

// A call of a keyed request is retried only if it cannot have run; otherwise it could take effect twice.
TEST(Calls, OnlyACallThatNeverRanIsRetried) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].effect = request_effect::keyed;
  policy_settings.classes[0].idempotency_window = 10s;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(1ms, {call_needed{1}, call_needed{2}});
  harness.send_at(2ms, {call_ended{1, outcome::full, 1ms}, call_ended{2, outcome::reset, 1ms}});
  for (int ms = 3; ms < 200; ms += 5) {
    EXPECT_FALSE(harness.has<place_call>(2));
    if (harness.has<place_call>(1)) return;
    harness.send_at(ms * 1ms, {});
  }
  FAIL() << "the rejected call was never placed again";
}

TEST(Calls, OneCallIsAllowedUnderAQuotaBelowOne) {
  settings policy_settings = plain_settings();
  policy_settings.fair_concurrent_calls = 0.5;
  policy_settings.calls_period = 5s;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(1ms, {call_needed{1}, call_needed{2}});
  EXPECT_EQ(harness.actions_of<place_call>().size(), 1u);
}

// Immediate and unlimited retries of rejected calls would multiply the load on the dependency. Retries are
// delayed and limited in number.
TEST(Calls, RejectedCallIsRetriedLaterAndAFewTimesOnly) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0].calls_dependency = true;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(1ms, {call_needed{1}, call_needed{2}});
  harness.send_at(101ms, {call_ended{1, outcome::ok, 100ms}});  // round trip of 100 ms
  unsigned placed = 0;
  for (duration t = 102ms; t < 4s; t += 1ms) {
    const bool placed_again = harness.has<place_call>(2);
    placed += placed_again ? 1 : 0;
    if (harness.has<fail>(2)) break;
    harness.send_at(t, {});
    if (t == 102ms || placed_again) harness.send_at(t, {call_ended{2, outcome::full, 1ms}});
    if (t < 120ms) {
      EXPECT_FALSE(harness.has<place_call>(2));
    }
  }
  EXPECT_TRUE(harness.has<fail>(2));
  EXPECT_LE(placed, 2u);
}

settings settings_with_scarce_calls() {
  settings policy_settings = plain_settings();
  policy_settings.classes[0] = {
      .name = "calling", .latency_objective = 2s, .deadline = 8s, .calls_dependency = true};
  policy_settings.classes.push_back({.name = "plain", .latency_objective = 2s, .deadline = 8s});
  policy_settings.fair_concurrent_calls = 0.4;
  policy_settings.calls_period = 5s;
  return policy_settings;
}

// Round trips have grown twentyfold, so few calls are placed. Requests that need a call are rejected or
// failed early; otherwise they would occupy the cores that requests without a call can use.
TEST(Calls, RequestsWhoseCallWouldBeLateAreRejected) {
  policy_harness harness(settings_with_scarce_calls());
  request_id id = 0;
  duration t{};
  for (; t < 5s; t += 500ms) {
    harness.send_at(t, {make_arrival(++id, 0, 0)});
    harness.send_at(t + 10ms, {call_needed{id}});
    harness.send_at(t + 30ms, {call_ended{id, outcome::ok, 20ms}});
    harness.send_at(t + 100ms, {successful_completion(id)});
  }
  for (int i = 0; i < 2; ++i, t += 500ms) {
    harness.send_at(t, {make_arrival(++id, 0, 0)});
    harness.send_at(t + 10ms, {call_needed{id}});
    harness.send_at(t + 410ms, {call_ended{id, outcome::ok, 400ms}});
    harness.send_at(t + 450ms, {successful_completion(id)});
  }
  std::vector<event> batch;
  for (int i = 0; i < 6; ++i) batch.emplace_back(make_arrival(++id, 0, 0));
  for (int i = 0; i < 2; ++i) batch.emplace_back(make_arrival(++id, 0, 1));
  harness.send_at(t, batch);
  EXPECT_GE(harness.ids_of<reject>().size(), 4u);
  // All servers share the congested dependency, so a retry at another server would be rejected too.
  for (const reject& rejection : harness.actions_of<reject>())
    EXPECT_TRUE(rejection.no_retry_elsewhere) << rejection.id;
  EXPECT_FALSE(harness.has<reject>(id));
  EXPECT_FALSE(harness.has<reject>(id - 1));
}

TEST(Calls, LateCallIsSkippedIfTheClassKeepsWeightWithoutIt) {
  for (const double weight : {0.0, 0.5}) {
    settings policy_settings = settings_with_scarce_calls();
    policy_settings.classes[0].weight_without_call = weight;
    policy_harness harness(policy_settings);
    harness.send({make_arrival(1), make_arrival(2)});
    harness.send_at(1ms, {call_needed{1}, call_needed{2}});
    harness.send_at(1001ms, {call_ended{1, outcome::timeout, 1s}});
    EXPECT_EQ(harness.has<skip_call>(2), weight > 0);
    EXPECT_EQ(harness.has<fail>(2), weight <= 0);
  }
}

// A call that has been placed can no longer be skipped. Its time limit must leave the run enough time to
// continue without the result.
TEST(Calls, TimeLimitLeavesTimeToContinueWithoutTheCall) {
  settings policy_settings = settings_with_scarce_calls();
  policy_settings.classes[0].weight_without_call = 0.5;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1)});
  harness.send_at(10ms, {call_needed{1}});
  ASSERT_TRUE(harness.has<place_call>(1));
  const duration limit = harness.actions_of<place_call>()[0].limit;
  EXPECT_LT(limit, 1900ms);
  harness.send_at(10ms + limit, {call_ended{1, outcome::timeout, limit}});
  EXPECT_TRUE(harness.has<skip_call>(1));
}

// Many low-traffic callers would fill the connection table with idle connections.
TEST(Connections, IdleConnectionsAreClosedEarlyIfCallersRarelyReturn) {
  policy_harness harness(plain_settings());
  std::vector<close_idle> advice;
  const auto send_from = [&](request_id id, unsigned caller) {
    arrival attempt = make_arrival(id);
    attempt.caller = caller;
    harness.send_at(id * 100ms, {attempt, timer_with_cpu_busy(0.5)});
    for (const close_idle& action : harness.actions_of<close_idle>()) advice.push_back(action);
    harness.send_at(id * 100ms + 50ms, {successful_completion(id)});
  };
  for (request_id id = 1; id <= 100; ++id) send_from(id, id);
  ASSERT_EQ(advice.size(), 1u);
  EXPECT_GT(advice[0].after, 0ns);
  EXPECT_LT(advice[0].after, 1s);
  for (request_id id = 101; id <= 200; ++id) send_from(id, id % 4);
  ASSERT_EQ(advice.size(), 2u);
  EXPECT_EQ(advice[1].after, 0ns);  // 0: idle connections stay open
}

// The quota is less than one call, and the dependency stops answering. Over every period the mean number of
// calls in flight, including abandoned calls, must stay within the quota, and calls must still be placed.
TEST(Calls, FractionalQuotaHoldsOverThePeriod) {
  settings policy_settings = plain_settings();
  policy_settings.classes[0] = {
      .name = "read", .latency_objective = 4s, .deadline = 9s, .calls_dependency = true};
  policy_settings.fair_concurrent_calls = 0.4;
  policy_settings.calls_period = 5s;
  policy_settings.abandoned_call_duration = 200ms;
  policy_harness harness(policy_settings);
  std::vector<double> calls_in_flight;  // one entry per 10 ms
  request_id id = 0;
  request_id id_in_call = 0;
  duration call_deadline{};
  duration abandoned_until{};
  unsigned placed = 0;
  for (duration t{}; t < 30s; t += 10ms) {
    std::vector<event> batch;
    if (t % 500ms == 0ns) batch.emplace_back(make_arrival(++id));
    if (t % 100ms == 0ns) batch.emplace_back(timer_with_cpu_busy(0.5));
    if (id_in_call != 0 && t >= call_deadline) {
      batch.emplace_back(call_ended{id_in_call, outcome::timeout, 0ns});
      abandoned_until = t + 200ms;
      id_in_call = 0;
    }
    harness.send_at(t, batch);
    for (int round = 0; round < 2; ++round) {
      std::vector<event> responses;
      for (const request_id started : harness.ids_of<start>()) responses.emplace_back(call_needed{started});
      for (const place_call& call : harness.actions_of<place_call>()) {
        EXPECT_EQ(id_in_call, 0u);
        id_in_call = call.id;
        call_deadline = t + call.limit;
        ++placed;
      }
      for (const request_id failed : harness.ids_of<fail>()) {
        if (failed == id_in_call) id_in_call = 0, abandoned_until = t + 200ms;
        responses.emplace_back(completion{failed, outcome::cancelled, 0ns});
      }
      if (responses.empty()) break;
      harness.send(responses);
    }
    calls_in_flight.push_back((id_in_call != 0 ? 1 : 0) + (t < abandoned_until ? 1 : 0));
    if (calls_in_flight.size() < 500) continue;
    double sum = 0;
    for (std::size_t i = calls_in_flight.size() - 500; i < calls_in_flight.size(); ++i)
      sum += calls_in_flight[i];
    ASSERT_LE(sum / 500, policy_settings.fair_concurrent_calls) << "at " << t.count();
  }
  EXPECT_GE(placed, 5u);
}

// Runs stopped at their objective do not finish their work. Without expected work on requests, they must not
// make the server appear slower and slower until it rejects everything.
TEST(ServiceTime, StoppedRunsWithoutExpectedWorkDoNotBlockTheServer) {
  policy_harness harness(plain_settings());
  request_id id = 0;
  duration t{};
  for (int i = 0; i < 20; ++i) {
    harness.send_at(t, {make_arrival(++id)});
    for (int k = 1; k < 3; ++k) harness.send_at(t + k * 100ms, {timer_with_cpu_busy(0.5)});
    harness.send_at(t += 300ms, {successful_completion(id, 300ms), timer_with_cpu_busy(0.5)});
  }
  for (int i = 0; i < 3; ++i) {  // two runs at a time, cancelled after 600 ms
    harness.send_at(t, {make_arrival(id + 1), make_arrival(id + 2)});
    for (int k = 1; k <= 6; ++k) harness.send_at(t + k * 100ms, {timer_with_cpu_busy(1)});
    harness.send_at(t += 610ms, {client_cancelled{id + 1}, client_cancelled{id + 2}});
    harness.send(
        {completion{id + 1, outcome::cancelled, 600ms}, completion{id + 2, outcome::cancelled, 600ms}});
    id += 2;
  }
  harness.send_at(t, {make_arrival(++id)});
  harness.send_at(t + 50ms, {make_arrival(++id)});  // one core is free
  EXPECT_TRUE(harness.has<start>(id));
}

// The read rate is a third above this server's share of the quotas. If retries are not marked, every
// rejection forbids a retry elsewhere; if they are marked, only a fraction of the rejections does.
TEST(RetryElsewhere, IsForbiddenInProportionIfRetriesAreMarked) {
  const auto no_retry_fraction = [](bool marked) {
    settings policy_settings = plain_settings();
    policy_settings.tenants = {{"a", 40}};  // 20 reads a second here
    policy_harness harness(policy_settings);
    unsigned rejected = 0;
    unsigned no_retry = 0;
    request_id id = 0;
    std::deque<std::pair<duration, request_id>> runs;
    for (duration t{}; t < 10s; t += 37ms) {  // 27 reads a second
      arrival attempt = make_arrival(++id);
      attempt.retry = marked && id == 1;
      attempt.client_timeout = 4s;
      std::vector<event> batch{attempt, timer_with_cpu_busy(1)};
      while (!runs.empty() && runs.front().first <= t) {
        batch.emplace_back(successful_completion(runs.front().second, 300ms));
        runs.pop_front();
      }
      harness.send_at(t, batch);
      for (const request_id started : harness.ids_of<start>()) runs.emplace_back(t + 300ms, started);
      for (const reject& rejection : harness.actions_of<reject>()) {
        if (t < 5s) continue;
        ++rejected;
        no_retry += rejection.no_retry_elsewhere ? 1 : 0;
      }
    }
    EXPECT_GT(rejected, 20u);
    return static_cast<double>(no_retry) / rejected;
  };
  EXPECT_EQ(no_retry_fraction(false), 1);
  EXPECT_GT(no_retry_fraction(true), 0.1);
  EXPECT_LT(no_retry_fraction(true), 0.6);
}

// Runs slow down because reads of rejected requests use the cores; retries elsewhere would spread the load.
// The same slowness without a flood is a problem of this server only, so retries elsewhere are allowed.
TEST(RetryElsewhere, IsForbiddenInAFloodAndAllowedOnASlowServer) {
  for (const bool flood : {false, true}) {
    settings policy_settings = plain_settings();
    policy_settings.tenants = {{"a", 20}};  // 10 reads a second here
    policy_harness harness(policy_settings);
    unsigned rejected = 0;
    unsigned no_retry = 0;
    request_id id = 0;
    std::deque<std::pair<duration, request_id>> runs;
    for (duration t{}; t < 14s; t += 10ms) {
      std::vector<event> batch;
      if (t % 100ms == 0ns) batch.emplace_back(timer_with_cpu_busy(1));
      if (t % (flood && t > 4s ? 40ms : 120ms) == 0ns) batch.emplace_back(make_arrival(++id));
      while (!runs.empty() && runs.front().first <= t) {
        batch.emplace_back(successful_completion(runs.front().second));
        runs.pop_front();
      }
      if (batch.empty()) continue;
      harness.send_at(t, batch);
      for (const request_id started : harness.ids_of<start>())
        runs.emplace_back(t + (t < 4s ? 50ms : 400ms), started);
      for (const reject& rejection : harness.actions_of<reject>()) {
        if (t < 9s) continue;
        ++rejected;
        no_retry += rejection.no_retry_elsewhere ? 1 : 0;
      }
    }
    EXPECT_GT(rejected, 5u);
    EXPECT_EQ(no_retry, flood ? rejected : 0u);
  }
}

TEST(Arrivals, ArrivalWithAnIdInUseIsIgnored) {
  settings policy_settings = plain_settings();
  policy_settings.cores = 1;
  policy_harness harness(policy_settings);
  harness.send({make_arrival(1), make_arrival(2)});
  harness.send_at(1ms, {make_arrival(1), make_arrival(2)});
  EXPECT_TRUE(harness.ids_of<start>().empty());
  harness.send_at(10ms, {successful_completion(1)});
  EXPECT_EQ(harness.ids_of<start>(), id_list{2});
  harness.send_at(20ms, {successful_completion(2)});
  EXPECT_TRUE(harness.ids_of<start>().empty());
  harness.send_at(30ms, {make_arrival(1)});  // the id is free again
  EXPECT_EQ(harness.ids_of<start>(), id_list{1});
}

}  // namespace
}  // namespace admission_policy::testing
