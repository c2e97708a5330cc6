// Races in the life of a price node process. Each test forces its race: the runtime stub or the client waits,
// closes its connection or sends at a certain step, mostly while SIGSTOP stops the node, so that the critical
// order of events occurs in every run.
#include <array>
#include <map>

#include "console_client.hpp"
#include "harness.hpp"
#include "keyed_writes.hpp"
#include "shared_folder.hpp"

using namespace harness;

namespace {

// Continues a stopped node after the pause.
void continue_after(node& stopped, std::chrono::milliseconds pause) {
  std::this_thread::sleep_for(pause);
  stopped.signal(SIGCONT);
}

// Receives one command of that name for each of these calls, in any order. Answers `gauges` queries.
void expect_all(runtime& stub, const std::string& command_name, const std::set<std::string>& calls) {
  std::set<std::string> seen;
  while (seen.size() < calls.size()) seen.insert(stub.expect(command_name));
  CHECK(seen == calls);
}

// Receives the commands as expect_all() does, but answers no `gauges` query, so that the node cannot know
// whether the commands have arrived.
void expect_all_unconfirmed(runtime& stub, const std::string& command_name,
                            const std::set<std::string>& calls) {
  std::set<std::string> seen;
  while (seen.size() < calls.size()) {
    const std::string line = stub.link.line();
    if (member(line, "msg") == command_name) seen.insert(member(line, "call"));
  }
  CHECK(seen == calls);
}

// ---- The link to the runtime ------------------------------------------------------------------------------

// After a reconnect, the runtime answers the `gauges` query behind its replayed notices and closes the
// connection before the node sends its `stop` probes: the first command draws a reset, the second one
// fails. Guards against a link that the node counts as up although it is closed, and never reconnects: the
// node then listened and served nobody.
void link_lost_during_resynchronization() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  std::set<std::string> runs;
  for (int i = 1; i <= 6; ++i) {
    c.send(execute(i, usual(i, "kurs-meldung"), "a"));
    runs.insert(label(i));
  }
  expect_all_unconfirmed(r, "start", runs);
  r.link.close();
  r.link = r.door.accept();
  r.link.line();  // sync
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  const std::string question = r.link.line();
  n.signal(SIGSTOP);
  CHECK(r.answer_gauges(question));
  r.link.close();
  n.signal(SIGCONT);
  r.up();  // the node reconnects
  expect_all(r, "stop", runs);
  for (const std::string& run : runs) r.end(run, "broken_off");  // each run had started
  expect_all(r, "cont", runs);
  for (const std::string& run : runs) r.end(run, "fine", "YQ==");
  for (int i = 1; i <= 6; ++i) CHECK(read_reply(c).kind == "served");
}

// The node is stopped after the runtime sends `ready` and before the node reads it. Guards against a node
// that takes the delay for a later start of the runtime, and therefore treats its runs as lost.
void delayed_ready_is_not_a_runtime_restart() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  r.expect("start");
  while (!r.answer_gauges(r.link.line())) {
  }
  r.link.close();
  r.link = r.door.accept();
  r.link.line();  // sync
  n.signal(SIGSTOP);
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60200}");
  continue_after(n, 1800ms);
  CHECK(r.answer_gauges(r.link.line()));
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// After a reconnect, the runtime replays an end notice that the node read before the link was lost, and
// sends another notice for the first time. Guards against a run that ends twice.
void replayed_end_notices_are_ignored() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a") + execute(2, usual(2, "kurs-meldung"), "b"));
  expect_all(r, "start", {label(1), label(2)});
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 1);
  r.link.close();
  r.link = r.door.accept();
  CHECK(member(r.link.line(), "serial") == "1");
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  r.serial = 0;
  r.end(label(1), "fault");  // serial 1 again, with a different outcome
  r.end(label(2), "fine", "Yg==");
  r.serial = 1;
  r.end(label(2), "fault");  // serial 2 again
  CHECK(r.answer_gauges(r.link.line()));
  const reply second = read_reply(c);
  CHECK(second.seqid == 2 && second.kind == "served" && result(second) == "b");
  CHECK(!c.readable(200));
}

// The runtime accepts the connection and sends nothing. The node must still answer each request by its
// deadline.
void requests_are_answered_while_the_runtime_is_silent() {
  runtime r;
  node n(r, {.aim_ms = 300, .write_aim_ms = 300});
  const connection link = r.door.accept();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  const reply answer = read_reply(c);
  CHECK(answer.seqid == 1 && answer.kind != "served");
}

// The deadline of a request class is shorter than the node's timer interval. Each request must get exactly
// one answer, and requests of the other class must not wait for it.
void deadline_shorter_than_the_timer_interval() {
  runtime r;
  node n(r, {.edit_from = "\"Objective\":20000000000,\"Deadline\":60000000000",
             .edit_to = "\"Objective\":5000000,\"Deadline\":8000000"});
  r.up();
  connection c = connection::to(n.port);
  constexpr int count = 20;
  for (int i = 1; i <= count; ++i) c.send(execute(i, usual(i), "a"));
  c.send(execute(count + 1, usual(count + 1, "kurs-meldung"), "b"));
  std::set<int> answered;
  while (!answered.contains(count + 1)) {
    if (c.readable(5)) CHECK(answered.insert(read_reply(c).seqid).second);
    if (!r.link.readable(0)) continue;
    const std::string line = r.link.line();
    if (!r.answer_gauges(line) && member(line, "msg") == "start" && member(line, "service") == "kurs-meldung")
      r.end(member(line, "call"), "fine", "YQ==");
  }
  while (answered.size() < count + 1) CHECK(answered.insert(read_reply(c).seqid).second);
  CHECK(!c.readable(200));
}

// ---- Graceful shutdown ------------------------------------------------------------------------------------

// The node is stopped shortly before the end of its shutdown period and continues after it. Meanwhile
// requests arrive on idle connections. Guards against a request that the reactor reads in its last
// iteration and does not answer.
void requests_before_the_last_shutdown_step_are_answered() {
  runtime r;
  node n(r);
  r.up();
  std::vector<connection> idle_clients;
  for (int i = 0; i < 8; ++i) {
    idle_clients.push_back(connection::to(n.port));
    idle_clients.back().send(check(1));
    read_reply(idle_clients.back());
  }
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  std::this_thread::sleep_for(2000ms);
  n.signal(SIGSTOP);
  for (std::size_t i = 0; i < idle_clients.size(); ++i)
    idle_clients[i].send(execute(2, usual(static_cast<int>(i)), "late"));
  continue_after(n, 1500ms);
  for (connection& c : idle_clients) {
    reply answer;
    do {
      CHECK(c.readable(patience_ms));
      answer = read_reply(c);
    } while (answer.kind == "closing");
    CHECK(answer.seqid == 2 && answer.kind == "refused");
    std::string more;
    CHECK(c.closed_gracefully(more));
  }
  CHECK(n.wait() == 0);
}

// A client stays idle until the node closes its connection. The client must see a graceful close; a request
// that it sends after the close must neither run nor draw a reset, which could discard the last answer.
void idle_client_sees_a_graceful_close() {
  runtime r;
  node n(r, {.stop_ms = 1500});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  n.signal(SIGTERM);
  std::string rest;
  CHECK(c.closed_gracefully(rest));  // the process still runs and could read the next request
  c.send(execute(2, usual(2), "b"));
  CHECK(n.wait() == 0);
  std::string line;
  while (r.link.next(line)) CHECK(member(line, "msg") != "start");
}

// SIGTERM arrives while the client has not yet read its answers. The node must write all of them before it
// exits.
void buffered_answers_are_written_before_exit() {
  runtime r;
  node n(r, {.stop_ms = 2500});
  r.up();
  connection c = connection::to(n.port);
  const std::string blob(4 * 1024, 'A');  // 3 KiB
  constexpr int count = 32;
  for (int i = 1; i <= count; ++i) c.send(execute(i, usual(i), "a"));
  for (int i = 1; i <= count; ++i) r.end(r.expect("start"), "fine", blob);
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  for (int i = 1; i <= count; ++i) CHECK(read_reply(c).kind == "served");
  std::string rest;
  CHECK(c.closed_gracefully(rest));
  CHECK(n.wait() == 0);
}

// SIGHUP and SIGTERM arrive at the same time. The node must handle both: a run in flight ends over the
// connection to the new runtime address.
void reload_and_shutdown_at_the_same_time() {
  runtime old_runtime, new_runtime;
  node n(old_runtime);
  old_runtime.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.expect("start");
  n.signal(SIGSTOP);
  n.reload(new_runtime);
  n.signal(SIGTERM);
  n.signal(SIGUSR1);
  n.signal(SIGCONT);
  for (std::string line; old_runtime.link.next(line);) CHECK(old_runtime.answer_gauges(line));
  new_runtime.up();
  n.logged("shutdown notice received");
  n.logged("counters");
  new_runtime.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// SIGTERM arrives after the node has read half of a request. The node must read the rest and answer the
// request.
void shutdown_in_the_middle_of_a_request() {
  runtime r;
  node n(r, {.stop_ms = 2000});
  r.up();
  connection c = connection::to(n.port), other_client = connection::to(n.port);
  const std::string whole = execute(1, usual(1, "kurs-meldung"), "a");
  c.send(whole.substr(0, whole.size() / 2));
  other_client.send(check(1));
  CHECK(read_reply(other_client).seqid == 1);  // so the node has also read the half that was sent before
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.send(whole.substr(whole.size() / 2));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  other_client.close();
  CHECK(n.wait() == 0);
}

// SIGTERM arrives while the node tries to connect to a new runtime address that does not answer. Runs in
// flight must end over the old connection.
void shutdown_during_a_reload() {
  runtime old_runtime, unreachable_runtime;
  unreachable_runtime.door.close();
  node n(old_runtime, {.stop_ms = 2500});
  old_runtime.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.expect("start");
  n.reload(unreachable_runtime);
  n.logged("reload: runtime at");
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.send(execute(2, usual(2, "kurs-meldung"), "b"));
  old_runtime.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 1);
  old_runtime.end(old_runtime.expect("start"), "fine", "Yg==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// SIGHUP and then SIGTERM arrive while a run is paused whose request has already failed. The run must stay
// paused after the move to the new connection, and must not delay the shutdown.
void reload_and_shutdown_while_a_run_is_paused() {
  runtime old_runtime, new_runtime;
  node n(old_runtime, {.write_aim_ms = 300});
  old_runtime.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.expect("start");
  CHECK(read_reply(c).kind == "failed");
  CHECK(old_runtime.expect("stop") == label(1));
  n.reload(new_runtime);
  // The node repeats the `stop` at intervals until the runtime reports the end of the run. No other command
  // may name that run.
  const auto is_stop = [](const std::string& line) {
    return member(line, "msg") == "stop" && member(line, "call") == label(1);
  };
  for (std::string line; old_runtime.link.next(line);)
    CHECK(old_runtime.answer_gauges(line) || is_stop(line));
  new_runtime.up();
  c.send(execute(2, usual(2), "b"));
  std::string line = new_runtime.command();
  while (is_stop(line)) line = new_runtime.command();
  CHECK(member(line, "msg") == "start" && member(line, "call") == label(2));
  new_runtime.end(label(2), "fine", "Yg==");
  CHECK(read_reply(c).kind == "served");
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.close();
  CHECK(n.wait() == 0);
}

// SIGTERM arrives during an operator drain. The node must shut down gracefully as without a drain.
void shutdown_during_an_operator_drain() {
  runtime r;
  node_options o{.stop_ms = 2000};
  o.console_port = free_port();
  node n(r, o);
  r.up();
  wait_console(o.console_port);
  CHECK(call(o.console_port, "drain\n") == "200 draining\n");
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.expect("start");
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// SIGKILL ends the node at each state of a write, and a new process starts on the same address with the
// same runtime. The new process must serve, and must not start any request of the old process.
void restart_after_sigkill_in_each_state() {
  enum class state { unread, half_read, held, running, ended };
  for (const state killed_in : {state::unread, state::half_read, state::held, state::running, state::ended}) {
    runtime r;
    node_options o;
    o.listen_port = free_port();
    connection silent;  // kept open until the first node has ended: otherwise that node would reconnect
    {
      node first(r, o);
      if (killed_in == state::held) {
        silent = r.door.accept();
      } else {
        r.up();
      }
      first.logged("listens on");
      connection c = connection::to(o.listen_port);
      const std::string whole = execute(1, usual(1, "kurs-meldung"), "a");
      if (killed_in == state::unread) first.signal(SIGSTOP);
      c.send(killed_in == state::half_read ? whole.substr(0, 50) : whole);
      if (killed_in == state::held) first.wait_for_counter("taken_in", 1);
      if (killed_in == state::running || killed_in == state::ended) r.expect("start");
      if (killed_in == state::ended) r.end(label(1), "fine", "YQ==");
    }  // SIGKILL
    r.link.close();
    r.serial = 0;
    node second(r, o);
    r.up();
    connection c = connection::to(o.listen_port);
    c.send(execute(1, usual(2), "b"));
    CHECK(r.expect("start") == label(2));
    r.end(label(2), "fine", "Yg==");
    CHECK(read_reply(c).kind == "served");
  }
}

// ---- Slow clients -----------------------------------------------------------------------------------------

// Requests arrive byte by byte, interleaved with requests on another connection. The node must parse them
// like requests that arrive in one piece.
void request_that_arrives_byte_by_byte() {
  runtime r;
  node n(r);
  r.up();
  connection slow = connection::to(n.port), other = connection::to(n.port);
  const std::string whole = execute(1, usual(1), "a") + check(2);
  for (std::size_t i = 0; i < whole.size(); ++i) {
    slow.send(whole.substr(i, 1));
    if (i % 50 != 0) continue;
    // The answer to this check shows that the node has read the bytes before it.
    other.send(check(static_cast<int>(i) + 1));
    CHECK(read_reply(other).seqid == static_cast<int>(i) + 1);
  }
  r.end(r.expect("start"), "fine", "YQ==");
  std::set<int> answered = {read_reply(slow).seqid, read_reply(slow).seqid};
  CHECK(answered == (std::set<int>{1, 2}));
}

// A client sends requests and never reads. The node must close the connection once the unread answers fill
// its buffer, and other clients must not be affected.
void client_that_never_reads() {
  runtime r;
  node n(r);
  r.up();
  connection non_reading = connection::to(n.port);
  non_reading.shrink_receive_buffer();
  const std::string blob(4 * 1024, 'A');  // 3 KiB
  connection other = connection::to(n.port);
  int asked = 0;
  while (non_reading.try_send(execute(asked + 1, usual(asked + 1), "a"))) {
    CHECK(++asked < 4000);
    // Once the connection is closed, no request starts and the next send fails.
    const auto until = clock::now() + 500ms;
    for (bool started = false; !started && clock::now() < until;) {
      if (!r.link.readable(50)) continue;
      const std::string line = r.link.line();
      started = !r.answer_gauges(line) && member(line, "msg") == "start";
      if (started) r.end(member(line, "call"), "fine", blob);
    }
    if (asked % 100 != 0) continue;
    other.send(check(asked));
    CHECK(read_reply(other).seqid == asked);
  }
  other.send(execute(1, usual(5000), "b"));
  std::string run;
  while (run != label(5000)) run = r.expect("start");
  r.end(run, "fine", "Yg==");
  CHECK(result(read_reply(other)) == "b");
}

// ---- Process start ----------------------------------------------------------------------------------------

// SIGHUP and SIGUSR1 arrive while the node reads its configuration. Guards against the default action of
// these signals, which ends the process.
void reload_during_startup() {
  runtime r;
  const node_options o{.hold_config = true};
  node n(r, o);
  n.wait_for_config_read();
  n.signal(SIGHUP);
  n.signal(SIGUSR1);
  n.release_config(r, o);
  r.up();
  n.logged("reload: runtime at");
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// SIGTERM arrives while the node reads its configuration. The process must exit with status 0 and never
// listen.
void shutdown_during_startup() {
  runtime r;
  const node_options o{.hold_config = true};
  node n(r, o);
  n.wait_for_config_read();
  n.signal(SIGTERM);
  n.release_config(r, o);
  CHECK(n.wait() == 0);
  CHECK(n.log().find("listens on") == std::string::npos);
}

// SIGTERM arrives before the runtime is ready. The node must answer the requests that it has read and exit
// with status 0.
void shutdown_before_the_runtime_is_ready() {
  runtime r;
  node n(r, {.stop_ms = 1500});
  const connection link = r.door.accept();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  n.logged("listens on");
  n.signal(SIGTERM);
  reply answer;
  do answer = read_reply(c);
  while (answer.kind == "closing");
  CHECK(answer.seqid == 1 && answer.kind != "served");
  c.close();
  CHECK(n.wait() == 0);
}

// ---- File descriptors -------------------------------------------------------------------------------------

// Idle clients fill the connection table and idle callers fill the console, while no catalog receives the
// node's reports. The node must stay within its descriptor limit, reconnect to the runtime, answer console
// calls and known clients, and not spin.
void connection_floods_leave_descriptors_for_the_node() {
  constexpr int sockets = 160;
  runtime r;
  node_options o{.edit_from = "\"memory_mb\":192,\"sockets\":1024",
                 .edit_to = "\"memory_mb\":32,\"sockets\":160"};
  o.directory_port = free_port();  // service discovery is down: nothing listens on this port
  o.descriptors = sockets;
  const int console = free_port();
  o.console_port = console;
  node n(r, o);
  r.up();
  wait_console(console);
  connection known = connection::to(n.port);
  for (int i = 1; i <= 3; ++i) {
    known.send(check(i));
    read_reply(known);
  }
  std::vector<connection> idle;
  for (int i = 0; i < 2 * sockets; ++i) {
    idle.push_back(connection::to(n.port));
    idle.push_back(connection::to(console));
  }
  std::this_thread::sleep_for(300ms);
  CHECK(n.descriptors() <= sockets);
  const auto cpu_before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - cpu_before < 500ms);
  CHECK(call(console, "ready\n") == "200 yes\n");
  r.link.close();
  r.up();  // the node has a descriptor for the new link
  known.send(execute(4, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(known).kind == "served");
  idle.clear();
  connection late = connection::to(n.port);
  late.send(execute(1, usual(2), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(late).kind == "served");
}

// The process's descriptor limit is below the number of sockets in the settings. The lower limit must
// apply.
void descriptor_limit_below_the_settings() {
  runtime r;
  node_options o;  // limits.sockets is 1024
  o.descriptors = 140;
  node n(r, o);
  r.up();
  std::vector<connection> idle;
  for (int i = 0; i < 300; ++i) idle.push_back(connection::to(n.port));
  std::this_thread::sleep_for(300ms);
  const auto cpu_before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - cpu_before < 500ms);
  r.link.close();
  r.up();
  connection late = connection::to(n.port);
  late.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(late).kind == "served");
}

// accept() fails because the process has no descriptor left, although its connection table has space. The
// listener must wait instead of spinning, and accept again once descriptors are available.
void accept_without_descriptors_does_not_spin() {
  runtime r;
  node n(r);
  r.up();
  // The undefined-behaviour sanitizer opens a pipe when it checks the type of an object for the first time,
  // and reports the object as invalid where it gets no descriptor. So the node first executes every operation
  // of this test once, including its periodic check of all connections, while descriptors are available.
  connection early = connection::to(n.port);
  early.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(early).kind == "served");
  n.wait_for_counter("served", 1);
  std::this_thread::sleep_for(500ms);  // several of those periodic checks
  n.limit_descriptors(3);
  connection waiting = connection::to(n.port);
  waiting.send(check(1));
  n.logged("accept: ");
  const auto cpu_before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - cpu_before < 500ms);
  n.limit_descriptors(1024);
  CHECK(read_reply(waiting).seqid == 1);
}

// Every connection has a request in flight, and one more client connects and sends a request. The node must
// answer it with `closing` and close the connection gracefully. Guards against a close with unread bytes,
// whose reset discards the `closing` message.
void connection_beyond_the_limit_is_closed_gracefully() {
  constexpr int table = 64;
  runtime r;
  node n(r, {.edit_from = "\"sockets\":1024", .edit_to = "\"sockets\":128"});
  r.up();
  std::vector<connection> busy;
  for (int i = 0; i < table; ++i) {
    busy.push_back(connection::to(n.port));
    busy.back().send(execute(1, usual(i), "a"));
  }
  n.wait_for_counter("taken_in", table);
  n.signal(SIGSTOP);
  connection excess = connection::to(n.port);
  excess.send(execute(1, usual(1000), "a"));
  n.signal(SIGCONT);
  CHECK(read_reply(excess).kind == "closing");
  std::string rest;
  CHECK(excess.closed_gracefully(rest) && rest.empty());
}

// ---- Hot restart ------------------------------------------------------------------------------------------

// In a hot restart, the successor announces that it accepts connections and is killed before the first
// process gets its shutdown notice. Guards against a first process that stops listening for a successor
// that no longer runs.
void killed_successor_does_not_take_over() {
  char folder[] = "/tmp/marblewharf-handover-XXXXXX";
  CHECK(::mkdtemp(folder) != nullptr);
  runtime first_runtime, second_runtime;
  node first(first_runtime, {.tmpdir = folder});
  first_runtime.up();
  first.logged("runtime: running");
  const std::string mark_path =
      std::string(folder) + "/marblewharf-n0-" + own_host() + "-" + std::to_string(first.port) + ".ready";
  const auto announced_pid = [&] {
    std::string skipped_word, pid;
    std::ifstream mark(mark_path);
    mark >> skipped_word >> skipped_word >> pid;
    return pid;
  };
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (announced_pid().empty()) CHECK(clock::now() < until);
  {
    node second(second_runtime, {.listen_port = first.port, .tmpdir = folder});
    second_runtime.up();
    while (announced_pid() != std::to_string(second.pid())) CHECK(clock::now() < until);
  }  // SIGKILL
  first.signal(SIGTERM);
  first.logged("shutdown notice received");
  CHECK(first.log().find("a successor accepts new connections") == std::string::npos);
  connection c = connection::to(first.port);
  c.send(execute(1, usual(1), "a"));
  first_runtime.end(first_runtime.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(first.wait() == 0);
  ::unlink(mark_path.c_str());
  ::rmdir(folder);
}

// An operator drain begins before a reload and ends after it. The reload must neither end the drain nor
// lose a run.
void operator_drain_across_a_reload() {
  runtime old_runtime, new_runtime;
  node_options o;
  o.console_port = free_port();
  node n(old_runtime, o);
  old_runtime.up();
  wait_console(o.console_port);
  connection c = connection::to(n.port);
  const auto healthy = [&](int seqid) {
    c.send(check(seqid));
    return read_reply(c).rest.find(std::string("\x02\x00\x03\x01", 4)) != std::string::npos;
  };
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.expect("start");
  CHECK(call(o.console_port, "drain\n") == "200 draining\n");
  n.reload(new_runtime, o);
  for (std::string line; old_runtime.link.next(line);) CHECK(old_runtime.answer_gauges(line));
  new_runtime.up();
  CHECK(!healthy(2));
  CHECK(call(o.console_port, "resume\n") == "200 serving\n");
  CHECK(healthy(3));
  new_runtime.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// ---- Duplicates in a request class that the settings of the platform declare as keyed ---------------------

// Duplicates arrive while the first attempt waits for the runtime, while it runs, when it has just ended,
// later, and after a failure. All attempts with one key must share one run and its outcome, and each must
// get its own answer.
void duplicates_share_one_run() {
  runtime r;
  node n(r, keyed_writes(60000));
  connection link = r.door.accept();  // the runtime accepts and sends nothing
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a") + keyed_attempt(2, "a"));
  n.wait_for_counter("repeats_joined", 1);
  link.close();
  r.up();
  const std::string run = r.expect("start");
  c.send(keyed_attempt(3, "a"));
  n.wait_for_counter("repeats_joined", 2);
  n.signal(SIGSTOP);  // the node reads the end notice and a duplicate in the same iteration
  r.end(run, "fine", "YQ==");
  c.send(keyed_attempt(4, "a"));
  n.signal(SIGCONT);
  std::set<int> answered;
  for (int i = 1; i <= 4; ++i) {
    const reply served = read_reply(c);
    CHECK(served.kind == "served" && result(served) == "a");
    answered.insert(served.seqid);
  }
  CHECK(answered == (std::set<int>{1, 2, 3, 4}));
  c.send(keyed_attempt(5, "a"));
  const reply later = read_reply(c);
  CHECK(later.seqid == 5 && later.kind == "served" && result(later) == "a");
  c.send(keyed_attempt(6, "b"));
  r.end(r.expect("start"), "fault");
  CHECK(read_reply(c).kind == "failed");
  c.send(keyed_attempt(7, "b"));
  CHECK(read_reply(c).kind == "failed");
  expect_no_start(r);
}

// Duplicates arrive on either side of the end of the window, which begins when the executed attempt arrived
// at the machine. Guards against a second run for an attempt that arrived within the window and was read
// later, and against a result that is returned after the window.
void duplicates_around_the_end_of_the_window() {
  runtime r;
  node n(r, keyed_writes(1500));
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a", 3000));  // the window of this attempt ended 1.5 s ago
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(result(read_reply(c)) == "a");
  c.send(keyed_attempt(2, "a", 1600));  // arrived within the window of attempt 1 and is read after it
  CHECK(result(read_reply(c)) == "a");
  expect_no_start(r);
  c.send(keyed_attempt(3, "a", 1200));  // arrived after the window of attempt 1
  r.end(r.expect("start"), "fine", "Yg==");
  CHECK(result(read_reply(c)) == "b");
  c.send(keyed_attempt(4, "a"));
  CHECK(result(read_reply(c)) == "b");
  expect_no_start(r);
}

// An attempt that was cancelled before it started leaves no record, so its duplicate runs. A run whose
// caller cancelled continues for a duplicate.
void duplicates_of_cancelled_attempts() {
  runtime r;
  node n(r, keyed_writes(60000));
  connection link = r.door.accept();
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a") + interrupt(2, 1));
  n.wait_for_counter("gone", 1);
  link.close();
  r.up();
  c.send(keyed_attempt(3, "a"));
  const std::string run = r.expect("start");
  c.send(interrupt(4, 3));
  n.wait_for_counter("gone", 2);
  c.send(keyed_attempt(5, "a"));
  n.wait_for_counter("repeats_joined", 1);
  r.end(run, "fine", "YQ==");
  const reply served = read_reply(c);
  CHECK(served.seqid == 5 && result(served) == "a");
  expect_no_start(r);
}

// The link breaks in the middle of an end notice, a duplicate arrives, and the runtime sends the notice
// again after the reconnect. Both attempts must get the result of the one run.
void duplicate_across_a_lost_link() {
  runtime r;
  node n(r, keyed_writes(60000));
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a"));
  const std::string run = r.expect("start");
  r.send("{\"msg\":\"end\",\"serial\":1,\"call\":\"" + run + "\",\"how\":\"fi");
  r.link.close();
  n.logged("link-lost");
  c.send(keyed_attempt(2, "a"));
  r.link = r.door.accept();
  r.link.line();  // sync
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  r.end(run, "fine", "YQ==");
  CHECK(r.answer_gauges(r.link.line()));
  for (int i = 1; i <= 2; ++i) CHECK(result(read_reply(c)) == "a");
  expect_no_start(r);
}

// Answers `gauges` queries and gives the node's stops no effect, until the client gets an answer. The node
// must not start a run meanwhile.
reply answer_without_start(runtime& r, connection& client) {
  while (!client.readable(0)) {
    if (!r.link.readable(20)) continue;
    const std::string line = r.link.line();
    if (!r.answer_gauges(line)) CHECK(member(line, "msg") == "stop");
  }
  return read_reply(client);
}

// The link breaks behind the start of a keyed write while the cores stand still, so that stops have no
// effect. Guards against a run that is taken as never started because its stop is answered with silence: its
// duplicate would run beside it.
void duplicate_of_a_run_that_cannot_be_stopped() {
  runtime r;
  node_options options = keyed_writes(60000);
  options.write_aim_ms = 1000;
  node n(r, options);
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a"));
  const std::string run = r.expect("start");
  r.link.close();
  r.up();
  const auto expect_outcome_unknown = [&] {
    const reply answer = answer_without_start(r, c);
    CHECK(answer.kind == "failed" && answer.rest.find("unknown") != std::string::npos);
  };
  c.send(keyed_attempt(2, "a"));
  expect_outcome_unknown();
  expect_outcome_unknown();
  c.send(keyed_attempt(3, "a"));
  expect_outcome_unknown();
  r.end(run, "fine", "YQ==");  // the cores move again
  c.send(keyed_attempt(4, "a"));
  expect_outcome_unknown();
  c.close();
  n.signal(SIGTERM);
  CHECK(n.wait() == 0);
  n.logged("price node stops with 0 open requests");
}

// As above, but the run ends in time. Guards against a run whose start is unconfirmed and that is given up
// although its end may still come.
void duplicate_of_a_run_with_an_unconfirmed_start() {
  runtime r;
  node n(r, keyed_writes(60000));
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_attempt(1, "a"));
  const std::string run = r.expect("start");
  r.link.close();
  r.up();
  CHECK(r.expect("stop") == run);
  c.send(keyed_attempt(2, "a"));
  expect_no_start(r);
  r.link.close();  // once more
  r.up();
  CHECK(r.expect("stop") == run);
  expect_no_start(r);
  r.end(run, "fine", "YQ==");
  for (int i = 1; i <= 2; ++i) CHECK(result(read_reply(c)) == "a");
}

// Another client sends the owner's idempotency key with a different body, once after the owner's run and
// once before it. Guards against a result that goes to that client, and against a failure of the owner's
// request. The runtime rejects the forged calls, because it knows which calls are genuine.
void foreign_key_fails_only_its_sender() {
  runtime r;
  node n(r, keyed_writes(60000));
  r.up();
  connection owner = connection::to(n.port), forger = connection::to(n.port);
  int attempts = 1000;
  const auto forged = [&](int seqid, const std::string& key) {
    fields f = usual(++attempts, "kurs-meldung");
    f.emplace_back("unique", key);
    forger.send(execute(seqid, f, "forged"));
    return label(attempts);
  };
  const auto reject_as_unknown = [&](const std::string& call) {
    r.send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + call + "\"}");
    CHECK(read_reply(forger).kind == "failed");
  };
  owner.send(keyed_attempt(1, "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(owner).kind == "served");
  const std::string forged_after = forged(1, "a");
  CHECK(r.expect("start") == forged_after);
  reject_as_unknown(forged_after);
  const std::string forged_before = forged(2, "b");
  CHECK(r.expect("start") == forged_before);
  owner.send(keyed_attempt(2, "b"));
  r.end(r.expect("start"), "fine", "Yg==");  // before the runtime has rejected the forged call
  CHECK(result(read_reply(owner)) == "b");
  reject_as_unknown(forged_before);
  owner.send(keyed_attempt(3, "a") + keyed_attempt(4, "b"));
  CHECK(result(read_reply(owner)) == "a" && result(read_reply(owner)) == "b");
}

// Idempotency keys are kept in memory and in $TMPDIR, which is empty at a start that is no replacement, so a
// restart discards them. A duplicate runs again in the new process, as the protocol allows.
void duplicate_after_a_restart_runs_again() {
  runtime first_runtime, second_runtime;
  const int port = free_port();
  const shared_folder first_folder, second_folder;
  node_options o = keyed_writes(60000);
  o.listen_port = port;
  o.tmpdir = first_folder.path;
  {
    node first(first_runtime, o);
    first_runtime.up();
    connection c = connection::to(port);
    c.send(keyed_attempt(1, "a"));
    first_runtime.expect("start");
  }  // SIGKILL
  o.tmpdir = second_folder.path;
  node second(second_runtime, o);
  second_runtime.up();
  connection c = connection::to(port);
  c.send(keyed_attempt(1, "a"));
  second_runtime.end(second_runtime.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"link_lost_in_resync", link_lost_during_resynchronization},
      {"late_ready", delayed_ready_is_not_a_runtime_restart},
      {"replayed_notices", replayed_end_notices_are_ignored},
      {"silent_runtime", requests_are_answered_while_the_runtime_is_silent},
      {"short_deadline", deadline_shorter_than_the_timer_interval},
      {"requests_before_exit", requests_before_the_last_shutdown_step_are_answered},
      {"idle_client_at_exit", idle_client_sees_a_graceful_close},
      {"buffered_answers", buffered_answers_are_written_before_exit},
      {"two_signals", reload_and_shutdown_at_the_same_time},
      {"shutdown_in_request", shutdown_in_the_middle_of_a_request},
      {"shutdown_in_reload", shutdown_during_a_reload},
      {"signals_while_paused", reload_and_shutdown_while_a_run_is_paused},
      {"shutdown_in_drain", shutdown_during_an_operator_drain},
      {"sigkill_in_each_state", restart_after_sigkill_in_each_state},
      {"byte_by_byte", request_that_arrives_byte_by_byte},
      {"never_reads", client_that_never_reads},
      {"reload_at_start", reload_during_startup},
      {"shutdown_at_start", shutdown_during_startup},
      {"shutdown_before_runtime", shutdown_before_the_runtime_is_ready},
      {"connection_floods", connection_floods_leave_descriptors_for_the_node},
      {"fewer_descriptors", descriptor_limit_below_the_settings},
      {"no_descriptor", accept_without_descriptors_does_not_spin},
      {"too_many_connections", connection_beyond_the_limit_is_closed_gracefully},
      {"killed_successor", killed_successor_does_not_take_over},
      {"drain_reload", operator_drain_across_a_reload},
      {"duplicates", duplicates_share_one_run},
      {"duplicates_window", duplicates_around_the_end_of_the_window},
      {"duplicates_cancelled", duplicates_of_cancelled_attempts},
      {"duplicates_link", duplicate_across_a_lost_link},
      {"unstoppable_run", duplicate_of_a_run_that_cannot_be_stopped},
      {"unconfirmed_start", duplicate_of_a_run_with_an_unconfirmed_start},
      {"foreign_key", foreign_key_fails_only_its_sender},
      {"duplicates_restart", duplicate_after_a_restart_runs_again},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
