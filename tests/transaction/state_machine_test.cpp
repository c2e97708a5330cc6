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
  part_kind kind{};
  enum class state { none, prepared, committed, aborted } is = state::none;
  bool willing = true;

  step_end take(step_kind what) {
    switch (what) {
      case step_kind::prepare:
        if (is == state::none) is = willing ? state::prepared : state::aborted;
        return is == state::prepared || is == state::committed ? step_end::yes : step_end::no;
      case step_kind::commit:
        if (kind == part_kind::one_phase) {
          if (is == state::none) is = willing ? state::committed : state::aborted;
          return is == state::committed ? step_end::yes : step_end::no;
        }
        CHECK(is == state::prepared ||
              is == state::committed);  // never asked to commit what it has not promised
        is = state::committed;
        return step_end::yes;
      case step_kind::abort:
        CHECK(is != state::committed);
        is = state::aborted;
        return step_end::yes;
    }
    return step_end::unknown;
  }
};

struct step_on_its_way {
  std::size_t who = 0;
  step_kind what{};
};

void one(unsigned seed, bool with_last, int loss, int crashes, int disk_faults, int unwilling) {
  std::mt19937 random(seed);
  const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
  std::vector<peer> peers(3);
  std::vector<part_kind> kinds(3, part_kind::two_phase);
  if (with_last) kinds[2] = part_kind::one_phase;
  for (std::size_t i = 0; i < 3; ++i) {
    peers[i].kind = kinds[i];
    peers[i].willing = !chance(unwilling);
  }
  std::vector<log_mark> disk;
  std::optional<tx_answer> told;
  std::optional<transaction> t;
  std::vector<step_on_its_way> way;
  std::vector<log_mark> writing;
  t.emplace(kinds);
  t->begin();
  int crashes_left = crashes;
  for (int round = 0; round < 4000; ++round) {
    while (const auto a = t->pick()) {
      if (const auto* s = std::get_if<take_step>(&*a)) {
        if (s->what == step_kind::commit && kinds[s->participant] == part_kind::two_phase)
          CHECK(std::find(disk.begin(), disk.end(), log_mark::decided) != disk.end());
        way.push_back({s->participant, s->what});
      } else if (const auto* m = std::get_if<write_mark>(&*a)) {
        writing.push_back(m->what);
      } else {
        CHECK(!told);  // one answer
        told = std::get<answer_now>(*a).how;
        if (*told == tx_answer::committed)
          for (const peer& p : peers) CHECK(p.is == peer::state::committed);
      }
    }
    if (t->where() == transaction::stage::over) break;
    const bool quiet = round > 2000;  // then nothing fails any more
    if (!quiet && crashes_left > 0 && chance(3)) {
      --crashes_left;
      // What was on its way to disk may be there or not, and steps on their way may still arrive, or not.
      for (const log_mark m : writing) {
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
      t->resume(disk.back());
      if (disk.back() == log_mark::over) break;
      if (!told) told = tx_answer::under_way;  // its caller heard nothing
      continue;
    }
    if (!quiet && chance(2)) t->on_deadline();
    if (!writing.empty()) {
      const log_mark m = writing.front();
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
      const step_end how = arrives ? peers[s.who].take(s.what) : step_end::unknown;
      t->on_step(s.who, s.what, heard ? how : step_end::unknown);
    }
    if (chance(10)) t->again();
  }
  CHECK(t->where() == transaction::stage::over);
  int committed = 0;
  for (const peer& p : peers) {
    CHECK(p.is != peer::state::prepared);  // nobody is left with a promise
    committed += p.is == peer::state::committed;
  }
  CHECK(committed == 0 || committed == 3);
  if (told == tx_answer::committed) CHECK(committed == 3);
  if (told == tx_answer::failed) CHECK(committed == 0);
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
  const auto refused = [](std::vector<part_kind> kinds) {
    try {
      transaction t(std::move(kinds));
    } catch (const std::invalid_argument&) {
      return true;
    }
    return false;
  };
  CHECK(refused({}) && refused({part_kind::one_phase, part_kind::two_phase, part_kind::one_phase}));
  CHECK(!refused({part_kind::one_phase}) && !refused({part_kind::two_phase, part_kind::two_phase}));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"whole", whole_or_none},
                                                   {"refused", what_cannot_be_kept}};
  tests.at(argv[1])();
  return 0;
}
