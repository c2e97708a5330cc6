// Property tests of the index of a store of tables and of the cleaning rules (rapidcheck; ctest -L store).
#include "store/versions.hpp"

#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "../check.hpp"
#include "store/cleaning.hpp"

using namespace marblewharf::store;

namespace {

constexpr const char* table_names[] = {"a", "b"};

// Compares the index with a complete history of states: a snapshot must see the state at its opening, even
// after later commits and after other snapshots were closed.
void snapshots_match_history() {
  CHECK(rc::check(
      "snapshots see the state at their opening, counts are correct, unreferenced versions are removed", [] {
        versions index;
        using state = std::map<std::pair<std::string, std::string>, std::uint32_t>;
        std::vector<state> history(1);
        std::multimap<sequence, std::size_t> open;  // snapshot to index into history
        sequence last_commit = 0;
        for (const unsigned word : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0u, 60000u))) {
          const std::string table = table_names[word % 2], key(1, static_cast<char>('k' + word / 2 % 5));
          switch (word / 10 % 6) {
            case 0:
            case 1:
            case 2: {
              const auto offset = static_cast<std::uint32_t>(++last_commit);
              index.put(table, key, {{1, offset, 8}, 0, 10, nullptr}, last_commit);
              history.push_back(history.back());
              history.back()[{table, key}] = offset;
              break;
            }
            case 3:
              index.erase(table, key, ++last_commit);
              history.push_back(history.back());
              history.back().erase({table, key});
              break;
            case 4: open.emplace(index.open_snapshot(), history.size() - 1); break;
            case 5:
              if (open.empty()) break;
              index.close_snapshot(open.begin()->first);
              open.erase(open.begin());
              break;
          }
          const auto check = [&](const state& expected, std::optional<sequence> as_of) {
            for (const char* t : table_names) {
              std::map<std::string, std::uint32_t> seen, expected_rows;
              index.scan(t, "", "", as_of, [&](const std::string& k, const value_ref& p) {
                return seen[k] = p.location.offset, true;
              });
              for (const auto& [row_key, offset] : expected)
                if (row_key.first == t) expected_rows[row_key.second] = offset;
              RC_ASSERT(seen == expected_rows);
            }
          };
          check(history.back(), std::nullopt);
          for (const auto& [snapshot, state_index] : open) check(history[state_index], snapshot);
          RC_ASSERT(index.keys() == history.back().size());
          RC_ASSERT(index.live_bytes() == 10 * history.back().size());
        }
        for (const auto& [snapshot, state_index] : open) index.close_snapshot(snapshot);
        // Only current versions are left: no earlier log position is live.
        std::size_t left = 0;
        for (auto next = index.next_key("", ""); next; next = index.next_key(next->first, next->second))
          ++left;
        RC_ASSERT(left == history.back().size());
        for (const auto& [row_key, offset] : history.back())
          for (std::uint32_t o = 1; o <= last_commit; ++o)
            RC_ASSERT((index.liveness_of(row_key.first, row_key.second, {1, o, 8}) ==
                       versions::liveness::current) == (o == offset));
      }));
}

// For random sizes: while no cleaning is needed, a batch is accepted if the live bytes stay within
// max_live_bytes(). An accepted batch leaves the reserve free. A rejection without a retry time means that
// the live bytes would exceed max_live_bytes().
void cleaning_rules_hold() {
  CHECK(rc::check("no batch is rejected forever, the reserve is kept", [] {
    const auto segment = std::uint64_t{1} << *rc::gen::inRange(12, 24);
    const cleaning_rules rules{segment, segment * *rc::gen::inRange<std::uint64_t>(12, 200),
                               1 + *rc::gen::inRange(1, 60) / 10.0};
    cleaning c(rules);
    const auto used = *rc::gen::inRange<std::uint64_t>(0, rules.space);
    const auto live = *rc::gen::inRange<std::uint64_t>(0, used + 1);
    const std::uint64_t bytes = *rc::gen::inRange<std::uint64_t>(1, segment / 4 + 1);
    const std::uint64_t room = (rules.space - used) / segment * (segment - segment / 4 - 80);
    const disk_sizes disk{used, live, room};
    const verdict v = c.admit(disk, bytes, static_cast<std::int64_t>(bytes));
    if (v.accepted) RC_ASSERT(room >= c.reserve() + bytes && live + bytes <= c.max_live_bytes());
    if (!v.accepted && !v.retry_after) RC_ASSERT(live + bytes > c.max_live_bytes());
    if (!c.is_needed(disk) && live + bytes <= c.max_live_bytes()) RC_ASSERT(v.accepted);
    RC_ASSERT(c.admit({used, live, rules.space}, bytes, -1).accepted || rules.space < c.reserve() + bytes);
    RC_ASSERT(!c.is_needed(
        {static_cast<std::uint64_t>(rules.amplification * static_cast<double>(live)), live, room}));
  }));
  CHECK(cleaning({1000, 100'000, 2}).admit({96'000, 10'000, 2100}, 100, 100).accepted);
  CHECK(!cleaning({1000, 100'000, 2}).admit({96'000, 10'000, 2099}, 100, 100).accepted);
  // The retry time depends on the measured cleaning rate, within bounds.
  cleaning c({1000, 100'000, 2});
  const disk_sizes full{99'000, 10'000, 0};
  CHECK(c.admit(full, 100, 100).retry_after ==
        std::chrono::milliseconds(100));  // no rate measured yet: the minimum
  c.on_cleaned(1000, 500, std::chrono::seconds(1));
  CHECK(c.admit(full, 100, 100).retry_after ==
        std::chrono::milliseconds(4200));  // 2,100 bytes at 500 bytes per second
  for (int i = 0; i < 40; ++i) c.on_cleaned(1000, 999, std::chrono::seconds(1));
  CHECK(c.admit(full, 100, 100).retry_after == std::chrono::seconds(30));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"versions", snapshots_match_history},
                                                   {"cleaning", cleaning_rules_hold}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
