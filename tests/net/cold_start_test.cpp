// Many real processes that start together: what all of them run while they are cold, and how soon they serve.
#include <array>
#include <cmath>
#include <map>
#include <memory>

#include "console_client.hpp"
#include "harness.hpp"

using namespace harness;

namespace {

constexpr std::size_t processes = 24;

// The cold start as the harness's settings name it.
constexpr double cores = 4, overload_factor = 5, start_capacity = 0.21, cold_s = 18;

// The requests on the cores that a process survives so long after its start.
double survivable(std::chrono::duration<double> age) {
  const double speed = std::min(1.0, start_capacity + (1 - start_capacity) * age.count() / cold_s);
  return (1 + (overload_factor - 1) * speed) * cores;
}

// One price node with its runtime, which starts cold with it and keeps count of what runs on its cores.
class member {
 public:
  member() { start(); }

  void start() {
    options_.listen_port = port_;
    options_.console_port = console_;
    process_ = std::make_unique<node>(runtime_, options_);
    running_.clear();
  }
  void kill() {
    process_.reset();  // SIGKILL
    runtime_.link.close();
  }
  void runtime_up() {
    up_at_ = clock::now();  // before it says so: the process cannot be older
    runtime_.up("starting", 0);
  }
  bool is_ready() { return call(console_, "ready\n") == "200 yes\n"; }

  void send(int first, int count) {
    if (!client_) client_ = std::make_unique<connection>(connection::to(port_));
    for (int i = first; i < first + count; ++i) client_->send(execute(i, usual(i), "a"));
  }
  void expect_served() { CHECK(read_reply(*client_).kind == "served"); }

  // Takes one command that has come; false: none has.
  bool take_command() {
    if (!runtime_.link.readable(0)) return false;
    const std::string line = runtime_.link.line();
    if (!runtime_.answer_gauges(line) && harness::member(line, "msg") == "start") {
      running_.push_back(harness::member(line, "call"));
      ++started_;
      CHECK(static_cast<double>(running_.size()) <= allowed());
    }
    return true;
  }
  void end_oldest_run() {
    runtime_.end(running_.front(), "fine", "YQ==");
    running_.erase(running_.begin());
  }

  double allowed() const { return survivable(clock::now() - up_at_); }
  std::size_t running() const { return running_.size(); }
  std::size_t started() const { return started_; }

 private:
  runtime runtime_;
  int port_ = free_port();
  int console_ = free_port();
  node_options options_;
  std::unique_ptr<node> process_;
  std::unique_ptr<connection> client_;
  clock::time_point up_at_;
  std::vector<std::string> running_;
  std::size_t started_ = 0;
};

using fleet = std::array<member, processes>;

void take_commands(fleet& all) {
  bool any = true;
  while (any) {
    any = false;
    for (member& m : all) any = m.take_command() || any;
  }
}

// The sum of what all run, against the sum of what the settings allow them: without the 2 sqrt(N) + 2 that
// the rule puts down to chance, as no part of it is chance here. Returns the highest share of the allowed
// sum.
double check_sum(const fleet& all) {
  double running = 0, allowed = 0;
  for (const member& m : all) {
    running += static_cast<double>(m.running());
    allowed += m.allowed();
  }
  CHECK(running <= allowed);
  return running / allowed;
}

// Far more is asked of every process at once than a cold one survives; first no run ends, then each does that
// was started, so that others take its place.
void the_ramp_holds_for_the_sum() {
  fleet all;
  for (member& m : all) m.runtime_up();
  constexpr int asked = 32;
  for (member& m : all) m.send(1, asked);
  double most = 0;
  const auto until = clock::now() + 2s;  // more than the span over which the crowd is averaged
  while (clock::now() < until) {
    take_commands(all);
    most = std::max(most, check_sum(all));
    std::this_thread::sleep_for(5ms);
  }
  for (const member& m : all) CHECK(m.running() >= 1);
  std::size_t started = 0;
  const auto churn_until = clock::now() + 2s;
  while (clock::now() < churn_until) {
    for (member& m : all)
      if (m.running() > 0) m.end_oldest_run();
    take_commands(all);
    most = std::max(most, check_sum(all));
    std::this_thread::sleep_for(5ms);
  }
  for (const member& m : all) started += m.started();
  std::printf("%zu cold processes: at the most %.2f of the allowed sum ran at once, %zu runs begun\n",
              processes, most, started);
}

// All are killed in one moment and start again under their addresses: nine in ten are ready within 10 s, and
// each that says so serves.
void all_restart_together() {
  fleet all;
  for (member& m : all) m.runtime_up();
  for (member& m : all) m.kill();
  const auto begun = clock::now();
  for (member& m : all) m.start();
  for (member& m : all) m.runtime_up();
  std::size_t in_time = 0;
  auto slowest = clock::duration::zero();
  for (member& m : all) {
    while (!m.is_ready()) CHECK(clock::now() - begun < 60s);
    slowest = std::max(slowest, clock::now() - begun);
    if (clock::now() - begun < 10s) ++in_time;
  }
  std::printf("%zu of %zu ready within 10 s, the last after %.2f s\n", in_time, processes,
              std::chrono::duration<double>(slowest).count());
  CHECK(in_time * 10 >= processes * 9);
  for (member& m : all) {
    m.send(1, 1);
    while (m.running() == 0) m.take_command();
    m.end_oldest_run();
    m.expect_served();
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"ramp", the_ramp_holds_for_the_sum},
      {"restart", all_restart_together},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
