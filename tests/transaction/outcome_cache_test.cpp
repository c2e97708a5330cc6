// The outcomes of transactions by the key of their request (ctest -L dependencies).
#include "transaction/outcome_cache.hpp"

#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <vector>

#include "../check.hpp"

using namespace marblewharf::transaction;

namespace {

using status = outcome_cache::status;

// Against a plain map that forgets nothing but what has aged.
void against_a_map() {
  CHECK(rc::check("a committed outcome is told until it ages, and no other is", [] {
    struct written {
      std::uint64_t which = 0;
      status how = status::open;
      std::int64_t expiry = 0;
    };
    outcome_cache o(1'000'000);
    std::map<std::uint64_t, written> model;  // by key: the latest write
    std::uint64_t last = 0;
    std::int64_t now = 1;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const std::uint64_t k = static_cast<std::uint64_t>(*rc::gen::inRange(0, 8));
      const outcome_cache::key key{k, k * 7};
      auto& m = model[k];
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          m = {++last, status::open, 0};
          o.on_begin(key, last);
          break;
        case 1:
          o.on_abort(key, m.which);
          if (m.which != 0 && m.how == status::open) m = {};
          break;
        case 2:
          if (m.how != status::open || m.which == 0) break;
          m.how = status::committed;
          m.expiry = now + 100;
          o.on_commit(key, m.which, m.expiry);
          break;
        case 3: o.on_commit(key, m.which + 1000, now + 100); break;  // of another write: it tells nothing
        default:
          now += *rc::gen::inRange(1, 60);
          o.expire(now);
          for (auto& [mk, w] : model)
            if (w.how == status::committed && w.expiry <= now) w = {};
      }
      for (const auto& [mk, w] : model) {
        const outcome_cache::outcome is = o.find({mk, mk * 7});
        RC_ASSERT(is.state == (w.which == 0 ? status::unknown : w.how));
        if (w.how == status::committed) RC_ASSERT(is.number == w.which);
      }
    }
  }));
}

void bounded() {
  outcome_cache o(2);
  o.on_begin({1, 1}, 1);
  CHECK(o.has_room());
  o.on_begin({2, 2}, 2);
  CHECK(!o.has_room() && o.next_expiry() == 0);
  o.on_commit({1, 1}, 1, 500);
  CHECK(!o.has_room() && o.next_expiry() == 500);
  o.expire(499);
  CHECK(!o.has_room());
  o.expire(500);
  CHECK(o.has_room() && o.find({1, 1}).state == status::unknown && o.find({2, 2}).state == status::open);
  // A folder may have an earlier write of a key, whose undoing took long, behind a later one that is over.
  o.on_begin({3, 3}, 9);
  o.on_commit({3, 3}, 9, 900);
  o.on_begin({3, 3}, 8);
  o.on_abort({3, 3}, 8);
  CHECK(o.find({3, 3}).state == status::committed && o.find({3, 3}).number == 9);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"against_a_map", against_a_map}, {"bounded", bounded}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
