// Tests of the log that several processes share: torn and foreign files, bounds, locks and dead members. Two
// logs in this process behave as two processes, because flock() locks belong to open files.
#include "store/shared_log.hpp"

#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "../check.hpp"

using namespace marblewharf;
using store::shared_log;

namespace {

constexpr std::int64_t now = 1000;
constexpr std::int64_t lifetime = 100;

struct folder {
  folder() {
    char name[] = "/tmp/marblewharf-shared-log-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    path = name;
  }
  ~folder() { std::filesystem::remove_all(path); }
  std::string segment(int number) const { return path + "/" + std::to_string(number) + ".shared"; }
  std::string path;
};

store::shared_log_options options_of(const folder& at, store::log_member member) {
  return {.folder = at.path,
          .max_bytes = 4096,
          .segment_bytes = 512,
          .max_lifetime = lifetime,
          .member = member,
          .salt = 100 + member};
}

bool append(shared_log& log, const std::string& body, std::int64_t expiry = now + lifetime,
            std::int64_t at = now) {
  const auto lock = log.try_lock(at);
  CHECK(lock);
  log.read_new(at);
  return log.append(*lock, {{expiry, body}});
}

std::string bodies(shared_log& log, std::int64_t at = now) {
  std::string joined;
  for (const auto& record : log.read_new(at)) joined += record.body + ";";
  return joined;
}

std::string read_file(const std::string& path) {
  return (std::ostringstream() << std::ifstream(path).rdbuf()).str();
}

// Guards against records that one process misses: each reads what the others append, from the start of the
// log, and not its own.
void members_read_each_other() {
  const folder at;
  shared_log first(options_of(at, 1), now);
  CHECK(append(first, "a") && append(first, "b"));
  shared_log second(options_of(at, 2), now);
  CHECK(second.salt() == first.salt());
  CHECK(bodies(second) == "a;b;" && bodies(second).empty());
  CHECK(append(second, "c") && append(first, "d"));
  CHECK(bodies(first) == "" && bodies(second) == "d;");  // append() has read "c"
  shared_log third(options_of(at, 3), now);
  const auto records = third.read_new(now);
  CHECK(records.size() == 4 && third.read(records[2].body_at) == "c" && records[2].writer == 2);
}

// Guards against harm by a writer that is killed in the middle of an append: at every byte position the log
// ends with the last complete record, and the next append follows it.
void torn_end_is_removed() {
  std::string whole;
  std::size_t complete = 0;
  {
    const folder at;
    shared_log log(options_of(at, 1), now);
    CHECK(append(log, "first"));
    complete = read_file(at.segment(1)).size();
    CHECK(append(log, "second"));
    whole = read_file(at.segment(1));
  }
  for (std::size_t size = complete; size < whole.size(); ++size) {
    const folder at;
    std::ofstream(at.segment(1)) << whole.substr(0, size);
    shared_log log(options_of(at, 2), now);
    CHECK(bodies(log) == "first;");
    CHECK(append(log, "third"));
    shared_log reader(options_of(at, 3), now);
    CHECK(bodies(reader) == "first;third;");
  }
}

// Guards against a reader that takes a damaged record for a record, whichever byte of it is damaged.
void damaged_records_are_ignored() {
  std::string whole;
  {
    const folder at;
    shared_log log(options_of(at, 1), now);
    CHECK(append(log, "first"));
    whole = read_file(at.segment(1));
  }
  for (std::size_t byte = store::shared_format::header_bytes; byte < whole.size(); ++byte) {
    const folder at;
    std::string damaged = whole;
    damaged[byte] = static_cast<char>(damaged[byte] ^ 0x20);
    std::ofstream(at.segment(1)) << damaged;
    shared_log log(options_of(at, 2), now);
    CHECK(bodies(log).empty());
  }
}

// Guards against harm by files of other programs and of an earlier log, and against following a link.
void foreign_files_are_ignored() {
  const folder at;
  std::ofstream(at.segment(5)) << "foreign";
  std::ofstream(at.path + "/x.shared") << "foreign";
  CHECK(::symlink("/dev/null", at.segment(6).c_str()) == 0);
  std::ofstream(at.segment(2)) << store::shared_format::encode_header({2, 1}) << "garbage";
  std::ofstream(at.segment(3)) << store::shared_format::encode_header({3, 7});
  shared_log log(options_of(at, 2), now);
  CHECK(log.salt() == 7 && bodies(log).empty());
  CHECK(append(log, "a"));
  shared_log reader(options_of(at, 3), now);
  CHECK(bodies(reader) == "a;");
  CHECK(read_file(at.segment(5)) == "foreign");
  bool rejected = false;
  try {
    folder file;
    std::ofstream(file.path + "/plain") << "x";
    file.path += "/plain";
    const shared_log unusable(options_of(file, 4), now);
  } catch (const store::folder_unusable&) {
    rejected = true;
  }
  CHECK(rejected);
}

// Guards against unbounded space: a full log takes no records until its segments have expired.
void space_is_bounded() {
  const folder at;
  shared_log log(options_of(at, 1), now);
  shared_log reader(options_of(at, 2), now);
  const std::string body(100, 'x');
  int appended = 0;
  while (append(log, body)) CHECK(++appended < 100);
  CHECK(appended > 20 && log.free_bytes() < 200);
  std::uintmax_t bytes = 0;
  for (const auto& entry : std::filesystem::directory_iterator(at.path)) bytes += entry.file_size();
  CHECK(bytes <= 4096);
  CHECK(bodies(reader).size() == appended * (body.size() + 1));
  {
    const auto lock = log.try_lock(now);
    log.remove_expired(*lock, now + lifetime - 1);  // not yet
  }
  CHECK(!append(log, body));
  {
    const auto lock = log.try_lock(now);
    log.remove_expired(*lock, now + lifetime);
  }
  CHECK(append(log, "again", now + 2 * lifetime));
  CHECK(bodies(reader) == "again;");
}

// Guards against a process that waits for another one: the lock is only tried. Guards against a lock that
// outlives its owner.
void lock_is_never_waited_for() {
  const folder at;
  shared_log first(options_of(at, 1), now), second(options_of(at, 2), now);
  {
    const auto held = first.try_lock(now);
    CHECK(held && !second.try_lock(now));
    bool busy = false;
    try {
      const shared_log third(options_of(at, 3), now);
    } catch (const store::folder_locked&) {
      busy = true;
    }
    CHECK(busy);
  }
  CHECK(second.try_lock(now));
}

// Guards against an ended process that is taken for a living one, and the reverse.
void members_are_alive_until_they_end() {
  const folder at;
  shared_log first(options_of(at, 1), now);
  {
    const shared_log second(options_of(at, 2), now);
    CHECK(first.is_alive(2) && second.is_alive(1) && first.is_alive(1));
  }
  CHECK(!first.is_alive(2) && !first.is_alive(99));
  std::ofstream(at.path + "/0000000000000063.member") << "";  // left by a killed process
  CHECK(!first.is_alive(99));
  const shared_log third(options_of(at, 3), now);
  CHECK(!std::filesystem::exists(at.path + "/0000000000000063.member") && first.is_alive(3));
}

// Guards against a process that continues in a removed file: it was suspended while the others went on.
void suspended_member_continues_with_the_newest_segment() {
  const folder at;
  shared_log suspended(options_of(at, 1), now), active(options_of(at, 2), now);
  CHECK(append(suspended, "old"));
  const std::string body(600, 'x');
  for (int i = 0; i < 5; ++i) CHECK(append(active, body));
  const std::int64_t later = now + lifetime;
  {
    const auto lock = active.try_lock(later);
    active.remove_expired(*lock, later);
  }
  CHECK(append(active, "new", later + lifetime, later));
  CHECK(append(suspended, "newer", later + lifetime, later));
  CHECK(bodies(active, later) == "newer;");
  shared_log reader(options_of(at, 3), later);
  CHECK(bodies(reader, later).ends_with("new;newer;"));
}

// Guards against a member that appends to a segment that is no longer the last, because it cannot open the
// next one: nobody would read its record. Root may open any file, so a lack of descriptors is simulated.
void member_without_descriptors_appends_nothing() {
  const folder at;
  shared_log first(options_of(at, 1), now), second(options_of(at, 2), now);
  for (int i = 0; i < 3; ++i) CHECK(append(second, std::string(600, 'x')));
  // The sanitizer checks the type of an object that it does not know by means of a pipe.
  try {
    throw store::io_error("known to the sanitizer from here on");
  } catch (const store::io_error&) {
  }
  rlimit limit{};
  CHECK(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlimit none{0, limit.rlim_max};
  CHECK(::setrlimit(RLIMIT_NOFILE, &none) == 0);
  CHECK(!first.try_lock(now));
  CHECK(first.is_alive(2));
  bool may_join_later = false;
  try {
    const shared_log third(options_of(at, 3), now);
  } catch (const store::folder_unusable&) {
  } catch (const store::io_error&) {
    may_join_later = true;
  }
  CHECK(may_join_later);
  CHECK(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(append(first, "a") && bodies(second) == "a;");
}

// Guards against processes that no longer see or exclude each other because a cleaner of temporary files has
// removed the log's files.
void removed_files_are_replaced() {
  const folder at;
  shared_log first(options_of(at, 1), now), second(options_of(at, 2), now);
  CHECK(append(first, "old") && bodies(second) == "old;");
  std::filesystem::remove_all(at.path);
  CHECK(append(first, "a"));
  {
    const auto held = first.try_lock(now);
    CHECK(held && !second.try_lock(now));
  }
  CHECK(append(second, "b") && bodies(first) == "b;");
  CHECK(first.is_alive(2) && second.is_alive(1));
  shared_log third(options_of(at, 3), now);
  CHECK(bodies(third) == "a;b;" && third.salt() == first.salt());
}

// Guards against a large segment that is taken for torn because it is read in several pieces.
void large_segments_are_read_whole() {
  const folder at;
  store::shared_log_options options = options_of(at, 1);
  options.max_bytes = options.segment_bytes = 8 << 20;
  shared_log log(options, now);
  const std::string body(60000, 'x');
  for (int i = 0; i < 50; ++i) CHECK(append(log, body));
  options.member = 2;
  shared_log reader(options, now);
  CHECK(reader.read_new(now).size() == 50);
  CHECK(append(reader, "a") && bodies(log) == "a;");
}

// Guards against records that never expire because the clock was reset.
void lifetimes_are_bounded() {
  const folder at;
  shared_log first(options_of(at, 1), now);
  CHECK(append(first, "a", now + 1000 * lifetime));
  shared_log second(options_of(at, 2), now);
  CHECK(second.read_new(now).front().expiry == now + lifetime);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"members", members_read_each_other},
      {"torn", torn_end_is_removed},
      {"damaged", damaged_records_are_ignored},
      {"foreign", foreign_files_are_ignored},
      {"bounds", space_is_bounded},
      {"lock", lock_is_never_waited_for},
      {"alive", members_are_alive_until_they_end},
      {"suspended", suspended_member_continues_with_the_newest_segment},
      {"descriptors", member_without_descriptors_appends_nothing},
      {"removed", removed_files_are_replaced},
      {"large", large_segments_are_read_whole},
      {"lifetimes", lifetimes_are_bounded},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
