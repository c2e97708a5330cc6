// Tests which events prove what has become of an effect, and what is concluded from them.
#include "outcome/effect.hpp"

#include <map>
#include <string>
#include <vector>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::outcome;

namespace {

const origin first{{"first", 1}, 1};
const origin first_reconnected{{"first", 1}, 2};
const origin first_restarted{{"first", 2}, 2};
const origin second{{"second", 1}, 1};

effect after(const std::vector<evidence>& events) {
  effect observed;
  for (const evidence& each : events) CHECK(observed.apply(each));
  return observed;
}

effect in_flight_at(const origin& to) {
  return after({{event::start_sent, to}});
}

effect unknown_at(const origin& to) {
  return after({{event::start_sent, to}, {event::connection_lost, to}});
}

// Checks that `observed` is changed by none of the events, wherever they come from.
void expect_proves_nothing(const effect& observed, const std::vector<event>& events,
                           const std::vector<origin>& origins) {
  for (const event what : events) {
    for (const origin& from : origins) {
      effect changed = observed;
      CHECK(!changed.apply({what, from}));
      CHECK(changed.state() == observed.state() && changed.conclusion() == observed.conclusion());
    }
  }
}

// Guards against "unknown" that becomes "not started" by anything but the word of the server that got the
// start.
void absence_is_proven_only_by_the_server() {
  const std::vector<event> silence = {event::server_unreachable, event::connection_lost,
                                      event::stop_without_effect, event::server_restarted,
                                      event::response_unusable};
  expect_proves_nothing(unknown_at(first), silence, {first, first_reconnected, first_restarted, second});
  const std::vector<event> reports = {event::not_run, event::request_refused};
  expect_proves_nothing(unknown_at(first), reports, {second, first_restarted});
  effect reported = unknown_at(first);
  CHECK(reported.apply({event::not_run, first_reconnected}));
  CHECK(reported.state() == effect_state::failed_before_effect && !reported.may_have_started());
  CHECK(reported.conclusion() == run_end::never_started);
}

// Guards against a start that is taken back because a second server, to which it was repeated, did not get
// it.
void repeated_start_stays_unknown() {
  effect repeated = unknown_at(first);
  CHECK(repeated.apply({event::start_sent, second}));
  CHECK(repeated.state() == effect_state::unknown);
  expect_proves_nothing(repeated, {event::server_unreachable, event::not_run, event::request_refused},
                        {first, second});
  CHECK(repeated.conclusion() == run_end::lost);
  CHECK(repeated.apply({event::run_succeeded, second}));
  CHECK(repeated.conclusion() == run_end::succeeded);
}

// Guards against a start that counts as arrived because a later connection has confirmed other commands, and
// against a confirmed run that is given up with its connection.
void confirmation_is_bound_to_the_connection() {
  effect sent = in_flight_at(first);
  CHECK(!sent.apply({event::start_confirmed, first_reconnected}));
  CHECK(sent.state() == effect_state::in_flight);
  CHECK(sent.apply({event::start_confirmed, first}));
  CHECK(sent.state() == effect_state::running);
  expect_proves_nothing(sent, {event::connection_lost}, {first, first_reconnected});
  CHECK(sent.conclusion() == run_end::lost);
  effect unconfirmed = unknown_at(first);
  CHECK(!unconfirmed.apply({event::start_confirmed, first_reconnected}));
  CHECK(unconfirmed.apply({event::start_sent, first_reconnected}));
  CHECK(unconfirmed.apply({event::start_confirmed, first_reconnected}));
  CHECK(unconfirmed.state() == effect_state::running);
}

// Guards against a server that could not be reached and yet makes the outcome unknown.
void unreachable_server_got_no_start() {
  effect sent = in_flight_at(first);
  CHECK(!sent.apply({event::server_unreachable, second}));
  CHECK(sent.apply({event::server_unreachable, first}));
  CHECK(sent.state() == effect_state::not_started && sent.conclusion() == run_end::never_started);
  CHECK(sent.apply({event::start_sent, second}));
  CHECK(sent.apply({event::not_run, second}));
  CHECK(sent.conclusion() == run_end::never_started);
}

// Guards against an event that changes an outcome that is certain.
void certain_outcome_is_final() {
  std::vector<event> all;
  for (int number = 0; number <= static_cast<int>(event::abandoned); ++number)
    all.push_back(static_cast<event>(number));
  const std::vector<origin> origins = {first, first_reconnected, first_restarted, second};
  for (const event last : {event::run_succeeded, event::run_failed, event::not_run, event::request_refused})
    expect_proves_nothing(after({{event::start_sent, first}, {last, first}}), all, origins);
}

// Guards against an event without a start that makes the outcome unknown. The end of a run may be reported:
// an earlier process of the node may have sent the start.
void only_reports_matter_before_the_start() {
  expect_proves_nothing(effect(),
                        {event::server_unreachable, event::start_confirmed, event::connection_lost,
                         event::response_unusable, event::stop_without_effect, event::server_restarted,
                         event::request_refused, event::run_paused, event::abandoned},
                        {first, second});
  CHECK(after({{event::run_succeeded, first}}).conclusion() == run_end::succeeded);
  CHECK(after({{event::not_run, first}}).conclusion() == run_end::never_started);
}

void conclusions_follow_from_the_last_event() {
  const std::map<event, run_end> expected = {{event::run_succeeded, run_end::succeeded},
                                             {event::run_failed, run_end::failed},
                                             {event::run_aborted, run_end::aborted},
                                             {event::not_run, run_end::never_started},
                                             {event::request_refused, run_end::unknown_request},
                                             {event::connection_lost, run_end::lost},
                                             {event::response_unusable, run_end::lost},
                                             {event::stop_without_effect, run_end::lost},
                                             {event::server_restarted, run_end::lost},
                                             {event::abandoned, run_end::aborted}};
  for (const auto& [last, conclusion] : expected) {
    const effect ended = after({{event::start_sent, first}, {last, first}});
    CHECK(ended.conclusion() == conclusion);
    const bool may_run_again = disposition_of(conclusion) == key_disposition::release;
    CHECK(may_run_again == !ended.may_have_started());
  }
  CHECK(in_flight_at(first).conclusion() == run_end::lost);
}

// Guards against a key that is freed after a crash by a server that never got the request.
void recovered_effect_names_its_server() {
  effect found = effect::recovered("first");
  CHECK(found.state() == effect_state::unknown && found.conclusion() == run_end::lost);
  CHECK(found.inquiry_conclusion() == inquiry_outcome::unknown);
  CHECK(!found.apply({event::not_run, {{"second", 0}, 0}}));
  CHECK(found.apply({event::not_run, {{"first", 0}, 0}}));
  CHECK(found.inquiry_conclusion() == inquiry_outcome::never_ran);

  effect without_server = effect::recovered("");
  for (const char* name : {"", "first", "second"})
    CHECK(!without_server.apply({event::not_run, {{name, 0}, 0}}));
  CHECK(without_server.apply({event::run_succeeded, {{"second", 0}, 0}}));
  CHECK(without_server.inquiry_conclusion() == inquiry_outcome::completed);
}

// Guards against a new row of the table that takes a start back without a proof.
void table_has_no_way_back_from_unknown() {
  for (const transition& row : transitions()) {
    CHECK(row.from != effect_state::completed && row.from != effect_state::failed_before_effect);
    if (row.from != effect_state::unknown) continue;
    CHECK(row.to != effect_state::not_started && row.to != effect_state::in_flight);
    const bool is_report = row.on == event::not_run || row.on == event::request_refused;
    CHECK((row.to == effect_state::failed_before_effect) == is_report);
    if (is_report) CHECK(row.needs == requirement::sole_server);
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"absence", absence_is_proven_only_by_the_server},
                                                   {"repeated", repeated_start_stays_unknown},
                                                   {"confirmation", confirmation_is_bound_to_the_connection},
                                                   {"unreachable", unreachable_server_got_no_start},
                                                   {"final", certain_outcome_is_final},
                                                   {"before_start", only_reports_matter_before_the_start},
                                                   {"conclusions", conclusions_follow_from_the_last_event},
                                                   {"recovered", recovered_effect_names_its_server},
                                                   {"table", table_has_no_way_back_from_unknown}};
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
