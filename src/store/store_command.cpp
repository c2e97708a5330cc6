#include "store/store_command.hpp"

#include <chrono>
#include <cinttypes>
#include <cstdio>

#include "store/bytes.hpp"
#include "store/tables.hpp"

namespace marblewharf::store {
namespace {

std::int64_t now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

tables_options options_of(const store_query& q) {
  tables_options o;
  o.folder = q.folder;
  o.disk = {q.segment, q.space, q.amplification};
  o.max_keys = SIZE_MAX;
  return o;
}

// Without this check, a mistyped folder name would create a new store.
void expect_store(file_system& fs, const std::string& folder) {
  for (const std::string& name : fs.list(folder))
    if (log::number_of(name)) return;
  throw io_error(folder + ": not a store of tables, it has no segments");
}

void print(const store_content& content) {
  std::printf("segments=%" PRIu64 " commits=%" PRIu64 " records=%" PRIu64 " torn_bytes=%" PRIu64 "\n",
              content.log.segments, content.log.frames, content.log.records, content.log.torn_bytes);
  if (content.legacy_records > 0) std::printf("older_records=%" PRIu64 "\n", content.legacy_records);
  for (const auto& [table, keys] : content.keys)
    std::printf("table=%s keys=%zu\n", printable(table).c_str(), keys);
  if (!content.checkpoint) {
    std::printf("checkpoint=none\n");
  } else if (!content.checkpoint->fault.empty()) {
    std::printf("checkpoint=damaged\n");
  } else {
    std::printf("checkpoint=whole entries=%" PRIu64 " from_segment=%" PRIu64 "\n",
                content.checkpoint->entries, content.checkpoint->replay_from.segment);
  }
}

}  // namespace

void show_store(const store_query& q) {
  posix_file_system fs;
  expect_store(fs, q.folder);
  print(inspect_tables(fs, q.folder, now()));
}

void verify_store(const store_query& q) {
  posix_file_system fs;
  expect_store(fs, q.folder);
  const store_content content =
      inspect_tables(fs, q.folder, now(), [](const auto&, const auto&, const auto&, std::int64_t) {});
  print(content);
  if (content.checkpoint && !content.checkpoint->fault.empty()) throw damaged(content.checkpoint->fault);
}

void dump_store(const store_query& q) {
  posix_file_system fs;
  expect_store(fs, q.folder);
  inspect_tables(
      fs, q.folder, now(),
      [&](const std::string& table, const std::string& key, const std::string& value, std::int64_t expiry) {
        if (!q.table.empty() && table != q.table) return;
        std::printf("table=%s key=%s expiry=%" PRId64 " value=%s\n", printable(table).c_str(),
                    printable(key).c_str(), expiry, printable(value).c_str());
      });
}

void compact_store(const store_query& q) {
  posix_file_system fs;
  expect_store(fs, q.folder);
  tables t(fs, options_of(q), now());
  const std::uint64_t used_before = t.show().disk.used_bytes;
  while (t.clean_step(now())) std::fprintf(stderr, "\r%" PRIu64 " bytes used", t.show().disk.used_bytes);
  while (t.checkpoint_step(now())) {
  }
  const tables::figures f = t.show();
  std::fprintf(stderr, "\n");
  std::printf("used_before=%" PRIu64 " used=%" PRIu64 " live=%" PRIu64 " copied=%" PRIu64 "\n", used_before,
              f.disk.used_bytes, f.disk.live_bytes, f.copied);
}

void backup_store(const store_query& q) {
  posix_file_system fs;
  expect_store(fs, q.folder);
  tables t(fs, options_of(q), now());
  t.begin_backup(q.target);
  std::uint64_t segments = 1;
  while (t.backup_step(now())) std::fprintf(stderr, "\r%" PRIu64 " segments", ++segments);
  std::fprintf(stderr, "\n");
  print(inspect_tables(fs, q.target, now()));
}

void restore_store(const store_query& q) {
  posix_file_system fs;
  restore_tables(fs, q.folder, q.target, now());
  print(inspect_tables(fs, q.target, now()));
}

}  // namespace marblewharf::store
