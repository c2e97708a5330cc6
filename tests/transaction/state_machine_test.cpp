// Tests of the transaction state machine with lost, delayed and repeated requests, disk failures and crashes.
// Guards against a transaction that is committed at some participants only, against a client that receives
// the wrong outcome, and against participants that remain prepared.
#include "transaction/state_machine.hpp"

#include <rapidcheck.h>

#include <map>
#include <random>

#include "../check.hpp"

using namespace marblewharf::transaction;

namespace {

// A correct participant that identifies the transaction by its id: repeated requests have no effect, and a
// prepare that arrives after the abort is answered with a no vote.
struct simulated_participant {
  participant_kind kind{};
  enum class state { none, prepared, committed, aborted } current = state::none;
  bool votes_yes = true;

  participant_reply handle(participant_request request) {
    switch (request) {
      case participant_request::prepare:
        if (current == state::none) current = votes_yes ? state::prepared : state::aborted;
        return current == state::prepared || current == state::committed ? participant_reply::yes
                                                                         : participant_reply::no;
      case participant_request::commit:
        if (kind == participant_kind::one_phase) {
          if (current == state::none) current = votes_yes ? state::committed : state::aborted;
          return current == state::committed ? participant_reply::yes : participant_reply::no;
        }
        // Only a prepared participant may receive a commit.
        CHECK(current == state::prepared || current == state::committed);
        current = state::committed;
        return participant_reply::yes;
      case participant_request::abort:
        CHECK(current != state::committed);
        current = state::aborted;
        return participant_reply::yes;
    }
    return participant_reply::unknown;
  }
};

struct request_in_transit {
  std::size_t participant = 0;
  participant_request request{};
};

// Runs one transaction over three participants. The percentages are the probabilities of a lost message, a
// failed disk write, and a no vote.
void run_transaction(unsigned seed, bool with_last_agent, int loss_percent, int crashes,
                     int disk_fault_percent, int no_vote_percent) {
  std::mt19937 random(seed);
  const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
  std::vector<simulated_participant> participants(3);
  std::vector<participant_kind> kinds(3, participant_kind::two_phase);
  if (with_last_agent) kinds[2] = participant_kind::one_phase;
  for (std::size_t i = 0; i < 3; ++i) {
    participants[i].kind = kinds[i];
    participants[i].votes_yes = !chance(no_vote_percent);
  }
  std::vector<log_record> disk;
  std::optional<client_outcome> reported;
  std::optional<state_machine> machine;
  std::vector<request_in_transit> in_transit;
  std::vector<log_record> pending_writes;
  machine.emplace(kinds);
  machine->begin();
  int crashes_left = crashes;
  for (int round = 0; round < 4000; ++round) {
    while (const auto action = machine->next_action()) {
      if (const auto* send = std::get_if<send_request>(&*action)) {
        if (send->request == participant_request::commit &&
            kinds[send->participant] == participant_kind::two_phase)
          CHECK(std::find(disk.begin(), disk.end(), log_record::commit) != disk.end());
        in_transit.push_back({send->participant, send->request});
      } else if (const auto* write = std::get_if<write_log_record>(&*action)) {
        pending_writes.push_back(write->record);
      } else {
        CHECK(!reported);  // the outcome is reported only once
        reported = std::get<report_outcome>(*action).outcome;
        if (*reported == client_outcome::committed)
          for (const simulated_participant& p : participants)
            CHECK(p.current == simulated_participant::state::committed);
      }
    }
    if (machine->current_state() == state_machine::state::ended) break;
    const bool faults_ended = round > 2000;
    if (!faults_ended && crashes_left > 0 && chance(3)) {
      --crashes_left;
      // In a crash, pending writes may or may not reach the disk, and requests in transit may or may not
      // arrive.
      for (const log_record record : pending_writes) {
        if (chance(50)) disk.push_back(record);
      }
      pending_writes.clear();
      for (const request_in_transit& sent : in_transit) {
        if (chance(50)) participants[sent.participant].handle(sent.request);
      }
      in_transit.clear();
      machine.emplace(kinds);
      if (disk.empty()) {
        // No participant is contacted before the begin record is durable.
        for (const simulated_participant& p : participants)
          CHECK(p.current == simulated_participant::state::none);
        return;
      }
      machine->recover(disk.back());
      if (disk.back() == log_record::end) break;
      if (!reported) reported = client_outcome::in_doubt;  // the client received no answer
      continue;
    }
    if (!faults_ended && chance(2)) machine->on_deadline();
    if (!pending_writes.empty()) {
      const log_record record = pending_writes.front();
      pending_writes.erase(pending_writes.begin());
      const bool durable = faults_ended || !chance(disk_fault_percent);
      if (durable) disk.push_back(record);
      machine->on_logged(record, durable);
    }
    if (!in_transit.empty() && chance(60)) {
      const std::size_t index = random() % in_transit.size();
      const request_in_transit sent = in_transit[index];
      in_transit.erase(in_transit.begin() + static_cast<std::ptrdiff_t>(index));
      const bool request_arrives = faults_ended || !chance(loss_percent),
                 reply_arrives = faults_ended || !chance(loss_percent);
      const participant_reply reply =
          request_arrives ? participants[sent.participant].handle(sent.request) : participant_reply::unknown;
      machine->on_reply(sent.participant, sent.request, reply_arrives ? reply : participant_reply::unknown);
    }
    if (chance(10)) machine->retry();
  }
  CHECK(machine->current_state() == state_machine::state::ended);
  int committed = 0;
  for (const simulated_participant& p : participants) {
    CHECK(p.current != simulated_participant::state::prepared);  // no participant remains prepared
    committed += p.current == simulated_participant::state::committed;
  }
  CHECK(committed == 0 || committed == 3);
  if (reported == client_outcome::committed) CHECK(committed == 3);
  if (reported == client_outcome::aborted) CHECK(committed == 0);
}

void transaction_is_atomic() {
  for (const bool with_last_agent : {false, true}) {
    CHECK(rc::check("committed at all participants or at none", [with_last_agent] {
      const auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1 << 30));
      for (unsigned i = 0; i < 20; ++i)
        run_transaction(seed + i, with_last_agent, *rc::gen::inRange(0, 60), *rc::gen::inRange(0, 5),
                        *rc::gen::inRange(0, 40), *rc::gen::inRange(0, 40));
    }));
  }
}

// Guards against accepting a transaction without participants, or with more than one that cannot prepare.
void invalid_participants_are_rejected() {
  const auto rejected = [](std::vector<participant_kind> kinds) {
    try {
      state_machine machine(std::move(kinds));
    } catch (const std::invalid_argument&) {
      return true;
    }
    return false;
  };
  CHECK(rejected({}) &&
        rejected({participant_kind::one_phase, participant_kind::two_phase, participant_kind::one_phase}));
  CHECK(!rejected({participant_kind::one_phase}) &&
        !rejected({participant_kind::two_phase, participant_kind::two_phase}));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"atomicity", transaction_is_atomic}, {"invalid_participants", invalid_participants_are_rejected}};
  tests.at(argv[1])();
  return 0;
}
