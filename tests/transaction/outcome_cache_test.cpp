// Tests of outcome_cache, the outcomes of transactions by the key of their request (ctest -L dependencies).
#include "transaction/outcome_cache.hpp"

#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <vector>

#include "../check.hpp"

using namespace marblewharf::transaction;

namespace {

using status = outcome_cache::status;

// Guards against outcomes that are lost before they expire, kept longer, or attributed to another transaction
// of the same key. Random calls are compared with a model that uses a plain map.
void matches_model() {
  CHECK(rc::check("committed outcomes are returned until they expire", [] {
    struct transaction {
      std::uint64_t number = 0;  // 0: none
      status state = status::open;
      std::int64_t expiry = 0;
    };
    outcome_cache cache(1'000'000);
    std::map<std::uint64_t, transaction> model;  // by key: its latest transaction
    std::uint64_t last_number = 0;
    std::int64_t now = 1;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      const std::uint64_t k = static_cast<std::uint64_t>(*rc::gen::inRange(0, 8));
      const outcome_cache::key key{k, k * 7};
      transaction& latest = model[k];
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          latest = {++last_number, status::open, 0};
          cache.on_begin(key, last_number);
          break;
        case 1:
          cache.on_abort(key, latest.number);
          if (latest.number != 0 && latest.state == status::open) latest = {};
          break;
        case 2:
          if (latest.state != status::open || latest.number == 0) break;
          latest.state = status::committed;
          latest.expiry = now + 100;
          cache.on_commit(key, latest.number, latest.expiry);
          break;
        case 3:
          cache.on_commit(key, latest.number + 1000, now + 100);
          break;  // unknown number: must be ignored
        default:
          now += *rc::gen::inRange(1, 60);
          cache.expire(now);
          for (auto& [model_key, expected] : model)
            if (expected.state == status::committed && expected.expiry <= now) expected = {};
      }
      for (const auto& [model_key, expected] : model) {
        const outcome_cache::outcome found = cache.find({model_key, model_key * 7});
        RC_ASSERT(found.state == (expected.number == 0 ? status::unknown : expected.state));
        if (expected.state == status::committed) RC_ASSERT(found.number == expected.number);
      }
    }
  }));
}

// Guards against a cache that exceeds its capacity or evicts an outcome before it expires, and against an
// earlier transaction of a key that replaces a later one.
void capacity_is_limited() {
  outcome_cache cache(2);
  cache.on_begin({1, 1}, 1);
  CHECK(cache.has_capacity());
  cache.on_begin({2, 2}, 2);
  CHECK(!cache.has_capacity() && cache.next_expiry() == 0);
  cache.on_commit({1, 1}, 1, 500);
  CHECK(!cache.has_capacity() && cache.next_expiry() == 500);
  cache.expire(499);
  CHECK(!cache.has_capacity());
  cache.expire(500);
  CHECK(cache.has_capacity() && cache.find({1, 1}).state == status::unknown &&
        cache.find({2, 2}).state == status::open);
  // A folder may contain an open transaction after a later, committed transaction of the same key, because
  // aborting the earlier one took longer.
  cache.on_begin({3, 3}, 9);
  cache.on_commit({3, 3}, 9, 900);
  cache.on_begin({3, 3}, 8);
  cache.on_abort({3, 3}, 8);
  CHECK(cache.find({3, 3}).state == status::committed && cache.find({3, 3}).number == 9);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"against_model", matches_model},
                                                   {"capacity", capacity_is_limited}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
