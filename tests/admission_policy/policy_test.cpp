#include <gtest/gtest.h>

#include <deque>

#include "harness.hpp"

namespace admission_policy::testing {
namespace {

using ids = std::vector<request_id>;

TEST(Settings, UnusableOnesAreNamed) {
  settings s = plain_settings();
  s.cores = 0;
  try {
    policy p(s, 1, 0ns);
    FAIL();
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("cores"), std::string::npos);
  }
  s = plain_settings();
  s.classes.clear();
  EXPECT_THROW(policy(s, 1, 0ns), std::invalid_argument);
}

TEST(Shares, BoundRunsThatWereHandedOut) {
  settings s = plain_settings();
  s.cores = 4;
  rig r(s);
  r.send({quota_update{2, {}, 500ms}, request_of(1), request_of(2), request_of(3)});
  EXPECT_EQ(r.ids<start>(), (ids{1, 2}));
  r.at(10ms, {client_cancelled{1}});  // nobody waits for it, and it still runs
  EXPECT_TRUE(r.ids<start>().empty());
  r.at(20ms, {done(1)});
  EXPECT_EQ(r.ids<start>(), (ids{3}));
}

TEST(Shares, NoneOfRunsRefusesAtOnceAndTellsWhen) {
  rig r(plain_settings());
  r.send({request_of(1), request_of(2), request_of(3), request_of(4)});
  r.at(10ms, {quota_update{0, {}, 500ms}, request_of(5)});
  EXPECT_EQ(r.ids<reject>(), (ids{3, 4, 5}));  // what was held as well; what runs goes on
  for (const reject& f : r.all<reject>()) EXPECT_GE(f.retry_after, 500ms);
  r.at(20ms, {done(1), done(2), request_of(6)});
  EXPECT_EQ(r.ids<reject>(), (ids{6}));
  r.at(30ms, {quota_update{}, request_of(7)});
  EXPECT_EQ(r.ids<start>(), (ids{7}));
}

TEST(Shares, ARateIsABucketByTenantAndClass) {
  settings s = plain_settings();
  s.tenants = {{"a", 0}, {"b", 0}};
  rig r(s);
  r.send({quota_update{-1, {{0, -1, 10}}, 500ms}, request_of(1, 0), request_of(2, 0), request_of(3, 1),
          request_of(4, 1)});
  EXPECT_EQ(r.ids<reject>(), (ids{2}));  // one at once, and the other tenant is not bound
  EXPECT_GE(r.all<reject>()[0].retry_after, 100ms);
  r.at(90ms, {done(1), request_of(5, 0)});
  EXPECT_EQ(r.ids<reject>(), (ids{5}));
  r.at(110ms, {request_of(6, 0)});
  EXPECT_TRUE(r.ids<reject>().empty());
  r.at(1110ms, {quota_update{-1, {{0, -1, 0}}, 500ms}, request_of(7, 0), request_of(8, 0)});
  EXPECT_TRUE(r.has<reject>(7) &&
              r.has<reject>(8));  // no share: what the rate before would have saved up is gone too
  EXPECT_GE(r.all<reject>()[0].retry_after, 500ms);
}

TEST(Limit, StartsAtTheCoreCount) {
  rig r(plain_settings());
  r.send({request_of(1), request_of(2), request_of(3)});
  EXPECT_EQ(r.ids<start>(), (ids{1, 2}));
  r.at(100ms, {done(1)});
  EXPECT_EQ(r.ids<start>(), (ids{3}));
}

// Quota 4 over 2 servers: rho = 2 a second; tightest aim 1 s: sigma = 2. Tenant 0 sends four at once: two
// conform (start 0), the third starts its chain at 0 too, the fourth is pushed to 0.5 s. Tenant 1 then comes
// at 0.4 s and passes the fourth only.
TEST(Tags, OverCurveArrivalsAreSpacedByTheRate) {
  settings s = plain_settings();
  s.tenants = {{"a", 4}, {"b", 4}};
  s.cores = 1;
  rig r(s);
  r.send({request_of(1, 0), request_of(2, 0), request_of(3, 0), request_of(4, 0)});
  EXPECT_EQ(r.ids<start>(), ids{1});
  r.at(10ms, {done(1)});
  EXPECT_EQ(r.ids<start>(), ids{2});
  r.at(20ms, {done(2), request_of(5, 1)});
  EXPECT_EQ(r.ids<start>(), ids{3});
  r.at(30ms, {done(3)});
  EXPECT_EQ(r.ids<start>(), ids{5});
  r.at(40ms, {done(5)});
  EXPECT_EQ(r.ids<start>(), ids{4});
}

// Five at once against sigma = 2 leave the tokens at -3. One second refills two: still below one, so the next
// arrival is over the curve although its start is now, and the one after it is pushed by 1/rho.
TEST(Tags, TokensMayGoNegative) {
  settings s = plain_settings();
  s.classes[0].latency_objective = 4s;
  s.classes[0].deadline = 20s;
  s.tenants = {{"a", 1}, {"b", 1}};
  s.servers = 1;  // rho = 1, sigma = 4
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2), request_of(3), request_of(4), request_of(5), request_of(6)});
  for (request_id id = 1; id <= 6; ++id) r.at(id * 10ms, {done(id)});
  r.at(2s, {request_of(10), request_of(11, 0), request_of(12, 0), request_of(13, 1)});
  EXPECT_EQ(r.ids<start>(), ids{10});
  r.at(2010ms, {done(10)});
  EXPECT_EQ(r.ids<start>(), ids{13});  // 11 starts at 3 s: MaxS was spent by 10
}

// Tenant 0 alone runs far ahead of its curve on spare capacity. When it next arrives, its tags shift back to
// now, so that it meets tenant 1 as an equal.
TEST(Resync, ATenantThatUsedSpareCapacityIsNotPunished) {
  settings s = plain_settings();
  s.classes[0].latency_objective = 1s;
  s.tenants = {{"a", 1}, {"b", 1}};
  s.servers = 1;  // rho = 1, sigma = 1
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2), request_of(3), request_of(4)});  // starts 0, 0, 1, 2; MaxS 3
  for (request_id id = 1; id <= 3; ++id) r.at(id * 10ms, {done(id)});    // 4 runs: MinS = 2
  r.at(100ms, {request_of(5)});     // not busy while it holds nothing: 3 s; becomes busy with MinS = 3
  r.at(110ms, {request_of(6)});     // busy tenants {0}, gap 2.89 s: 5 moves to 0.11 s, 6 to 1.11 s
  r.at(120ms, {request_of(7, 1)});  // tenant 1 from 0.12 s
  r.at(130ms, {done(4)});
  EXPECT_EQ(r.ids<start>(), ids{5});
  r.at(140ms, {done(5)});
  EXPECT_EQ(r.ids<start>(), ids{7});
  r.at(150ms, {done(7)});
  EXPECT_EQ(r.ids<start>(), ids{6});
}

// With another tenant busy inside its curve there is no shift.
TEST(Resync, WaitsForEveryBusyTenant) {
  settings s = plain_settings();
  s.tenants = {{"a", 1}, {"b", 1}};
  s.servers = 1;
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2, 1), request_of(3), request_of(4)});
  r.at(10ms, {done(1)});  // order now: 2 (b), 3 (a at 0), 4 (a at 1)
  r.at(20ms, {request_of(5, 1)});
  EXPECT_TRUE(r.ids<start>().empty());
  r.at(30ms, {done(2)});
  EXPECT_EQ(r.ids<start>(), ids{3});
  r.at(40ms, {done(3)});
  EXPECT_EQ(r.ids<start>(), ids{5});
}

TEST(Tags, TiesGoByArrival) {
  settings s = plain_settings();
  s.cores = 1;
  rig r(s);
  r.send({request_of(3), request_of(4), request_of(5)});
  r.at(10ms, {done(3)});
  EXPECT_EQ(r.ids<start>(), ids{4});
}

TEST(Limit, GrowsOnlyWhileCoresIdleAndWorkWaits) {
  settings s = plain_settings();
  s.classes[0].latency_objective = 30s;
  s.classes[0].deadline = 60s;
  rig r(s);
  r.send({request_of(1), request_of(2), request_of(3), request_of(4)});
  for (int i = 1; i <= 2; ++i) {  // the gauge still tells of the time before work waited
    r.at(i * 100ms, {tick_with(0.5)});
    EXPECT_TRUE(r.ids<start>().empty());
  }
  r.at(300ms, {tick_with(1.0)});  // cores busy
  EXPECT_TRUE(r.ids<start>().empty());
  r.at(400ms, {tick_with(0.5)});
  EXPECT_EQ(r.ids<start>(), (ids{3}));
  for (int i = 5; i <= 6; ++i) {
    r.at(i * 100ms, {tick_with(0.5)});
    EXPECT_TRUE(r.ids<start>().empty());
  }
  r.at(700ms, {tick_with(0.5)});
  EXPECT_EQ(r.ids<start>(), (ids{4}));
}

// Half of twelve cores wait for disks: six more runs find a core, and one more at a time would leave them
// idle for seconds while work is turned away.
TEST(Limit, GrowsByWhatTheIdleCoresTake) {
  settings s = plain_settings();
  s.cores = 12;
  s.classes[0].latency_objective = 30s;
  s.classes[0].deadline = 60s;
  rig r(s);
  std::vector<event> many;
  for (request_id id = 1; id <= 40; ++id) many.push_back(request_of(id));
  r.send(many);
  EXPECT_EQ(r.ids<start>().size(), 12u);
  for (int i = 1; i <= 2; ++i) r.at(i * 100ms, {tick_with(0.5)});
  r.at(300ms, {tick_with(0.5)});
  EXPECT_EQ(r.ids<start>().size(), 6u);
}

TEST(Limit, StaysUnderTheSurvivableCrowd) {
  settings s = plain_settings();
  s.classes[0].latency_objective = 100s;
  s.classes[0].deadline = 200s;
  s.cold_start = true;
  s.cold_start_capacity = 0.2;
  s.slow_start_duration = 1000s;
  rig r(s);
  std::vector<event> many;
  for (request_id id = 1; id <= 50; ++id) many.push_back(request_of(id));
  r.send(many);
  std::size_t running = r.ids<start>().size();
  for (int i = 1; i <= 20; ++i) {
    r.at(i * 100ms, {tick_with(0.1)});
    running += r.ids<start>().size();
  }
  EXPECT_GT(running, 1u);
  EXPECT_LE(running, 3u);  // survivable: (1 + 4 * 0.2) * 2 = 3.6
}

// A hint of 3 s against an aim of 1 s: no server would ever take it, though a free core costs nobody a wait.
TEST(Shedding, AFreeCoreTakesWhatIsMerelyLarge) {
  rig r(plain_settings());
  arrival large = request_of(1);
  large.expected_work = 3s;
  r.send({large});
  EXPECT_EQ(r.ids<start>(), ids{1});
  EXPECT_TRUE(r.ids<reject>().empty());
}

// Runs that take three times the hint make the server look slow; it still takes one at a time, and so can
// recover.
TEST(Shedding, ASlowServerKeepsTakingOneAtATime) {
  rig r(plain_settings());
  arrival a = request_of(1);
  a.expected_work = 200ms;
  r.send({a});
  for (request_id id = 50; id < 62; ++id) {  // what it can do when nothing is wrong
    a.id = id;
    r.now += 200ms;
    r.send({tick_with(1), done(id == 50 ? 1 : id - 1, 200ms), a});
  }
  a.id = 1;
  r.now += 200ms;
  r.send({tick_with(1), done(61), a});
  for (request_id id = 2; id < 12; ++id) {
    for (int i = 0; i < 9; ++i) {
      r.now += 100ms;
      r.send({tick_with(1)});
    }
    a.id = id;
    r.send({done(id - 1, 900ms), a});
    EXPECT_TRUE(r.has<start>(id)) << id;
  }
  r.send({request_of(100)});
  EXPECT_FALSE(r.has<start>(100));
}

// A tenant floods with requests that are turned away; what it sends later inside its rate still competes.
TEST(Tags, WhatWasTurnedAwayGivesItsTokenBack) {
  settings s = plain_settings();
  s.tenants = {{"a", 2}, {"b", 2}};
  s.servers = 1;
  s.cores = 1;
  rig r(s);
  std::vector<event> flood{request_of(1, 1)};
  for (request_id id = 10; id < 60; ++id) flood.push_back(request_of(id, 0));
  r.send(flood);
  EXPECT_GT(r.ids<reject>().size(), 40u);
  std::size_t left = 50 - r.ids<reject>().size();
  request_id last = 1;
  for (int i = 1; left > 0; ++i, --left) {
    r.at(i * 50ms, {done(last, 50ms)});
    ASSERT_EQ(r.ids<start>().size(), 1u);
    last = r.ids<start>().front();
  }
  r.at(1900ms, {request_of(70, 1), request_of(71, 0), request_of(72, 1)});
  r.at(1950ms, {done(last, 50ms)});
  EXPECT_EQ(r.ids<start>(), ids{70});
  r.at(2000ms, {done(70, 50ms)});
  EXPECT_EQ(r.ids<start>(), ids{71});
}

// Somebody floods under a tenant's name with what the backend never runs: the tenant itself still competes.
TEST(Tags, WhatNeverRanGivesItsTokenBack) {
  settings s = plain_settings();
  s.tenants = {{"a", 2}, {"b", 2}};
  s.servers = 1;
  s.cores = 1;
  rig r(s);
  for (request_id id = 10; id < 30; ++id) {
    r.at(1ms * id, {request_of(id, 0)});
    ASSERT_TRUE(r.has<start>(id));
    r.send({completion{id, outcome::moot, 0ms}});
  }
  r.at(100ms, {request_of(69, 1)});
  r.at(110ms, {request_of(71, 1), request_of(70, 0)});
  r.at(150ms, {done(69, 50ms)});
  EXPECT_EQ(r.ids<start>(), ids{70});
}

// The caller waits 4 s for a first try; one that comes with 2.9 s left has used up its aim of 1 s elsewhere.
TEST(Shedding, AFurtherTryWhoseAimHasGoneByIsTurnedAway) {
  rig r(plain_settings());
  arrival first = request_of(1);
  first.client_timeout = 4s;
  arrival further = request_of(2);
  further.client_timeout = 2900ms;
  further.retry = true;
  r.send({first});
  r.at(10ms, {further});
  ASSERT_TRUE(r.has<reject>(2));
  EXPECT_TRUE(r.all<reject>().front().no_retry_elsewhere);
  further.id = 3;
  further.caller = 1;  // of another caller nothing is known yet
  r.at(20ms, {further});
  EXPECT_TRUE(r.has<start>(3));
}

// Two cores learn their pace, the limit grows on idle cores, then runs take five times as long on busy ones:
// the limit falls, but never under the core count.
// A cold server of one core at a fifth of its speed survives 1.8 runs in the mean: two would be its end.
TEST(Limit, AColdServerOfOneCoreRunsOne) {
  settings s = plain_settings();
  s.classes[0] = {.name = "read", .latency_objective = 9s, .deadline = 20s};
  s.cores = 1;
  s.cold_start = true;
  s.cold_start_capacity = 0.2;
  s.slow_start_duration = 100s;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  for (duration t = 100ms; t < 900ms; t += 100ms) {
    r.at(t, {tick_with(0.1)});  // runs wait for their disk: the limit grows
    EXPECT_FALSE(r.has<start>(2)) << t.count();
  }
}

TEST(Limit, IsCutOnlyWhenRunsGrowLateOnBusyCores) {
  settings s = plain_settings();
  s.classes[0].latency_objective = 60s;
  s.classes[0].deadline = 120s;
  rig r(s);
  std::vector<event> many;
  for (request_id id = 1; id <= 40; ++id) many.push_back(request_of(id));
  r.send(many);
  std::vector<request_id> running = r.ids<start>();
  std::size_t most = 0;
  const auto step = [&](double busy, bool ends) {
    r.now += 100ms;
    std::vector<event> events{tick_with(busy)};
    if (ends) {
      events.push_back(done(running.front()));
      running.erase(running.begin());
    }
    r.send(events);
    for (const request_id id : r.ids<start>()) running.push_back(id);
    most = std::max(most, running.size());
  };
  for (int i = 0; i < 22; ++i) step(0.5, true);
  EXPECT_GT(most, 3u);
  for (int i = 0; i < 60; ++i) step(1.0, i % 10 == 9);
  EXPECT_EQ(running.size(), 2u);
}

// The caller may go at any stage: nothing is owed then, a run is stopped, and late reports do no harm.
TEST(Due, AGoneCallerIsOwedNothing) {
  settings s = plain_settings();
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(10ms, {client_cancelled{1}, client_cancelled{2}, client_cancelled{3}});
  EXPECT_TRUE(r.has<stop_run>(1));
  EXPECT_TRUE(r.ids<reject>().empty());
  EXPECT_TRUE(r.ids<fail>().empty());
  r.at(20ms, {completion{1, outcome::cancelled, 20ms}, completion{2, outcome::moot, 0ms}, call_needed{2},
              call_ended{1, outcome::ok, 1ms}});
  EXPECT_TRUE(r.ids<fail>().empty());
  r.at(30ms, {request_of(4)});
  EXPECT_TRUE(r.has<start>(4));
}

// The process stood still for two seconds: no timer, no read. That is not slow work, and nothing is shed for
// it.
TEST(Shedding, AStallOfTheProcessIsNotOverload) {
  settings s = plain_settings();
  s.cores = 1;
  rig r(s);
  r.send({request_of(1)});
  for (request_id id = 2; id < 30; ++id) {
    r.now += 100ms;
    r.send({tick_with(1), done(id - 1, 100ms), request_of(id)});
  }
  r.now += 2s;
  r.send({tick_with(1), done(29, 2100ms), request_of(40), request_of(41), request_of(42)});
  EXPECT_TRUE(r.ids<reject>().empty());
}

// Runs on the cores and none ends: health turns bad after the tightest aim, and good with the first run that
// ends.
// The same stand looks like chance on two cores (two long runs) and not on sixteen.
TEST(Health, IsBadWhileFarMoreRunsShouldHaveEndedThanDid) {
  const auto told_after = [](unsigned cores) {
    settings s = plain_settings();
    s.classes[0].late_weight = 0.5;
    s.classes[0].deadline = 20s;
    s.cores = cores;
    rig r(s);
    for (request_id id = 1; id <= 5 * cores; ++id) {
      r.at(id * 400ms, {request_of(id)});
      for (int i = 1; i <= 2; ++i) r.at(id * 400ms + i * 100ms, {tick_with(0.5)});
      r.at(id * 400ms + 300ms, {done(id, 300ms), tick_with(0.5)});
    }
    const duration begin = (5 * cores + 1) * 400ms;
    std::vector<event> stuck;
    for (request_id id = 1000; id < 1000 + cores; ++id) stuck.emplace_back(request_of(id));
    r.at(begin, stuck);
    EXPECT_EQ(r.ids<start>().size(), cores);
    duration waited{};
    while (r.all<set_health>().empty() && waited < 10s) r.at(begin + (waited += 100ms), {tick_with(1)});
    EXPECT_FALSE(r.all<set_health>().empty());
    r.at(begin + waited + 100ms, {done(1000, waited), tick_with(1)});
    EXPECT_EQ(r.all<set_health>().size(), 1u);
    return waited;
  };
  EXPECT_LT(told_after(16), 1500ms);
  EXPECT_GT(told_after(2), 2s);
  EXPECT_LT(told_after(2), 5s);
}

TEST(Due, EveryStageIsAnsweredInTime) {
  settings s = plain_settings();
  s.cores = 1;
  s.classes[0].latency_objective = 3s;
  s.classes[0].calls_dependency = true;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(10ms, {call_needed{1}});
  EXPECT_TRUE(r.has<place_call>(1));
  std::vector<request_id> answered;
  for (int ms = 20; ms <= 4000; ms += 20) {
    r.at(ms * 1ms, {tick_with(1)});
    for (const request_id id : r.ids<fail>()) answered.push_back(id);
    for (const request_id id : r.ids<reject>()) answered.push_back(id);
  }
  std::sort(answered.begin(), answered.end());
  EXPECT_EQ(answered, (ids{1, 2}));
}

TEST(Keys, ARepeatNeverGetsARunOrARefusal) {
  settings s = plain_settings();
  s.classes[0].effect = request_effect::keyed;
  s.classes[0].idempotency_window = 10s;
  s.idempotency_key_kb = 1;
  s.cores = 1;
  rig r(s);
  arrival again = request_of(2);
  again.duplicate_of = 1;
  r.send({request_of(1), again});
  EXPECT_TRUE(r.has<retain_key>(1));
  EXPECT_EQ(r.ids<start>(), ids{1});
  EXPECT_TRUE(r.has<share_result>(2));
  for (int ms = 100; ms < 4000; ms += 100) {
    r.at(ms * 1ms, {tick_with(1)});
    EXPECT_FALSE(r.has<reject>(2));
    EXPECT_FALSE(r.has<start>(2));
    EXPECT_FALSE(r.has<forget_key>(1));
  }
}

// The first try waits unread for 2.5 s; its caller tries again meanwhile. The entry of the first came too
// late to link the two, so the second is turned away. One that came after the first was read is no twin of
// it.
TEST(Keys, ATryThatCameBeforeItsFirstWasReadIsTurnedAway) {
  for (const bool marked : {true, false}) {
    settings s = plain_settings();
    s.classes[0] = {.name = "write",
                    .latency_objective = 4s,
                    .deadline = 9s,
                    .effect = request_effect::keyed,
                    .idempotency_window = 20s};
    rig r(s);
    arrival first = request_of(1);
    first.caller = 7;
    first.read_delay = 2500ms;
    r.at(2000ms, {first});
    EXPECT_TRUE(r.has<start>(1));
    arrival again = request_of(2);
    again.caller = 7;
    again.retry = marked;
    again.read_delay = 300ms;
    r.at(2010ms, {again});
    EXPECT_TRUE(r.has<reject>(2));
    arrival other = request_of(3);
    other.caller = 7;
    other.retry = marked;
    other.read_delay = 1ms;
    r.at(2020ms, {other});
    EXPECT_TRUE(r.has<start>(3));
  }
}

TEST(Memory, TheLargestTagGoesFirst) {
  settings s = plain_settings();
  s.memory_kb = 120;
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2), request_of(3)});
  EXPECT_TRUE(r.ids<reject>().empty());
  std::vector<event> more;
  for (request_id id = 4; id <= 12; ++id) more.push_back(request_of(id));
  r.at(1ms, more);
  ASSERT_FALSE(r.ids<reject>().empty());
  EXPECT_EQ(r.ids<reject>().front(), 12u);
}

// Found in a recorded day: nine runs and no held request left filled the memory.
TEST(Memory, ARunStartsOnlyWhereItFits) {
  settings s = plain_settings();
  s.memory_kb = 100;
  s.running_memory_factor = 6;
  rig r(s);
  r.send({request_of(1), request_of(2)});  // 60 as a run each
  EXPECT_EQ(r.ids<start>(), ids{1});
  r.at(100ms, {done(1)});
  EXPECT_EQ(r.ids<start>(), ids{2});
}

TEST(Drain, NothingLaterThanTheGraceIsRun) {
  rig r(plain_settings());
  r.send({shutdown_notice{10s}});
  r.at(900ms, {request_of(1)});
  EXPECT_TRUE(r.has<start>(1));
  r.at(1100ms, {request_of(2)});
  EXPECT_FALSE(r.has<start>(2));
  EXPECT_TRUE(r.has<reject>(2));
}

TEST(Drain, EverythingIsAnsweredBeforeTheStop) {
  settings s = plain_settings();
  s.halt = halt_mode::none;
  rig r(s);
  r.send({request_of(1), shutdown_notice{2s}});
  r.at(1400ms, {tick_with(1)});
  EXPECT_TRUE(r.has<fail>(1));
}

// A call that may have had its effect is not repeated for a keyed request; one that surely never ran is.
TEST(Calls, OnlyACallThatNeverRanIsRepeated) {
  settings s = plain_settings();
  s.classes[0].effect = request_effect::keyed;
  s.classes[0].idempotency_window = 10s;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(1ms, {call_needed{1}, call_needed{2}});
  r.at(2ms, {call_ended{1, outcome::full, 1ms}, call_ended{2, outcome::reset, 1ms}});
  for (int ms = 3; ms < 200; ms += 5) {
    EXPECT_FALSE(r.has<place_call>(2));
    if (r.has<place_call>(1)) return;
    r.at(ms * 1ms, {});
  }
  FAIL() << "the refused call was never placed again";
}

TEST(Calls, OneMayAlwaysBeOutButNotMoreThanTheShare) {
  settings s = plain_settings();
  s.fair_concurrent_calls = 0.5;
  s.calls_period = 5s;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(1ms, {call_needed{1}, call_needed{2}});
  EXPECT_EQ(r.all<place_call>().size(), 1u);
}

// A layer below that refuses is asked again after a while, and not for ever: each refusal asked again at once
// would multiply its load.
TEST(Calls, ARefusedCallIsAskedAgainLaterAndNotForEver) {
  settings s = plain_settings();
  s.classes[0].calls_dependency = true;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(1ms, {call_needed{1}, call_needed{2}});
  r.at(101ms, {call_ended{1, outcome::ok, 100ms}});  // 100 ms is what a call takes
  unsigned placed = 0;
  for (duration t = 102ms; t < 4s; t += 1ms) {
    const bool asked = r.has<place_call>(2);
    placed += asked ? 1 : 0;
    if (r.has<fail>(2)) break;
    r.at(t, {});
    if (t == 102ms || asked) r.at(t, {call_ended{2, outcome::full, 1ms}});
    if (t < 120ms) {
      EXPECT_FALSE(r.has<place_call>(2));
    }
  }
  EXPECT_TRUE(r.has<fail>(2));
  EXPECT_LE(placed, 2u);
}

settings of_scarce_calls() {
  settings s = plain_settings();
  s.classes[0] = {.name = "calling", .latency_objective = 2s, .deadline = 8s, .calls_dependency = true};
  s.classes.push_back({.name = "plain", .latency_objective = 2s, .deadline = 8s});
  s.fair_concurrent_calls = 0.4;
  s.calls_period = 5s;
  return s;
}

// Once round trips have grown twentyfold, calls come rarely: what needs one is turned away un-run or its run
// ended at once, and what needs none has the cores.
TEST(Calls, WhatCannotHaveItsCallInTimeMakesRoom) {
  rig r(of_scarce_calls());
  request_id id = 0;
  duration t{};
  for (; t < 5s; t += 500ms) {
    r.at(t, {request_of(++id, 0, 0)});
    r.at(t + 10ms, {call_needed{id}});
    r.at(t + 30ms, {call_ended{id, outcome::ok, 20ms}});
    r.at(t + 100ms, {done(id)});
  }
  for (int i = 0; i < 2; ++i, t += 500ms) {
    r.at(t, {request_of(++id, 0, 0)});
    r.at(t + 10ms, {call_needed{id}});
    r.at(t + 410ms, {call_ended{id, outcome::ok, 400ms}});
    r.at(t + 450ms, {done(id)});
  }
  std::vector<event> batch;
  for (int i = 0; i < 6; ++i) batch.emplace_back(request_of(++id, 0, 0));
  for (int i = 0; i < 2; ++i) batch.emplace_back(request_of(++id, 0, 1));
  r.at(t, batch);
  EXPECT_GE(r.ids<reject>().size(), 4u);
  // All servers share the jam: what is turned away for it is not to be tried elsewhere.
  for (const reject& f : r.all<reject>()) EXPECT_TRUE(f.no_retry_elsewhere) << f.id;
  EXPECT_FALSE(r.has<reject>(id));
  EXPECT_FALSE(r.has<reject>(id - 1));
}

TEST(Calls, ACallThatCannotComeInTimeIsLeftOutWhereThatKeepsWorth) {
  for (const double worth : {0.0, 0.5}) {
    settings s = of_scarce_calls();
    s.classes[0].weight_without_call = worth;
    rig r(s);
    r.send({request_of(1), request_of(2)});
    r.at(1ms, {call_needed{1}, call_needed{2}});
    r.at(1001ms, {call_ended{1, outcome::timeout, 1s}});
    EXPECT_EQ(r.has<skip_call>(2), worth > 0);
    EXPECT_EQ(r.has<fail>(2), worth <= 0);
  }
}

// Out at a slow dependency, a request cannot leave its call out any more: the limit leaves time for the rest.
TEST(Calls, ALimitLeavesTimeToGoOnWithout) {
  settings s = of_scarce_calls();
  s.classes[0].weight_without_call = 0.5;
  rig r(s);
  r.send({request_of(1)});
  r.at(10ms, {call_needed{1}});
  ASSERT_TRUE(r.has<place_call>(1));
  const duration limit = r.all<place_call>()[0].limit;
  EXPECT_LT(limit, 1900ms);
  r.at(10ms + limit, {call_ended{1, outcome::timeout, limit}});
  EXPECT_TRUE(r.has<skip_call>(1));
}

// Many callers of little traffic each would fill the table of connections with idle ones.
TEST(Connections, IdleOnesAreClosedSoonWhereCallersSeldomReturn) {
  rig r(plain_settings());
  std::vector<close_idle> said;
  const auto send_from = [&](request_id id, unsigned caller) {
    arrival a = request_of(id);
    a.caller = caller;
    r.at(id * 100ms, {a, tick_with(0.5)});
    for (const close_idle& c : r.all<close_idle>()) said.push_back(c);
    r.at(id * 100ms + 50ms, {done(id)});
  };
  for (request_id id = 1; id <= 100; ++id) send_from(id, id);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_GT(said[0].after, 0ns);
  EXPECT_LT(said[0].after, 1s);
  for (request_id id = 101; id <= 200; ++id) send_from(id, id % 4);
  ASSERT_EQ(said.size(), 2u);
  EXPECT_EQ(said[1].after, 0ns);  // as long as callers keep them
}

// A share of less than one call, and a dependency that stops answering: over any of its periods the calls in
// hand, abandoned ones included, stay under the share, and each server still gets calls out.
TEST(Calls, APartOfACallIsKeptOverThePeriod) {
  settings s = plain_settings();
  s.classes[0] = {.name = "read", .latency_objective = 4s, .deadline = 9s, .calls_dependency = true};
  s.fair_concurrent_calls = 0.4;
  s.calls_period = 5s;
  s.abandoned_call_duration = 200ms;
  rig r(s);
  std::vector<double> current_load;  // a step is 10 ms
  request_id id = 0;
  request_id at_call = 0;
  duration gives_up{};
  duration lingers{};
  unsigned placed = 0;
  for (duration t{}; t < 30s; t += 10ms) {
    std::vector<event> batch;
    if (t % 500ms == 0ns) batch.emplace_back(request_of(++id));
    if (t % 100ms == 0ns) batch.emplace_back(tick_with(0.5));
    if (at_call != 0 && t >= gives_up) {
      batch.emplace_back(call_ended{at_call, outcome::timeout, 0ns});
      lingers = t + 200ms;
      at_call = 0;
    }
    r.at(t, batch);
    for (int again = 0; again < 2; ++again) {
      std::vector<event> more;
      for (const request_id started : r.ids<start>()) more.emplace_back(call_needed{started});
      for (const place_call& c : r.all<place_call>()) {
        EXPECT_EQ(at_call, 0u);
        at_call = c.id;
        gives_up = t + c.limit;
        ++placed;
      }
      for (const request_id over : r.ids<fail>()) {
        if (over == at_call) at_call = 0, lingers = t + 200ms;
        more.emplace_back(completion{over, outcome::cancelled, 0ns});
      }
      if (more.empty()) break;
      r.send(more);
    }
    current_load.push_back((at_call != 0 ? 1 : 0) + (t < lingers ? 1 : 0));
    if (current_load.size() < 500) continue;
    double sum = 0;
    for (std::size_t i = current_load.size() - 500; i < current_load.size(); ++i) sum += current_load[i];
    ASSERT_LE(sum / 500, s.fair_concurrent_calls) << "at " << t.count();
  }
  EXPECT_GE(placed, 5u);
}

// Runs that are stopped at the end of their use must not make a server without hints look ever slower.
TEST(DrainRate, StoppedRunsWithoutHintsDoNotCloseAServer) {
  rig r(plain_settings());
  request_id id = 0;
  duration t{};
  for (int i = 0; i < 20; ++i) {
    r.at(t, {request_of(++id)});
    for (int k = 1; k < 3; ++k) r.at(t + k * 100ms, {tick_with(0.5)});
    r.at(t += 300ms, {done(id, 300ms), tick_with(0.5)});
  }
  for (int i = 0; i < 3; ++i) {  // two at a time, stopped after 600 ms
    r.at(t, {request_of(id + 1), request_of(id + 2)});
    for (int k = 1; k <= 6; ++k) r.at(t + k * 100ms, {tick_with(1)});
    r.at(t += 610ms, {client_cancelled{id + 1}, client_cancelled{id + 2}});
    r.send({completion{id + 1, outcome::cancelled, 600ms}, completion{id + 2, outcome::cancelled, 600ms}});
    id += 2;
  }
  r.at(t, {request_of(++id)});
  r.at(t + 50ms, {request_of(++id)});  // the other core is free
  EXPECT_TRUE(r.has<start>(id));
}

// A third more reads than this server's part of the quotas: a sign of a full fleet where walks cannot be
// told, and ground for asking only now and then where further tries carry a mark.
TEST(Elsewhere, IsClosedInProportionWhereFurtherTriesAreMarked) {
  const auto closed_share = [](bool marked) {
    settings s = plain_settings();
    s.tenants = {{"a", 40}};  // 20 reads a second here
    rig r(s);
    unsigned refused = 0;
    unsigned closed = 0;
    request_id id = 0;
    std::deque<std::pair<duration, request_id>> runs;
    for (duration t{}; t < 10s; t += 37ms) {  // 27 reads a second
      arrival a = request_of(++id);
      a.retry = marked && id == 1;
      a.client_timeout = 4s;
      std::vector<event> batch{a, tick_with(1)};
      while (!runs.empty() && runs.front().first <= t) {
        batch.emplace_back(done(runs.front().second, 300ms));
        runs.pop_front();
      }
      r.at(t, batch);
      for (const request_id started : r.ids<start>()) runs.emplace_back(t + 300ms, started);
      for (const reject& f : r.all<reject>()) {
        if (t < 5s) continue;
        ++refused;
        closed += f.no_retry_elsewhere ? 1 : 0;
      }
    }
    EXPECT_GT(refused, 20u);
    return static_cast<double>(closed) / refused;
  };
  EXPECT_EQ(closed_share(false), 1);
  EXPECT_GT(closed_share(true), 0.1);
  EXPECT_LT(closed_share(true), 0.6);
}

// Runs grow slow because reads of refused work take the cores: sending that work on would make it worse. The
// same slowness without the flood is this server's own, and others may do better.
TEST(Elsewhere, AFloodOfReadsIsNotTakenForASlowServer) {
  for (const bool flood : {false, true}) {
    settings s = plain_settings();
    s.tenants = {{"a", 20}};  // 10 reads a second here
    rig r(s);
    unsigned refused = 0;
    unsigned closed = 0;
    request_id id = 0;
    std::deque<std::pair<duration, request_id>> runs;
    for (duration t{}; t < 14s; t += 10ms) {
      std::vector<event> batch;
      if (t % 100ms == 0ns) batch.emplace_back(tick_with(1));
      if (t % (flood && t > 4s ? 40ms : 120ms) == 0ns) batch.emplace_back(request_of(++id));
      while (!runs.empty() && runs.front().first <= t) {
        batch.emplace_back(done(runs.front().second));
        runs.pop_front();
      }
      if (batch.empty()) continue;
      r.at(t, batch);
      for (const request_id started : r.ids<start>()) runs.emplace_back(t + (t < 4s ? 50ms : 400ms), started);
      for (const reject& f : r.all<reject>()) {
        if (t < 9s) continue;
        ++refused;
        closed += f.no_retry_elsewhere ? 1 : 0;
      }
    }
    EXPECT_GT(refused, 5u);
    EXPECT_EQ(closed, flood ? refused : 0u);
  }
}

TEST(Arrivals, AnIdInUseIsIgnored) {
  settings s = plain_settings();
  s.cores = 1;
  rig r(s);
  r.send({request_of(1), request_of(2)});
  r.at(1ms, {request_of(1), request_of(2)});
  EXPECT_TRUE(r.ids<start>().empty());
  r.at(10ms, {done(1)});
  EXPECT_EQ(r.ids<start>(), ids{2});
  r.at(20ms, {done(2)});
  EXPECT_TRUE(r.ids<start>().empty());
  r.at(30ms, {request_of(1)});  // free again
  EXPECT_EQ(r.ids<start>(), ids{1});
}

}  // namespace
}  // namespace admission_policy::testing
