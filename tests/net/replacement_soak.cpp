// Sends repeats of keyed writes from several callers while the processes of a node replace one another: each
// is told to leave, killed or suspended at random moments, the runtime's cores stand still and its links
// break. Guards against a key that runs twice and against two different results of one key.
//
//   marblewharf_replacement_soak SECONDS SEED
#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../peers/faulty_runtime.hpp"
#include "console_client.hpp"
#include "harness.hpp"
#include "keyed_writes.hpp"
#include "shared_folder.hpp"

using namespace harness;

namespace {

constexpr int window_ms = 60000;
constexpr int write_aim_ms = 400;
constexpr std::size_t callers = 3;
constexpr auto time_to_leave = 4s;  // from SIGTERM to SIGKILL

int between(std::mt19937_64& random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

// What the callers have heard.
class answers {
 public:
  void record(const std::string& key, const reply& answer) {
    const std::lock_guard lock(guard_);
    ++kinds_[answer.kind];
    if (answer.kind == "served") results_[key].insert(result(answer));
  }
  std::map<std::string, int> kinds() const {
    const std::lock_guard lock(guard_);
    return kinds_;
  }
  std::map<std::string, std::set<std::string>> results() const {
    const std::lock_guard lock(guard_);
    return results_;
  }

 private:
  mutable std::mutex guard_;
  std::map<std::string, int> kinds_;
  std::map<std::string, std::set<std::string>> results_;
};

// Sends attempts of new and recent keys, each on a connection of its own, and often leaves before the answer.
class caller {
 public:
  caller(int port, std::size_t number, std::uint64_t seed, answers& heard)
      : port_(port), number_(number), random_(seed), heard_(heard), thread_([this] { call(); }) {}
  ~caller() {
    stopping_ = true;
    thread_.join();
  }

 private:
  void call() {
    std::vector<std::string> keys;
    while (!stopping_) {
      constexpr std::size_t recent_keys = 8;
      if (keys.empty() || between(random_, 0, 2) == 0)
        keys.push_back("k" + std::to_string(number_) + "-" + std::to_string(keys.size()));
      const std::size_t oldest = keys.size() > recent_keys ? keys.size() - recent_keys : 0;
      const int chosen = between(random_, static_cast<int>(oldest), static_cast<int>(keys.size()) - 1);
      attempt(keys[static_cast<std::size_t>(chosen)]);
      std::this_thread::sleep_for(std::chrono::milliseconds(between(random_, 0, 10)));
    }
  }
  void attempt(const std::string& key) {
    constexpr int attempts_per_caller = 1 << 24;  // labels are unique
    fields f = usual(static_cast<int>(number_) * attempts_per_caller + ++attempts_, "kurs-meldung");
    f.emplace_back("unique", key);
    peers::frail connection(port_);
    connection.send(execute(1, f, key));
    const auto until = clock::now() + std::chrono::milliseconds(between(random_, 5, 1500));
    std::string in;
    while (clock::now() < until && !stopping_) {
      if (!connection.more(in, 5) && !connection.good()) return;
      for (reply answer; take_reply(in, answer);) {
        if (answer.kind == "closing") continue;
        heard_.record(key, answer);
        return;
      }
    }
  }

  const int port_;
  const std::size_t number_;
  std::mt19937_64 random_;
  answers& heard_;
  int attempts_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// A process of the node with its own runtime.
struct node_process {
  node_process(peers::run_counts& counts, std::uint64_t seed, const shared_folder& folder, int port)
      : runtime(counts, seed) {
    node_options options = keyed_writes(window_ms);
    options.tmpdir = folder.path;
    options.listen_port = port;
    options.console_port = free_port();
    options.write_aim_ms = write_aim_ms;
    process = std::make_unique<node>(runtime.at, options);
    wait_ready(options.console_port);
  }
  peers::faulty_runtime runtime;
  std::unique_ptr<node> process;
  clock::time_point leaves_by{};
};

class soak {
 public:
  explicit soak(std::uint64_t seed) : random_(seed) {
    serving_.push_back(std::make_unique<node_process>(counts_, random_(), folder_, port_));
  }

  void play(std::chrono::seconds length) {
    std::list<caller> calling;
    for (std::size_t number = 0; number < callers; ++number)
      calling.emplace_back(port_, number, random_(), heard_);
    for (const auto until = clock::now() + length; clock::now() < until;) {
      pass(50, 400);
      disturb(
          *serving_[static_cast<std::size_t>(between(random_, 0, static_cast<int>(serving_.size()) - 1))]);
      pass(0, 200);
      replace();
      std::erase_if(leaving_, [](const auto& each) { return clock::now() >= each->leaves_by; });
    }
  }

  // Returns whether the rules held; prints what was seen.
  bool report() const {
    std::size_t runs = 0, repeated_runs = 0, repeated_results = 0;
    for (const auto& [key, count] : counts_.begun()) {
      ++runs;
      if (count <= 1) continue;
      ++repeated_runs;
      std::printf("%s ran %d times\n", key.c_str(), count);
    }
    for (const auto& [key, results] : heard_.results()) repeated_results += results.size() > 1;
    std::printf("%d replacements, %zu keys ran, %zu of them again, %zu keys with two results; answers:",
                replacements_, runs, repeated_runs, repeated_results);
    for (const auto& [kind, count] : heard_.kinds()) std::printf(" %s %d", kind.c_str(), count);
    std::printf("\n");
    constexpr std::size_t fewest_runs = 20;  // else the soak shows nothing
    return repeated_runs == 0 && repeated_results == 0 && runs >= fewest_runs;
  }

 private:
  void pass(int low_ms, int high_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(between(random_, low_ms, high_ms)));
  }
  void disturb(node_process& target) {
    switch (between(random_, 0, 3)) {
      case 0: target.runtime.break_link = true; break;
      case 1:
        target.runtime.still = true;
        target.runtime.break_link = true;
        pass(100, 1500);
        target.runtime.still = false;
        break;
      case 2:
        target.process->signal(SIGSTOP);
        pass(20, 400);
        target.process->signal(SIGCONT);
        break;
      default: break;
    }
  }
  // Starts a process beside the others, then ends the oldest one, in half of the cases.
  void replace() {
    constexpr std::size_t most_serving = 3;
    if (serving_.size() < most_serving) {
      serving_.push_back(std::make_unique<node_process>(counts_, random_(), folder_, port_));
      ++replacements_;
    }
    if (serving_.size() > 1 && between(random_, 0, 1) == 0) end_oldest();
  }
  void end_oldest() {
    std::unique_ptr<node_process> oldest = std::move(serving_.front());
    serving_.erase(serving_.begin());
    const int way = between(random_, 0, 3);
    if (way == 0) return;  // SIGKILL by the destructor
    oldest->process->signal(SIGTERM);
    if (way == 1) {
      pass(0, 50);
      oldest->process->signal(SIGSTOP);
    }
    oldest->leaves_by = clock::now() + time_to_leave;
    leaving_.push_back(std::move(oldest));
  }

  std::mt19937_64 random_;
  const shared_folder folder_;
  const int port_ = free_port();
  peers::run_counts counts_;
  answers heard_;
  std::vector<std::unique_ptr<node_process>> serving_;
  std::vector<std::unique_ptr<node_process>> leaving_;
  int replacements_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CHECK(argc == 3);
  const std::chrono::seconds length(std::stoi(argv[1]));
  soak played(std::stoull(argv[2]));
  played.play(length);
  return played.report() ? 0 : 1;
}
