// Tests of fan-out as a library (marblewharf/gathering.hpp): the embedder supplies the calls as functions,
// and the state machine of the daemon makes the decisions.
#include <map>
#include <thread>

#include "../check.hpp"
#include "marblewharf/gathering.hpp"

using namespace marblewharf::middleware;
using namespace std::chrono_literals;

namespace {

const subject quotes("isar-invest", 1);

source_call returns(const std::string& bytes) {
  return [bytes](const call_terms&) { return bytes; };
}
// A call that blocks until it is cancelled.
source_call hangs(std::atomic<int>& cancelled) {
  return [&cancelled](const call_terms& terms) -> std::string {
    while (!*terms.cancelled) std::this_thread::sleep_for(1ms);
    ++cancelled;
    throw std::runtime_error("cancelled");
  };
}

// Guards against waiting for a source that hangs, and against calls that are not cancelled once their result
// is no longer needed.
void hanging_source_is_replaced() {
  std::atomic<int> cancelled = 0;
  gathering fan_out(
      {{.name = "kurse", .endpoints = {returns("101.42")}},
       {.name = "stamm", .endpoints = {hangs(cancelled)}, .budget = 100ms}},
      {{"kurs", "kurse", false, {}}, {"name", "stamm", false, {{.source = "", .oldest = 0s, .fixed = "?"}}}},
      2s);
  const auto begin = std::chrono::steady_clock::now();
  const gathered result = fan_out.gather(quotes, 1s);
  CHECK(!result.complete && !result.failed && result.parts[0].state == part_state::fresh &&
        result.parts[0].bytes == "101.42");
  CHECK(result.parts[1].state == part_state::stand_in && result.parts[1].bytes == "?");
  CHECK(std::chrono::steady_clock::now() - begin >= 90ms);
  // The hanging source does not block the threads of the other source, and its calls are cancelled.
  std::vector<std::thread> callers;
  std::atomic<int> fresh = 0;
  for (int i = 0; i < 32; ++i)
    callers.emplace_back([&] { fresh += fan_out.gather(quotes, 1s).parts[0].state == part_state::fresh; });
  for (std::thread& caller : callers) caller.join();
  CHECK(fresh == 32 && cancelled > 0);
}

// Guards against failing a request although another endpoint can serve it, and against success without a
// required part.
void failed_call_is_retried_at_another_endpoint() {
  std::atomic<int> succeeded = 0;
  const source_call fails = [](const call_terms&) -> std::string { throw std::runtime_error("down"); };
  const source_call busy = [](const call_terms&) -> std::string { throw not_now(10s); };
  gathering fan_out(
      {{.name = "kurse",
        .endpoints = {fails, [&](const call_terms&) { return ++succeeded, std::string("x"); }}}},
      {{"kurs", "kurse", true, {}}}, 2s);
  int served = 0;
  for (int i = 0; i < 20; ++i) served += !fan_out.gather(quotes, 1s).failed;
  CHECK(served >= 15 && succeeded >= served);
  gathering rejecting({{.name = "kurse", .endpoints = {busy}}}, {{"kurs", "kurse", true, {}}}, 2s);
  CHECK(rejecting.gather(quotes, 1s).failed && rejecting.gather(quotes, 1s).failed);
}

// Guards against calls to a distant endpoint while a nearer one is reachable.
void near_endpoints_are_preferred() {
  std::atomic<int> calls[3] = {};
  const auto counts = [&calls](int endpoint) {
    return [&calls, endpoint](const call_terms&) { return ++calls[endpoint], std::string("x"); };
  };
  gathering fan_out({{.name = "kurse",
                      .endpoints = {counts(0), counts(1), counts(2)},
                      .where = {nearness::elsewhere, nearness::own_zone, nearness::own_region}}},
                    {{"kurs", "kurse", true, {}}}, 2s);
  for (int i = 0; i < 30; ++i) CHECK(!fan_out.gather(quotes, 1s).failed);
  CHECK(calls[0] == 0 && calls[1] == 30 && calls[2] == 0);
  fan_out.set_reachable("kurse", 1, false);
  for (int i = 0; i < 30; ++i) CHECK(!fan_out.gather(quotes, 1s).failed);
  CHECK(calls[0] == 0 && calls[1] == 30 && calls[2] == 30);
  try {
    fan_out.set_reachable("kurse", 3, false);
    CHECK(false);
  } catch (const std::invalid_argument&) {
  }
}

// Guards against accepting plans that cannot be carried out.
void invalid_plans_are_rejected() {
  const auto error_for = [](std::vector<part_of> parts, std::chrono::nanoseconds latency_objective) {
    try {
      gathering fan_out(
          {{.name = "a", .endpoints = {returns("a")}}, {.name = "b", .endpoints = {returns("b")}}},
          std::move(parts), latency_objective);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  CHECK(error_for({{"p", "a", false, {}}}, 2s).empty());
  CHECK(error_for({{"p", "c", false, {}}}, 2s) == "unknown source: c");
  CHECK(error_for({{"p", "a", false, {}}}, 500ms) != "");
  CHECK(error_for({{"p", "a", false, {{.source = "a", .oldest = {}, .fixed = {}}}}}, 9s) ==
        "part p falls back on a, which the part already calls");
}

// Guards against a stale part of one member in the answer to another, unless the part is shared.
void stale_parts_stay_with_their_member() {
  std::atomic<bool> down = false;
  const source_call fails_when_down = [&down](const call_terms&) -> std::string {
    if (down) throw std::runtime_error("down");
    return "100 units";
  };
  const std::vector<stand_in_for> stale_then_fixed = {{.source = "", .oldest = 1min, .fixed = ""},
                                                      {.source = "", .oldest = 0s, .fixed = "?"}};
  gathering fan_out({{.name = "depot", .endpoints = {fails_when_down}, .tries = 1},
                     {.name = "stamm", .endpoints = {fails_when_down}, .tries = 1}},
                    {{"depot", "depot", false, stale_then_fixed},
                     {.name = "stamm", .source = "stamm", .stand_ins = stale_then_fixed, .shared = true}},
                    2s);
  const subject first("isar-invest", 1), second("lech-vermoegen", 1);
  CHECK(fan_out.gather(first, 1s).complete);
  down = true;
  const gathered own = fan_out.gather(first, 1s);
  CHECK(own.parts[0].state == part_state::stale && own.parts[1].state == part_state::stale);
  const gathered others = fan_out.gather(second, 1s);
  CHECK(others.parts[0].state == part_state::stand_in && others.parts[0].bytes == "?");
  CHECK(others.parts[1].state == part_state::stale);
  CHECK(fan_out.gather(subject("isar-invest", 2), 1s).parts[1].state == part_state::stand_in);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"hanging_source", hanging_source_is_replaced},
                                                   {"retry", failed_call_is_retried_at_another_endpoint},
                                                   {"locality", near_endpoints_are_preferred},
                                                   {"stale_by_member", stale_parts_stay_with_their_member},
                                                   {"plans", invalid_plans_are_rejected}};
  tests.at(argv[1])();
  return 0;
}
