// Stores of tables in processes of their own on the real file system: killed while they write, met by a
// second process, and looked into by the program's commands (ctest -L store).
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

// Batch n: the same number under two keys of two tables; all else is background work. Each durable one is
// told on `out`.
[[noreturn]] void write_for_ever(const std::string& folder, int out, unsigned seed) {
  posix_file_system fs;
  tables t(fs, options(folder), now);
  std::mt19937 random(seed);
  std::uint64_t n = 0;
  if (const auto last = t.get("left", "last", now)) n = std::stoull(*last);
  while (true) {
    ++n;
    batch b;
    const std::string text = std::to_string(n);
    b.put("left", "last", text);
    b.put("right", "last", text);
    b.put("left", "k" + std::to_string(n % 97), text + std::string(n % 300, 'x'));
    const durability how = random() % 3 == 0 ? durability::lazily : durability::now;
    if (t.commit(b, how, now).may) {
      if (how == durability::now) CHECK(::write(out, &n, sizeof n) == sizeof n);
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
      write_for_ever(folder, ends[1], seed);
    }
    ::close(ends[1]);
    in = ends[0];
  }
  // The last batch that it said was durable; ends with the process, or after so many.
  std::uint64_t heard(int most) {
    std::uint64_t n = 0, last = 0;
    for (int i = 0; i < most && ::read(in, &n, sizeof n) == sizeof n; ++i) last = n;
    return last;
  }
  std::uint64_t kill() {
    ::kill(pid, SIGKILL);
    int status = 0;
    CHECK(::waitpid(pid, &status, 0) == pid && WIFSIGNALED(status));
    const std::uint64_t last = heard(1 << 30);
    ::close(in);
    return last;
  }
  pid_t pid = 0;
  int in = -1;
};

// Killed again and again at any moment: what was told is there, batches are whole, cleaning went round
// meanwhile.
void kills(int times, unsigned seed) {
  const std::string folder = fresh_folder();
  std::mt19937 random(seed);
  std::uint64_t last = 0;
  for (int i = 0; i < times; ++i) {
    writer w(folder, static_cast<unsigned>(random()));
    std::uint64_t told = w.heard(static_cast<int>(20 + random() % 400));
    told = std::max(told, w.kill());
    posix_file_system fs;
    const inspected read = inspect_tables(fs, folder, now);  // the checkpoint is held against the log as well
    tables t(fs, options(folder), now);
    const auto left = t.get("left", "last", now), right = t.get("right", "last", now);
    CHECK(left && left == right);
    CHECK(std::stoull(*left) >= std::max(told, last));
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

// One process at a time, killed or paused holders included; a paused one goes on as if nothing had been.
void one_at_a_time(unsigned seed) {
  const std::string folder = fresh_folder();
  writer w(folder, seed);
  CHECK(w.heard(50) > 0);
  ::kill(w.pid, SIGSTOP);
  posix_file_system fs;
  const auto refused = [&](const auto& what) {
    try {
      what();
    } catch (const held&) {
      return true;
    }
    return false;
  };
  CHECK(refused([&] { tables t(fs, options(folder), now); }));
  CHECK(refused([&] { inspect_tables(fs, folder, now); }));
  ::kill(w.pid, SIGCONT);
  const std::uint64_t heard = w.heard(200), more = std::max(heard, w.kill());
  CHECK(heard > 0);
  tables t(fs, options(folder), now);
  CHECK(std::stoull(*t.get("left", "last", now)) >= more);
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
    CHECK(w.heard(300) > 0);
    CHECK(command("stat " + s).second == 1);  // a process has it
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
  // A damaged value is found, and named.
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

// kills [TIMES] [SEED] | one | commands
int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  const unsigned seed = argc > 3 ? static_cast<unsigned>(std::stoul(argv[3])) : 1;
  std::printf("seed %u\n", seed);
  std::fflush(stdout);
  if (name == "kills")
    kills(argc > 2 ? std::stoi(argv[2]) : 25, seed);
  else if (name == "one")
    one_at_a_time(seed);
  else if (name == "commands")
    commands(seed);
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
