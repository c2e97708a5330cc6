// The write over several participants under lost, late and repeated steps, a disk that fails and crashes at
// any moment: whole at all or at none once all is quiet, and no answer that is not so.
#include "transaction/state_machine.hpp"

#include <rapidcheck.h>

#include <map>
#include <random>

#include "../check.hpp"

using namespace marblewharf::transaction;

namespace {

// Knows the write by its id: repeated steps change nothing, and a prepare that comes behind its abort is
// turned down.
struct peer {
  participant_kind kind{};
  enum class state { none, prepared, committed, aborted } is = state::none;
  bool willing = true;

  participant_reply take(participant_request what) {
    switch (what) {
      case participant_request::prepare:
        if (is == state::none) is = willing ? state::prepared : state::aborted;
        return is == state::prepared || is == state::committed ? participant_reply::yes
                                                               : participant_reply::no;
      case participant_request::commit:
        if (kind == participant_kind::one_phase) {
          if (is == state::none) is = willing ? state::committed : state::aborted;
          return is == state::committed ? participant_reply::yes : participant_reply::no;
        }
        CHECK(is == state::prepared ||
              is == state::committed);  // never asked to commit what it has not promised
        is = state::committed;
        return participant_reply::yes;
      case participant_request::abort:
        CHECK(is != state::committed);
        is = state::aborted;
        return participant_reply::yes;
    }
    return participant_reply::unknown;
  }
};

struct step_on_its_way {
  std::size_t who = 0;
  participant_request what{};
};

void one(unsigned seed, bool with_last, int loss, int crashes, int disk_faults, int unwilling) {
  std::mt19937 random(seed);
  const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
  std::vector<peer> peers(3);
  std::vector<participant_kind> kinds(3, participant_kind::two_phase);
  if (with_last) kinds[2] = participant_kind::one_phase;
  for (std::size_t i = 0; i < 3; ++i) {
    peers[i].kind = kinds[i];
    peers[i].willing = !chance(unwilling);
  }
  std::vector<log_record> disk;
  std::optional<client_outcome> told;
  std::optional<state_machine> t;
  std::vector<step_on_its_way> way;
  std::vector<log_record> writing;
  t.emplace(kinds);
  t->begin();
  int crashes_left = crashes;
  for (int round = 0; round < 4000; ++round) {
    while (const auto a = t->next_action()) {
      if (const auto* s = std::get_if<send_request>(&*a)) {
        if (s->request == participant_request::commit && kinds[s->participant] == participant_kind::two_phase)
          CHECK(std::find(disk.begin(), disk.end(), log_record::commit) != disk.end());
        way.push_back({s->participant, s->request});
      } else if (const auto* m = std::get_if<write_log_record>(&*a)) {
        writing.push_back(m->record);
      } else {
        CHECK(!told);  // one answer
        told = std::get<report_outcome>(*a).outcome;
        if (*told == client_outcome::committed)
          for (const peer& p : peers) CHECK(p.is == peer::state::committed);
      }
    }
    if (t->current_state() == state_machine::state::ended) break;
    const bool quiet = round > 2000;  // then nothing fails any more
    if (!quiet && crashes_left > 0 && chance(3)) {
      --crashes_left;
      // What was on its way to disk may be there or not, and steps on their way may still arrive, or not.
      for (const log_record m : writing) {
        if (chance(50)) disk.push_back(m);
      }
      writing.clear();
      for (const step_on_its_way& s : way) {
        if (chance(50)) peers[s.who].take(s.what);
      }
      way.clear();
      t.emplace(kinds);
      if (disk.empty()) {
        for (const peer& p : peers) CHECK(p.is == peer::state::none);  // nobody was asked before the mark
        return;
      }
      t->recover(disk.back());
      if (disk.back() == log_record::end) break;
      if (!told) told = client_outcome::in_doubt;  // its caller heard nothing
      continue;
    }
    if (!quiet && chance(2)) t->on_deadline();
    if (!writing.empty()) {
      const log_record m = writing.front();
      writing.erase(writing.begin());
      const bool well = quiet || !chance(disk_faults);
      if (well) disk.push_back(m);
      t->on_logged(m, well);
    }
    if (!way.empty() && chance(60)) {
      const std::size_t at = random() % way.size();
      const step_on_its_way s = way[at];
      way.erase(way.begin() + static_cast<std::ptrdiff_t>(at));
      const bool arrives = quiet || !chance(loss), heard = quiet || !chance(loss);
      const participant_reply how = arrives ? peers[s.who].take(s.what) : participant_reply::unknown;
      t->on_reply(s.who, s.what, heard ? how : participant_reply::unknown);
    }
    if (chance(10)) t->retry();
  }
  CHECK(t->current_state() == state_machine::state::ended);
  int committed = 0;
  for (const peer& p : peers) {
    CHECK(p.is != peer::state::prepared);  // nobody is left with a promise
    committed += p.is == peer::state::committed;
  }
  CHECK(committed == 0 || committed == 3);
  if (told == client_outcome::committed) CHECK(committed == 3);
  if (told == client_outcome::aborted) CHECK(committed == 0);
}

void whole_or_none() {
  for (const bool with_last : {false, true}) {
    CHECK(rc::check("whole at all or at none", [with_last] {
      const auto seed = static_cast<unsigned>(*rc::gen::inRange(1, 1 << 30));
      for (unsigned i = 0; i < 20; ++i)
        one(seed + i, with_last, *rc::gen::inRange(0, 60), *rc::gen::inRange(0, 5), *rc::gen::inRange(0, 40),
            *rc::gen::inRange(0, 40));
    }));
  }
}

void what_cannot_be_kept() {
  const auto refused = [](std::vector<participant_kind> kinds) {
    try {
      state_machine t(std::move(kinds));
    } catch (const std::invalid_argument&) {
      return true;
    }
    return false;
  };
  CHECK(refused({}) &&
        refused({participant_kind::one_phase, participant_kind::two_phase, participant_kind::one_phase}));
  CHECK(!refused({participant_kind::one_phase}) &&
        !refused({participant_kind::two_phase, participant_kind::two_phase}));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"whole", whole_or_none},
                                                   {"refused", what_cannot_be_kept}};
  tests.at(argv[1])();
  return 0;
}
