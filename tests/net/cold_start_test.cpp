// Tests of many real processes that start at the same time: how many requests they run in total during the
// cold start, and how soon they serve.
#include <array>
#include <cmath>
#include <map>
#include <memory>

#include "console_client.hpp"
#include "harness.hpp"

using namespace harness;

namespace {

constexpr std::size_t process_count = 24;

// The cold start as the configuration of the harness sets it.
constexpr double cores = 4, overload_factor = 5, start_capacity = 0.21, cold_s = 18;

// How many requests a process of that age can run on its cores without overload.
double sustainable_runs(std::chrono::duration<double> age) {
  const double speed = std::min(1.0, start_capacity + (1 - start_capacity) * age.count() / cold_s);
  return (1 + (overload_factor - 1) * speed) * cores;
}

// One price node and its runtime stub, which starts cold together with the node and records its runs.
class cold_process {
 public:
  cold_process() { start(); }

  void start() {
    options_.listen_port = port_;
    options_.console_port = console_port_;
    process_ = std::make_unique<node>(runtime_, options_);
    running_.clear();
  }
  void kill() {
    process_.reset();  // SIGKILL
    runtime_.link.close();
  }
  void runtime_up() {
    ready_at_ = clock::now();  // before `ready` is sent: the node is not older than this
    runtime_.up("starting", 0);
  }
  bool is_ready() { return call(console_port_, "ready\n") == "200 yes\n"; }

  void send(int first_seqid, int count) {
    if (!client_) client_ = std::make_unique<connection>(connection::to(port_));
    for (int seqid = first_seqid; seqid < first_seqid + count; ++seqid)
      client_->send(execute(seqid, usual(seqid), "a"));
  }
  void expect_served() { CHECK(read_reply(*client_).kind == "served"); }

  // Handles one command that has arrived, and checks the limit of runs; returns false where none has arrived.
  bool handle_command() {
    if (!runtime_.link.readable(0)) return false;
    const std::string line = runtime_.link.line();
    if (!runtime_.answer_gauges(line) && harness::member(line, "msg") == "start") {
      running_.push_back(harness::member(line, "call"));
      ++started_;
      CHECK(static_cast<double>(running_.size()) <= allowed_runs());
    }
    return true;
  }
  void end_oldest_run() {
    runtime_.end(running_.front(), "fine", "YQ==");
    running_.erase(running_.begin());
  }

  double allowed_runs() const { return sustainable_runs(clock::now() - ready_at_); }
  std::size_t running() const { return running_.size(); }
  std::size_t started() const { return started_; }

 private:
  runtime runtime_;
  int port_ = free_port();
  int console_port_ = free_port();
  node_options options_;
  std::unique_ptr<node> process_;
  std::unique_ptr<connection> client_;
  clock::time_point ready_at_;
  std::vector<std::string> running_;
  std::size_t started_ = 0;
};

using process_group = std::array<cold_process, process_count>;

void handle_commands(process_group& group) {
  bool any_handled = true;
  while (any_handled) {
    any_handled = false;
    for (cold_process& process : group) any_handled = process.handle_command() || any_handled;
  }
}

// Checks the number of runs of all processes against the sum of their limits. The 2 sqrt(N) + 2 that the rule
// adds for random variation is not added, because nothing here is random. Returns the share of the allowed
// sum that is in use.
double check_total_runs(const process_group& group) {
  double running = 0, allowed = 0;
  for (const cold_process& process : group) {
    running += static_cast<double>(process.running());
    allowed += process.allowed_runs();
  }
  CHECK(running <= allowed);
  return running / allowed;
}

// Every process receives far more requests at once than a cold process can run. At first no run ends; then
// every started run ends, so that waiting requests replace it. Guards against a slow start that admits more
// runs than the limits of all processes allow in total.
void slow_start_limits_total_runs() {
  process_group group;
  for (cold_process& process : group) process.runtime_up();
  constexpr int requests_per_process = 32;
  for (cold_process& process : group) process.send(1, requests_per_process);
  double highest_share = 0;
  // 2 s are longer than the interval over which the node averages its number of runs.
  const auto until = clock::now() + 2s;
  while (clock::now() < until) {
    handle_commands(group);
    highest_share = std::max(highest_share, check_total_runs(group));
    std::this_thread::sleep_for(5ms);
  }
  for (const cold_process& process : group) CHECK(process.running() >= 1);
  std::size_t started = 0;
  const auto churn_until = clock::now() + 2s;
  while (clock::now() < churn_until) {
    for (cold_process& process : group)
      if (process.running() > 0) process.end_oldest_run();
    handle_commands(group);
    highest_share = std::max(highest_share, check_total_runs(group));
    std::this_thread::sleep_for(5ms);
  }
  for (const cold_process& process : group) started += process.started();
  std::printf(
      "%zu cold processes: at most %.2f of the allowed total ran at the same time, %zu runs started\n",
      process_count, highest_share, started);
}

// All processes are killed at the same time and restart on their addresses: nine in ten must be ready within
// 10 s, and each process that reports ready must serve.
void simultaneous_restart() {
  process_group group;
  for (cold_process& process : group) process.runtime_up();
  for (cold_process& process : group) process.kill();
  const auto begun = clock::now();
  for (cold_process& process : group) process.start();
  for (cold_process& process : group) process.runtime_up();
  std::size_t in_time = 0;
  auto slowest = clock::duration::zero();
  for (cold_process& process : group) {
    while (!process.is_ready()) CHECK(clock::now() - begun < 60s);
    slowest = std::max(slowest, clock::now() - begun);
    if (clock::now() - begun < 10s) ++in_time;
  }
  std::printf("%zu of %zu ready within 10 s, the last after %.2f s\n", in_time, process_count,
              std::chrono::duration<double>(slowest).count());
  CHECK(in_time * 10 >= process_count * 9);
  for (cold_process& process : group) {
    process.send(1, 1);
    while (process.running() == 0) process.handle_command();
    process.end_oldest_run();
    process.expect_served();
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"slow_start", slow_start_limits_total_runs},
      {"restart", simultaneous_restart},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
