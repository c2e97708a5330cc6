#include "transaction/log_folder.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace marblewharf::transaction {
namespace {

constexpr double amplification = 2;  // docs/store.md
// Outcomes stand on disk for this much longer than they are known in memory, so that none is missing while it
// is.
constexpr std::chrono::nanoseconds kept_longer = std::chrono::seconds(2);

// All on disk before the row that says so. Rows written by a try that was broken off are the same.
std::size_t move_up(store::tables& t, const std::string& folder, const older_marks& older, std::int64_t now) {
  std::vector<store::batch> all = older.moved(now, t.salt());
  std::vector<const store::batch*> rows;
  for (const store::batch& b : all) rows.push_back(&b);
  const store::batch* last = rows.back();
  rows.pop_back();
  for (const auto& some : {rows, std::vector<const store::batch*>{last}}) {
    for (const store::tables::committed& c : t.commit_all(some, now)) {
      if (!c.fault.empty()) throw store::io_error(c.fault);
      if (!c.v.may)
        throw store::io_error(folder + ": what an older program left finds no room: more writes.space");
    }
  }
  return rows.size();
}

}  // namespace

log_folder open_log_folder(store::file_system& fs, const log_folder_options& o, std::int64_t unix_now) {
  older_marks older;
  store::tables_options t;
  t.folder = o.folder;
  t.disk = {o.segment, o.space, amplification};
  t.life = {{outcome_table, o.keep + kept_longer}};
  t.most_keys = std::numeric_limits<std::size_t>::max();  // outcomes and open writes have bounds of their own
  t.salt = o.salt;
  t.older = [&older](std::uint32_t type, std::string_view body) { older.take(type, body); };
  log_folder found;
  found.tables = std::make_unique<store::tables>(fs, std::move(t), unix_now);
  store::tables& all = *found.tables;
  const std::int64_t now = std::max(unix_now, all.latest());
  if (older.any() && !all.get(meta_table, moved_key, now)) found.moved = move_up(all, o.folder, older, now);
  all.each_key(outcome_table, now, [&](const std::string& key, std::int64_t expiry) {
    const auto what = read_outcome_key(key);
    if (!what) throw store::damaged(o.folder + ": an outcome whose key is none");
    found.over.push_back({*what, expiry - kept_longer.count()});
  });
  std::sort(found.over.begin(), found.over.end(),
            [](const found_outcome& a, const found_outcome& b) { return a.expiry < b.expiry; });
  all.scan(open_table, "", "", now, std::nullopt, [&](const std::string& id, const std::string& value) {
    auto begun = read_begun(id, value);
    const auto marked = all.get(mark_table, id, now);
    const auto last = marked ? read_mark(*marked) : std::optional(log_mark::begun);
    if (!begun || !last) throw store::damaged(o.folder + ": write " + id + " cannot be read");
    found.open.push_back({std::move(*begun), *last});
    return true;
  });
  return found;
}

}  // namespace marblewharf::transaction
