// Tests stores of tables across processes on the real file system: a writer is killed at random times, a
// second process tries to open the folder, and the commands `marblewharf store` inspect it (ctest -L store).
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <random>
#include <string>

#include "../check.hpp"
#include "store/tables.hpp"

using namespace marblewharf::store;

namespace {

constexpr std::int64_t now = 1'000'000'000;

tables_options options(const std::string& folder) {
  tables_options o;
  o.folder = folder;
  o.disk = {16 << 10, 16 * (16 << 10), 1.5};
  o.slice_bytes = 2 << 10;
  o.max_buffered_bytes = 2 << 10;
  return o;
}

std::string fresh_folder() {
  char name[] = "/tmp/marblewharf-tables-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  return name;
}

// Commits batches forever, and runs background work between them. Batch n stores the number n under one key
// in each of two tables. The number of each durable batch is written to the pipe `out`.
[[noreturn]] void write_forever(const std::string& folder, int out, unsigned seed) {
  posix_file_system fs;
  tables t(fs, options(folder), now);
  std::mt19937 random(seed);
  std::uint64_t n = 0;
  if (const auto last = t.get("left", "last", now)) n = std::stoull(*last);
  while (true) {
    ++n;
    batch changes;
    const std::string text = std::to_string(n);
    changes.put("left", "last", text);
    changes.put("right", "last", text);
    changes.put("left", "k" + std::to_string(n % 97), text + std::string(n % 300, 'x'));
    const durability mode = random() % 3 == 0 ? durability::lazily : durability::now;
    if (t.commit(changes, mode, now).accepted) {
      if (mode == durability::now) CHECK(::write(out, &n, sizeof n) == sizeof n);
    } else {
      --n;
    }
    t.clean_step(now);
    if (random() % 8 == 0) t.checkpoint_step(now);
  }
}

struct writer {
  writer(const std::string& folder, unsigned seed) {
    int ends[2];
    CHECK(::pipe(ends) == 0);
    pid = ::fork();
    if (pid == 0) {
      ::close(ends[0]);
      write_forever(folder, ends[1], seed);
    }
    ::close(ends[1]);
    in = ends[0];
  }
  // Returns the last batch that the writer reported as durable. Reads up to `max_reports` reports, or until
  // the process ends.
  std::uint64_t last_reported(int max_reports) {
    std::uint64_t n = 0, last = 0;
    for (int i = 0; i < max_reports && ::read(in, &n, sizeof n) == sizeof n; ++i) last = n;
    return last;
  }
  std::uint64_t kill() {
    ::kill(pid, SIGKILL);
    int status = 0;
    CHECK(::waitpid(pid, &status, 0) == pid && WIFSIGNALED(status));
    const std::uint64_t last = last_reported(1 << 30);
    ::close(in);
    return last;
  }
  pid_t pid = 0;
  int in = -1;
};

// The writer is killed repeatedly at random times, while cleaning and checkpoints run: after each restart,
// all batches reported as durable must be there, and batches must be atomic.
void durable_batches_survive_kills(int times, unsigned seed) {
  const std::string folder = fresh_folder();
  std::mt19937 random(seed);
  std::uint64_t last = 0;
  for (int i = 0; i < times; ++i) {
    writer w(folder, static_cast<unsigned>(random()));
    std::uint64_t reported = w.last_reported(static_cast<int>(20 + random() % 400));
    reported = std::max(reported, w.kill());
    posix_file_system fs;
    const store_content read = inspect_tables(fs, folder, now);  // also compares the checkpoint with the log
    tables t(fs, options(folder), now);
    const auto left = t.get("left", "last", now), right = t.get("right", "last", now);
    CHECK(left && left == right);
    CHECK(std::stoull(*left) >= std::max(reported, last));
    last = std::stoull(*left);
    for (std::uint64_t n = last > 97 ? last - 96 : 1; n <= last; ++n)
      CHECK(t.get("left", "k" + std::to_string(n % 97), now) ==
            std::to_string(n) + std::string(n % 300, 'x'));
    CHECK(read.log.segments <= 16);
  }
  std::printf("%d kills, %llu batches\n", times, static_cast<unsigned long long>(last));
  CHECK(last > 1000);
  std::filesystem::remove_all(folder);
}

// Only one process may open a folder, even while the process that has locked it is paused. The paused process
// continues unharmed when it is resumed.
void second_process_is_refused(unsigned seed) {
  const std::string folder = fresh_folder();
  writer w(folder, seed);
  CHECK(w.last_reported(50) > 0);
  ::kill(w.pid, SIGSTOP);
  posix_file_system fs;
  const auto refused = [&](const auto& open_store) {
    try {
      open_store();
    } catch (const folder_locked&) {
      return true;
    }
    return false;
  };
  CHECK(refused([&] { tables t(fs, options(folder), now); }));
  CHECK(refused([&] { inspect_tables(fs, folder, now); }));
  ::kill(w.pid, SIGCONT);
  const std::uint64_t reported = w.last_reported(200), durable = std::max(reported, w.kill());
  CHECK(reported > 0);
  tables t(fs, options(folder), now);
  CHECK(std::stoull(*t.get("left", "last", now)) >= durable);
  std::filesystem::remove_all(folder);
}

std::pair<std::string, int> command(const std::string& arguments) {
  std::FILE* p = ::popen((std::string(MARBLEWHARF) + " store " + arguments + " 2>/dev/null").c_str(), "r");
  CHECK(p != nullptr);
  std::string out;
  char some[512];
  for (std::size_t n; (n = std::fread(some, 1, sizeof some, p)) > 0;) out.append(some, n);
  const int status = ::pclose(p);
  return {out, WEXITSTATUS(status)};
}

void commands(unsigned seed) {
  const std::string folder = fresh_folder(), s = folder + "/store";
  {
    writer w(s, seed);
    CHECK(w.last_reported(300) > 0);
    CHECK(command("stat " + s).second == 1);  // the folder is locked
    w.kill();
  }
  const std::string sizes = " --segment 16384 --space 262144";
  CHECK(command("verify " + s).second == 0);
  const auto before = command("dump " + s);
  CHECK(before.second == 0 && before.first.find("table=right key=last expiry=0 value=") != std::string::npos);
  CHECK(command("dump " + s + " --table right").first.find("table=left") == std::string::npos);
  CHECK(command("compact " + s + sizes + " --amplification 1.2").second == 0);
  CHECK(command("dump " + s).first == before.first);
  CHECK(command("stat " + s).first.find("checkpoint=whole") != std::string::npos);
  CHECK(command("backup " + s + " " + folder + "/b" + sizes).second == 0);
  CHECK(command("restore " + folder + "/b " + folder + "/r").second == 0);
  CHECK(command("dump " + folder + "/r").first == before.first);
  CHECK(command("restore " + folder + "/b " + folder + "/r").second == 1);
  CHECK(command("stat " + folder + "/nothing").second == 1 && !std::filesystem::exists(folder + "/nothing"));
  // `verify` finds a damaged value.
  for (const auto& f : std::filesystem::directory_iterator(folder + "/r")) {
    if (f.path().extension() != ".seg" || f.file_size() < 400) continue;
    std::FILE* file = std::fopen(f.path().c_str(), "r+");
    std::fseek(file, 300, SEEK_SET);
    std::fputc(std::fgetc(file) ^ 1, file);
    std::fseek(file, 300, SEEK_SET);
    std::fputc('!', file);
    std::fclose(file);
    break;
  }
  CHECK(command("verify " + folder + "/r").second == 1);
  std::filesystem::remove_all(folder);
}

}  // namespace

// Arguments: kills [TIMES] [SEED] | second_process | commands
int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  const unsigned seed = argc > 3 ? static_cast<unsigned>(std::stoul(argv[3])) : 1;
  std::printf("seed %u\n", seed);
  std::fflush(stdout);
  if (name == "kills")
    durable_batches_survive_kills(argc > 2 ? std::stoi(argv[2]) : 25, seed);
  else if (name == "second_process")
    second_process_is_refused(seed);
  else if (name == "commands")
    commands(seed);
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
