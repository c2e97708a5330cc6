// Keyed requests while one process replaces another, against the real program on loopback (ctest -L keyed).
// The results are kept in memory, as on the platform. The runtime's processes know nothing of each other's
// runs.
#include <sys/file.h>

#include <fstream>
#include <map>
#include <memory>
#include <string>

#include "console_client.hpp"
#include "harness.hpp"
#include "keyed_writes.hpp"
#include "shared_folder.hpp"

using namespace harness;

namespace {

constexpr int window_ms = 60000;

// A process of the node, with its own address of the runtime and its own console.
struct node_process {
  void start(const shared_folder& folder, int listen_port, int write_aim_ms = 20000) {
    node_options options = keyed_writes(window_ms);
    options.write_aim_ms = write_aim_ms;
    start(folder, listen_port, options);
  }
  void start(const shared_folder& folder, int listen_port, node_options options) {
    options.tmpdir = folder.path;
    options.listen_port = listen_port;
    options.console_port = console_port;
    process = std::make_unique<node>(at, options);
    at.up();
    wait_ready(console_port);
  }
  // Sends SIGTERM and waits until new connections reach only the successor.
  void leave() const {
    process->signal(SIGTERM);
    process->logged("a successor accepts new connections");
  }

  runtime at;
  int console_port = free_port();
  std::unique_ptr<node> process;
};

// The folder in which the processes of the node share their keys.
std::string keys_folder_of(const shared_folder& folder, int port) {
  return folder.path + "/marblewharf-n0-" + own_host() + "-" + std::to_string(port) + ".keys";
}

// A node whose first process was started.
struct replaced_node {
  explicit replaced_node(int write_aim_ms = 20000) { first.start(folder, port, write_aim_ms); }
  std::string keys_folder() const { return keys_folder_of(folder, port); }

  const shared_folder folder;
  const int port = free_port();
  node_process first, second;
};

// Closes the connection as a balancer does that was asked to.
void close_when_asked(connection& client) {
  CHECK(read_reply(client).kind == "closing");
  client.close();
}

void expect_served(connection& client, const std::string& expected) {
  const reply answer = read_reply(client);
  CHECK(answer.kind == "served" && result(answer) == expected);
}

void expect_outcome_unknown(connection& client) {
  const reply answer = read_reply(client);
  CHECK(answer.kind == "failed" && answer.rest.find("unknown") != std::string::npos);
}

// Runs an attempt of `key` in a process that it reaches through `client`.
void run_write(node_process& in, connection& client, const std::string& key, const std::string& blob) {
  client.send(keyed_attempt(1, key));
  in.at.end(in.at.expect("start"), "fine", blob);
  CHECK(read_reply(client).kind == "served");
}

// Whether the next command other than `gauges` that arrives at either runtime is one for `expected`.
bool starts_at(runtime& expected, runtime& other) {
  while (true) {
    for (runtime* each : {&expected, &other}) {
      if (!each->link.readable(10)) continue;
      const std::string line = each->link.line();
      if (each->answer_gauges(line)) continue;
      each->end(member(line, "call"), "fine", "YQ==");
      return each == &expected;
    }
  }
}

// Connects until the kernel chooses the listener of that process.
connection connect_to(node_process& wanted, node_process& other, int port) {
  for (int number = 1; number < 200; ++number) {
    connection client = connection::to(port);
    client.send(execute(1, usual(100000 + number), "a"));
    const bool reached = starts_at(wanted.at, other.at);
    CHECK(read_reply(client).kind == "served");
    if (reached) return client;
  }
  CHECK(!"no connection reached the process");
  return connection();
}

// Guards against a second run of a keyed write whose result only the replaced process knew. The successor's
// statistics count its own requests and runs only.
void successor_serves_the_result_of_its_predecessor() {
  replaced_node n;
  connection before = connection::to(n.port);
  run_write(n.first, before, "a", "YQ==");
  n.second.start(n.folder, n.port);
  n.second.process->logged("joined the log of shared keys: 1 keys of other processes");
  n.first.leave();
  close_when_asked(before);
  CHECK(n.first.process->wait() == 0);
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  expect_served(after, "a");
  expect_no_start(n.second.at);
  n.second.process->wait_for_counter("results_of_peers", 1);
  run_write(n.second, after, "b", "Yg==");
  const std::string statistics = call(n.second.console_port, "show-stat\n");
  CHECK(statistics.find("app.completed.kurs-meldung=2\n") != std::string::npos);
  CHECK(statistics.find("app.upstream_requests=1\n") != std::string::npos);
}

// Guards against a second run of a write that still runs in the process that is replaced: the repeat waits
// for that run and shares its result.
void repeat_waits_for_the_run_in_the_predecessor() {
  replaced_node n;
  connection before = connection::to(n.port);
  before.send(keyed_attempt(1, "a"));
  const std::string run = n.first.at.expect("start");
  n.second.start(n.folder, n.port);
  n.first.leave();
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  expect_no_start(n.second.at);
  n.first.at.end(run, "fine", "YQ==");
  CHECK(read_reply(before).kind == "closing");
  expect_served(before, "a");
  expect_served(after, "a");
}

// Guards against a process that ends while one of its keyed writes runs, because the caller has disconnected:
// the outcome of the run would be lost.
void replaced_process_waits_for_its_keyed_run() {
  replaced_node n;
  connection before = connection::to(n.port);
  before.send(keyed_attempt(1, "a"));
  const std::string run = n.first.at.expect("start");
  n.second.start(n.folder, n.port);
  before.close();
  n.first.process->wait_for_counter("gone", 1);
  n.first.leave();
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  expect_no_start(n.second.at);
  n.first.at.end(run, "fine", "YQ==");
  expect_served(after, "a");
  CHECK(n.first.process->wait() == 0);
}

// Guards against a run beside that of a process that was killed in the middle: its outcome stays unknown, and
// other keys are not affected.
void run_of_a_killed_predecessor_has_an_unknown_outcome() {
  replaced_node n;
  connection before = connection::to(n.port);
  before.send(keyed_attempt(1, "a"));
  n.first.at.expect("start");
  n.second.start(n.folder, n.port);
  n.first.process->signal(SIGKILL);
  CHECK(n.first.process->wait() == -1);
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  expect_outcome_unknown(after);
  expect_no_start(n.second.at);
  run_write(n.second, after, "b", "Yg==");
}

// Guards against a successor that trusts or waits for a suspended predecessor: the repeat is answered by its
// own deadline without a run, and other keys are served meanwhile.
void suspended_predecessor_blocks_only_its_own_keys() {
  constexpr int write_aim_ms = 1200;  // the other key's write must be in time beside other tests
  replaced_node n(write_aim_ms);
  connection before = connection::to(n.port);
  before.send(keyed_attempt(1, "a"));
  n.first.at.expect("start");
  n.second.start(n.folder, n.port, write_aim_ms);
  n.first.leave();
  n.first.process->signal(SIGSTOP);
  connection waiting = connection::to(n.port), other = connection::to(n.port);
  waiting.send(keyed_attempt(1, "a"));
  run_write(n.second, other, "b", "Yg==");
  while (!waiting.readable(0)) {
    if (n.second.at.link.readable(20)) CHECK(n.second.at.answer_gauges(n.second.at.link.line()));
  }
  expect_outcome_unknown(waiting);
  n.first.process->signal(SIGCONT);
}

// Guards against a second run in the process that is replaced: while both take clients, a repeat may reach
// either.
void predecessor_serves_the_result_of_its_successor() {
  replaced_node n;
  connection to_first = connection::to(n.port);
  run_write(n.first, to_first, "of-first", "YQ==");  // the first process has accepted the connection
  n.second.start(n.folder, n.port);
  connection to_second = connect_to(n.second, n.first, n.port);
  run_write(n.second, to_second, "a", "YQ==");
  to_first.send(keyed_attempt(2, "a"));
  expect_served(to_first, "a");
  expect_no_start(n.first.at);
}

// Guards against keys that are handed over only once: a replacement may follow a replacement.
void key_outlasts_two_replacements() {
  replaced_node n;
  connection before = connection::to(n.port);
  run_write(n.first, before, "a", "YQ==");
  n.second.start(n.folder, n.port);
  n.first.leave();
  close_when_asked(before);
  CHECK(n.first.process->wait() == 0);
  node_process third;
  third.start(n.folder, n.port);
  n.second.leave();
  CHECK(n.second.process->wait() == 0);
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  expect_served(after, "a");
  expect_no_start(third.at);
}

// Guards against keyed writes that run without the keys of another process, which is suspended while it holds
// the log's lock: they are refused, other requests are served, and writes run once the lock is free.
void locked_log_refuses_keyed_writes() {
  replaced_node n;
  connection before = connection::to(n.port);
  run_write(n.first, before, "a", "YQ==");
  const int lock = ::open((n.keys_folder() + "/lock").c_str(), O_RDWR | O_CLOEXEC);
  CHECK(lock >= 0 && ::flock(lock, LOCK_EX) == 0);
  before.send(keyed_attempt(2, "b"));
  CHECK(read_reply(before).kind == "refused");
  n.second.start(n.folder, n.port);
  n.first.leave();
  close_when_asked(before);
  connection after = connection::to(n.port);
  after.send(keyed_attempt(1, "a"));
  const reply refused = read_reply(after);
  CHECK(refused.kind == "refused" && refused.rest.find("later") != std::string::npos);
  after.send(execute(2, usual(200000), "a"));
  n.second.at.end(n.second.at.expect("start"), "fine", "YQ==");
  expect_served(after, "a");
  ::close(lock);
  for (int seqid = 3;; ++seqid) {  // the log is joined within a moment
    after.send(keyed_attempt(seqid, "a"));
    const reply answer = read_reply(after);
    if (answer.kind == "served") break;
    CHECK(answer.kind == "refused" && seqid < 1000);
  }
  run_write(n.second, after, "b", "Yg==");
}

// A node whose operator's file stores results of kurs-meldung on disk, and whose keys of kurs-abfrage are in
// memory.
struct mixed_node {
  mixed_node() {
    options.operators = folder.keyed_operators();
    first.start(folder, port, options);
  }
  static std::string in_memory(int seqid) { return keyed_attempt(seqid, "a", 0, "kurs-abfrage"); }
  static std::string on_disk(int seqid) {
    static int attempts = 300000;
    fields f = usual(++attempts, "kurs-meldung");
    f.emplace_back("key", "a");
    return execute(seqid, f, "price");
  }

  const shared_folder folder;
  const int port = free_port();
  node_options options = keyed_reads(window_ms);
  node_process first, second;
};

// Guards against a node with results on disk that hands the keys of its other classes to nobody.
void keys_in_memory_are_handed_over_beside_keys_on_disk() {
  mixed_node n;
  connection before = connection::to(n.port);
  for (const std::string& attempt : {n.in_memory(1), n.on_disk(2)}) {
    before.send(attempt);
    n.first.at.end(n.first.at.expect("start"), "fine", "YQ==");
    expect_served(before, "a");
  }
  n.second.start(n.folder, n.port, n.options);
  n.second.process->logged("joined the log of shared keys: 1 keys of other processes");
  n.first.leave();
  close_when_asked(before);
  connection after = connection::to(n.port);
  after.send(n.in_memory(1));
  expect_served(after, "a");
  CHECK(n.first.process->wait() == 0);
  n.second.process->logged("opened after its release: 1 keys recovered");
  after.send(n.on_disk(2));
  expect_served(after, "a");
  expect_no_start(n.second.at);
}

// Guards against runs beside those of a process that was killed in the middle: their outcomes stay unknown in
// both stores.
void runs_of_a_killed_predecessor_beside_keys_on_disk() {
  mixed_node n;
  connection before = connection::to(n.port);
  before.send(n.in_memory(1) + n.on_disk(2));
  n.first.at.expect("start");
  n.first.at.expect("start");
  n.second.start(n.folder, n.port, n.options);
  n.first.process->signal(SIGKILL);
  CHECK(n.first.process->wait() == -1);
  connection after = connection::to(n.port);
  after.send(n.in_memory(1));
  expect_outcome_unknown(after);
  n.second.process->logged("opened after its release: 1 keys recovered");
  after.send(n.on_disk(2));
  expect_outcome_unknown(after);
  expect_no_start(n.second.at);
}

// Guards against harm by files that are not the node's: keyed writes run, and are still handed over where the
// folder can be used.
void foreign_files_do_no_harm() {
  const shared_folder folder;
  const int port = free_port();
  const std::string keys = keys_folder_of(folder, port);
  CHECK(::mkdir(keys.c_str(), 0700) == 0);
  std::ofstream(keys + "/3.shared") << "not a segment";
  std::ofstream(keys + "/4.shared") << "mwshare1 cut";
  std::ofstream(keys + "/0123456789abcdef.member") << "no process";
  std::ofstream(keys + "/notes.txt") << "unrelated";
  node_process first, second;
  first.start(folder, port);
  connection before = connection::to(port);
  run_write(first, before, "a", "YQ==");
  second.start(folder, port);
  first.leave();
  close_when_asked(before);
  connection after = connection::to(port);
  after.send(keyed_attempt(1, "a"));
  expect_served(after, "a");
  CHECK((std::ostringstream() << std::ifstream(keys + "/3.shared").rdbuf()).str() == "not a segment");
}

// Guards against a node that serves no keyed writes because its keys cannot be shared.
void file_in_place_of_the_folder_leaves_the_node_alone() {
  const shared_folder folder;
  const int port = free_port();
  std::ofstream(keys_folder_of(folder, port)) << "x";
  node_process alone;
  alone.start(folder, port);
  alone.process->logged("a process that replaces this one will not know its keys");
  connection client = connection::to(port);
  run_write(alone, client, "a", "YQ==");
  client.send(keyed_attempt(2, "a"));
  expect_served(client, "a");
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"stored_result", successor_serves_the_result_of_its_predecessor},
      {"running", repeat_waits_for_the_run_in_the_predecessor},
      {"disconnected", replaced_process_waits_for_its_keyed_run},
      {"killed", run_of_a_killed_predecessor_has_an_unknown_outcome},
      {"suspended", suspended_predecessor_blocks_only_its_own_keys},
      {"reverse", predecessor_serves_the_result_of_its_successor},
      {"twice", key_outlasts_two_replacements},
      {"beside_disk", keys_in_memory_are_handed_over_beside_keys_on_disk},
      {"beside_disk_killed", runs_of_a_killed_predecessor_beside_keys_on_disk},
      {"foreign_files", foreign_files_do_no_harm},
      {"locked_log", locked_log_refuses_keyed_writes},
      {"no_folder", file_in_place_of_the_folder_leaves_the_node_alone},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
