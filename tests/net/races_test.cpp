// Races in the node's life, each forced: the stand-in for the runtime or the client holds, cuts or sends at
// the step named, mostly while the node is stopped (SIGSTOP), so that the bad order comes every time.
#include <array>
#include <map>

#include "console_client.hpp"
#include "harness.hpp"

using namespace harness;

namespace {

void cont_after(node& n, std::chrono::milliseconds pause) {
  std::this_thread::sleep_for(pause);
  n.signal(SIGCONT);
}

// Commands of that name for just these runs, in any order; questions for gauges are answered.
void expect_all(runtime& r, const std::string& msg, const std::set<std::string>& calls) {
  std::set<std::string> seen;
  while (seen.size() < calls.size()) seen.insert(r.expect(msg));
  CHECK(seen == calls);
}

// The same without an answer to any question: the node cannot know that they have arrived.
void expect_all_unconfirmed(runtime& r, const std::string& msg, const std::set<std::string>& calls) {
  std::set<std::string> seen;
  while (seen.size() < calls.size()) {
    const std::string line = r.link.line();
    if (member(line, "msg") == msg) seen.insert(member(line, "call"));
  }
  CHECK(seen == calls);
}

// ---- The link to the runtime ------------------------------------------------------------------------------

// The runtime answers the question behind the replayed notices, and is gone before the node has said what it
// then has to say: the first command draws a reset, the second one fails. Guards against a link that counts
// as up, is not there, and is never sought again: the node listened and served nobody.
void the_link_breaks_while_runs_are_settled() {
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
  r.up();  // it comes back
  expect_all(r, "stop", runs);
  for (const std::string& run : runs) r.end(run, "broken_off");  // each had started
  expect_all(r, "cont", runs);
  for (const std::string& run : runs) r.end(run, "fine", "YQ==");
  for (int i = 1; i <= 6; ++i) CHECK(read_reply(c).kind == "served");
}

// The node stands still between the runtime's `ready` and its reading of it. Guards against the delay being
// taken for a later start of the runtime, and its runs for lost.
void a_ready_that_is_read_late_is_no_restart() {
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
  cont_after(n, 1800ms);
  CHECK(r.answer_gauges(r.link.line()));
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// Notices come again that were read before the link broke, and one is read for the first time: each run ends
// once.
void notices_come_again() {
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
  r.end(label(1), "fault");  // serial 1 again, and not what it said
  r.end(label(2), "fine", "Yg==");
  r.serial = 1;
  r.end(label(2), "fault");  // serial 2 again
  CHECK(r.answer_gauges(r.link.line()));
  const reply second = read_reply(c);
  CHECK(second.seqid == 2 && second.kind == "served" && result(second) == "b");
  CHECK(!c.readable(200));
}

// The link accepts and says nothing: requests are answered all the same, by their time.
void a_silent_runtime_leaves_no_request_unanswered() {
  runtime r;
  node n(r, {.aim_ms = 300, .write_aim_ms = 300});
  const connection link = r.door.accept();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  const reply answer = read_reply(c);
  CHECK(answer.seqid == 1 && answer.kind != "served");
}

// A deadline that is shorter than the node's own timers: each request has its one answer, and nobody else's
// waits.
void deadlines_shorter_than_the_timers() {
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

// ---- The end of the process -------------------------------------------------------------------------------

// The node stands still from before its last step until after it; requests came meanwhile, on connections of
// both kinds: resting ones and ones that just opened. Guards against a request that the last round of the
// reactor reads and nobody answers.
void what_came_before_the_last_step_is_answered() {
  runtime r;
  node n(r);
  r.up();
  std::vector<connection> resting;
  for (int i = 0; i < 8; ++i) {
    resting.push_back(connection::to(n.port));
    resting.back().send(check(1));
    read_reply(resting.back());
  }
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  std::this_thread::sleep_for(2000ms);
  n.signal(SIGSTOP);
  for (std::size_t i = 0; i < resting.size(); ++i)
    resting[i].send(execute(2, usual(static_cast<int>(i)), "late"));
  cont_after(n, 1500ms);
  for (connection& c : resting) {
    reply answer;
    do {
      CHECK(c.readable(patience_ms));
      answer = read_reply(c);
    } while (answer.kind == "closing");
    CHECK(answer.seqid == 2 && answer.kind == "refused");
    std::string more;
    CHECK(c.ends_in_order(more));
  }
  CHECK(n.wait() == 0);
}

// A client that rests until the node ends its connection sees that end in order, and what it writes behind it
// is neither run nor answered with a reset that could take the last answer along.
void a_client_that_rests_to_the_end_sees_it_in_order() {
  runtime r;
  node n(r, {.stop_ms = 1500});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  n.signal(SIGTERM);
  std::string rest;
  CHECK(c.ends_in_order(rest));  // before the process is gone: it can still hear what comes now
  c.send(execute(2, usual(2), "b"));
  CHECK(n.wait() == 0);
  std::string line;
  while (r.link.next(line)) CHECK(member(line, "msg") != "start");
}

// Answers that a client has not taken yet when the notice comes are out before the end.
void answers_half_written_at_the_notice_come_whole() {
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
  CHECK(c.ends_in_order(rest));
  CHECK(n.wait() == 0);
}

// SIGHUP and SIGTERM in one moment: both are heeded, a run in flight ends on the new address.
void two_signals_at_once() {
  runtime old, next;
  node n(old);
  old.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.expect("start");
  n.signal(SIGSTOP);
  n.reload(next);
  n.signal(SIGTERM);
  n.signal(SIGUSR1);
  n.signal(SIGCONT);
  for (std::string line; old.link.next(line);) CHECK(old.answer_gauges(line));
  next.up();
  n.logged("shutdown notice received");
  n.logged("counters");
  next.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// SIGTERM while half of a request is read: its rest still comes, and it is answered.
void a_notice_to_leave_in_the_middle_of_a_request() {
  runtime r;
  node n(r, {.stop_ms = 2000});
  r.up();
  connection c = connection::to(n.port), read = connection::to(n.port);
  const std::string whole = execute(1, usual(1, "kurs-meldung"), "a");
  c.send(whole.substr(0, whole.size() / 2));
  read.send(check(1));
  CHECK(read_reply(read).seqid == 1);  // so the half that came before it is read, too
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.send(whole.substr(whole.size() / 2));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  read.close();
  CHECK(n.wait() == 0);
}

// The new address of the runtime does not answer, and SIGTERM comes while the node tries it: what runs ends
// on the old one.
void a_notice_to_leave_during_a_reload() {
  runtime old, gone;
  gone.door.close();
  node n(old, {.stop_ms = 2500});
  old.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.expect("start");
  n.reload(gone);
  n.logged("reload: runtime at");
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.send(execute(2, usual(2, "kurs-meldung"), "b"));
  old.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 1);
  old.end(old.expect("start"), "fine", "Yg==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// A run that was given up and paused, then SIGHUP and SIGTERM: it stays as it is on the new link, and holds
// nothing up.
void signals_while_a_run_is_paused() {
  runtime old, next;
  node n(old, {.write_aim_ms = 300});
  old.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.expect("start");
  CHECK(read_reply(c).kind == "failed");
  CHECK(old.expect("stop") == label(1));
  n.reload(next);
  // The stop is said again now and then while the runtime has not told of an end; nothing else is of that
  // run.
  const auto is_stop = [](const std::string& line) {
    return member(line, "msg") == "stop" && member(line, "call") == label(1);
  };
  for (std::string line; old.link.next(line);) CHECK(old.answer_gauges(line) || is_stop(line));
  next.up();
  c.send(execute(2, usual(2), "b"));
  std::string line = next.command();
  while (is_stop(line)) line = next.command();
  CHECK(member(line, "msg") == "start" && member(line, "call") == label(2));
  next.end(label(2), "fine", "Yg==");
  CHECK(read_reply(c).kind == "served");
  n.signal(SIGTERM);
  n.logged("shutdown notice received");
  c.close();
  CHECK(n.wait() == 0);
}

// A drain by the console, then SIGTERM: the node leaves as ever.
void a_notice_to_leave_during_a_drain() {
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

// SIGKILL at each state of a write, and a new process on its address with the same runtime: it serves, and
// starts nothing of what the old one had.
void killed_at_each_state() {
  enum class state { unread, half_read, held, running, ended };
  for (const state at : {state::unread, state::half_read, state::held, state::running, state::ended}) {
    runtime r;
    node_options o;
    o.listen_port = free_port();
    connection silent;  // outlives the first node, which would connect anew
    {
      node first(r, o);
      if (at == state::held) {
        silent = r.door.accept();
      } else {
        r.up();
      }
      first.logged("listens on");
      connection c = connection::to(o.listen_port);
      const std::string whole = execute(1, usual(1, "kurs-meldung"), "a");
      if (at == state::unread) first.signal(SIGSTOP);
      c.send(at == state::half_read ? whole.substr(0, 50) : whole);
      if (at == state::held) first.until_counter("taken_in", 1);
      if (at == state::running || at == state::ended) r.expect("start");
      if (at == state::ended) r.end(label(1), "fine", "YQ==");
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

// ---- Clients that are slow
// ----------------------------------------------------------------------------------

// Requests that come byte by byte, also with those of others between them, are read as any other.
void a_request_that_comes_byte_by_byte() {
  runtime r;
  node n(r);
  r.up();
  connection slow = connection::to(n.port), other = connection::to(n.port);
  const std::string whole = execute(1, usual(1), "a") + check(2);
  for (std::size_t i = 0; i < whole.size(); ++i) {
    slow.send(whole.substr(i, 1));
    if (i % 50 != 0) continue;
    other.send(check(static_cast<int>(i) + 1));  // answered behind the bytes before it
    CHECK(read_reply(other).seqid == static_cast<int>(i) + 1);
  }
  r.end(r.expect("start"), "fine", "YQ==");
  std::set<int> answered = {read_reply(slow).seqid, read_reply(slow).seqid};
  CHECK(answered == (std::set<int>{1, 2}));
}

// A client that asks and never reads is given up once its answers fill its buffer; others never notice.
void a_client_that_never_reads() {
  runtime r;
  node n(r);
  r.up();
  connection deaf = connection::to(n.port);
  deaf.keep_little();
  const std::string blob(4 * 1024, 'A');  // 3 KiB
  connection other = connection::to(n.port);
  int asked = 0;
  while (deaf.try_send(execute(asked + 1, usual(asked + 1), "a"))) {
    CHECK(++asked < 4000);
    const auto until = clock::now() + 500ms;  // given up meanwhile: it never starts, and the next send fails
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

// ---- The start of the process -----------------------------------------------------------------------------

// SIGHUP and SIGUSR1 while the configuration is read: guards against their default, the end of the process.
void a_reload_during_the_start() {
  runtime r;
  const node_options o{.hold_config = true};
  node n(r, o);
  n.waits_for_config();
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

// SIGTERM while the configuration is read: the process ends in order and never listens.
void a_notice_to_leave_during_the_start() {
  runtime r;
  const node_options o{.hold_config = true};
  node n(r, o);
  n.waits_for_config();
  n.signal(SIGTERM);
  n.release_config(r, o);
  CHECK(n.wait() == 0);
  CHECK(n.log().find("listens on") == std::string::npos);
}

// SIGTERM before the runtime is there: what was read is answered, the process ends by itself.
void a_notice_to_leave_before_the_runtime_is_up() {
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

// ---- Descriptors ------------------------------------------------------------------------------------------

// Idle clients fill the table and callers the console while nobody hears the reports: the node stays under
// its limit, its link to the runtime comes back, the console answers, known clients are served, and no thread
// spins.
void floods_leave_the_node_its_descriptors() {
  constexpr int sockets = 160;
  runtime r;
  node_options o{.edit_from = "\"memory_mb\":192,\"sockets\":1024",
                 .edit_to = "\"memory_mb\":32,\"sockets\":160"};
  o.directory_port = free_port();  // discovery is down: nobody is there
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
  const auto before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - before < 500ms);
  CHECK(call(console, "ready\n") == "200 yes\n");
  r.link.close();
  r.up();  // a descriptor is there for the new link
  known.send(execute(4, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(known).kind == "served");
  idle.clear();
  connection late = connection::to(n.port);
  late.send(execute(1, usual(2), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(late).kind == "served");
}

// The system gives fewer descriptors than the settings name: what the process can have counts.
void the_process_has_fewer_descriptors_than_the_settings_say() {
  runtime r;
  node_options o;  // limits.sockets is 1024
  o.descriptors = 140;
  node n(r, o);
  r.up();
  std::vector<connection> idle;
  for (int i = 0; i < 300; ++i) idle.push_back(connection::to(n.port));
  std::this_thread::sleep_for(300ms);
  const auto before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - before < 500ms);
  r.link.close();
  r.up();
  connection late = connection::to(n.port);
  late.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(late).kind == "served");
}

// No descriptor is left to the process though its own table has room: the listener waits instead of spinning,
// and serves again once there are some.
void no_descriptor_left_does_not_spin() {
  runtime r;
  node n(r);
  r.up();
  // The sanitizer looks at each type that it meets for the first time through a pipe, and takes the object
  // for a broken one where it gets none: so all that the node does here, also its looks at all connections,
  // comes once before.
  connection early = connection::to(n.port);
  early.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(early).kind == "served");
  n.until_counter("served", 1);
  std::this_thread::sleep_for(500ms);  // several of those looks
  n.limit_descriptors(3);
  connection waits = connection::to(n.port);
  waits.send(check(1));
  n.logged("accept: ");
  const auto before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - before < 500ms);
  n.limit_descriptors(1024);
  CHECK(read_reply(waits).seqid == 1);
}

// Every connection has a request open, and one more comes with its request already sent: it is told to go
// elsewhere and its end comes in order. Guards against a close over unread bytes, whose reset takes the word
// along.
void one_connection_too_many_is_ended_in_order() {
  constexpr int table = 64;
  runtime r;
  node n(r, {.edit_from = "\"sockets\":1024", .edit_to = "\"sockets\":128"});
  r.up();
  std::vector<connection> busy;
  for (int i = 0; i < table; ++i) {
    busy.push_back(connection::to(n.port));
    busy.back().send(execute(1, usual(i), "a"));
  }
  n.until_counter("taken_in", table);
  n.signal(SIGSTOP);
  connection one_more = connection::to(n.port);
  one_more.send(execute(1, usual(1000), "a"));
  n.signal(SIGCONT);
  CHECK(read_reply(one_more).kind == "closing");
  std::string rest;
  CHECK(one_more.ends_in_order(rest) && rest.empty());
}

// ---- Replacement ------------------------------------------------------------------------------------------

// The successor said that it takes the clients, and was killed before the first process got its notice:
// guards against a first process that stops listening for one that is not there.
void a_successor_that_died_takes_nothing_over() {
  char folder[] = "/tmp/marblewharf-handover-XXXXXX";
  CHECK(::mkdtemp(folder) != nullptr);
  runtime first_runtime, second_runtime;
  node first(first_runtime, {.tmpdir = folder});
  first_runtime.up();
  first.logged("runtime: running");
  const std::string mark =
      std::string(folder) + "/marblewharf-n0-" + own_host() + "-" + std::to_string(first.port) + ".ready";
  const auto marked_by = [&] {
    std::string words, process;
    std::ifstream in(mark);
    in >> words >> words >> process;
    return process;
  };
  const auto until = clock::now() + std::chrono::milliseconds(patience_ms);
  while (marked_by().empty()) CHECK(clock::now() < until);
  {
    node second(second_runtime, {.listen_port = first.port, .tmpdir = folder});
    second_runtime.up();
    while (marked_by() != std::to_string(second.pid())) CHECK(clock::now() < until);
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
  ::unlink(mark.c_str());
  ::rmdir(folder);
}

// A drain called before a reload and ended behind it: the reload changes nothing of it, and loses nothing.
void a_drain_round_a_reload() {
  runtime old, next;
  node_options o;
  o.console_port = free_port();
  node n(old, o);
  old.up();
  wait_console(o.console_port);
  connection c = connection::to(n.port);
  const auto healthy = [&](int seqid) {
    c.send(check(seqid));
    return read_reply(c).rest.find(std::string("\x02\x00\x03\x01", 4)) != std::string::npos;
  };
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.expect("start");
  CHECK(call(o.console_port, "drain\n") == "200 draining\n");
  n.reload(next, o);
  for (std::string line; old.link.next(line);) CHECK(old.answer_gauges(line));
  next.up();
  CHECK(!healthy(2));
  CHECK(call(o.console_port, "resume\n") == "200 serving\n");
  CHECK(healthy(3));
  next.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// ---- Repeats of a keyed class, as the platform's settings have it
// -------------------------------------------

// The writes are keyed, and a repeat may come within `window_ms`.
node_options keyed_writes(int window_ms) {
  return {.edit_from = "\"Effect\":\"unsafe\"",
          .edit_to = "\"Effect\":\"keyed\",\"Window\":" + std::to_string(window_ms) + "000000"};
}

// A try of the write that `key` names, which came to the machine so long ago.
std::string keyed_try(int seqid, const std::string& key, int ms_ago = 0) {
  static int tries = 0;
  fields f = usual(++tries, "kurs-meldung", -ms_ago);
  f.emplace_back("unique", key);
  return execute(seqid, f, "price");
}

void starts_nothing(runtime& r) {
  const auto quiet_until = clock::now() + 200ms;
  while (clock::now() < quiet_until) {
    if (r.link.readable(20)) CHECK(r.answer_gauges(r.link.line()));
  }
}

// While the first try is held (its runtime is not there yet), runs, has just ended, and after its end, also
// one that failed: one run, one outcome, one answer each.
void repeats_share_one_run() {
  runtime r;
  node n(r, keyed_writes(60000));
  connection link = r.door.accept();  // and says nothing
  connection c = connection::to(n.port);
  c.send(keyed_try(1, "a") + keyed_try(2, "a"));
  n.until_counter("repeats_joined", 1);
  link.close();
  r.up();
  const std::string run = r.expect("start");
  c.send(keyed_try(3, "a"));
  n.until_counter("repeats_joined", 2);
  n.signal(SIGSTOP);  // the end and a repeat are read in one round
  r.end(run, "fine", "YQ==");
  c.send(keyed_try(4, "a"));
  n.signal(SIGCONT);
  std::set<int> answered;
  for (int i = 1; i <= 4; ++i) {
    const reply served = read_reply(c);
    CHECK(served.kind == "served" && result(served) == "a");
    answered.insert(served.seqid);
  }
  CHECK(answered == (std::set<int>{1, 2, 3, 4}));
  c.send(keyed_try(5, "a"));
  const reply later = read_reply(c);
  CHECK(later.seqid == 5 && later.kind == "served" && result(later) == "a");
  c.send(keyed_try(6, "b"));
  r.end(r.expect("start"), "fault");
  CHECK(read_reply(c).kind == "failed");
  c.send(keyed_try(7, "b"));
  CHECK(read_reply(c).kind == "failed");
  starts_nothing(r);
}

// On either side of the end of the window, which opens as the try that ran came to the machine: guards
// against a second run of a try that came in time and was read late, and against a result that is given for
// ever.
void repeats_round_the_end_of_the_window() {
  runtime r;
  node n(r, keyed_writes(1500));
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_try(1, "a", 3000));  // its window ended 1.5 s ago
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(result(read_reply(c)) == "a");
  c.send(keyed_try(2, "a", 1600));  // came before that end, and is read now
  CHECK(result(read_reply(c)) == "a");
  starts_nothing(r);
  c.send(keyed_try(3, "a", 1200));  // came after it
  r.end(r.expect("start"), "fine", "Yg==");
  CHECK(result(read_reply(c)) == "b");
  c.send(keyed_try(4, "a"));
  CHECK(result(read_reply(c)) == "b");
  starts_nothing(r);
}

// A first try that never ran leaves nothing behind: its repeat runs. One whose caller left goes on for the
// repeat.
void repeats_of_what_never_ran_and_of_what_was_left() {
  runtime r;
  node n(r, keyed_writes(60000));
  connection link = r.door.accept();
  connection c = connection::to(n.port);
  c.send(keyed_try(1, "a") + interrupt(2, 1));
  n.until_counter("gone", 1);
  link.close();
  r.up();
  c.send(keyed_try(3, "a"));
  const std::string run = r.expect("start");
  c.send(interrupt(4, 3));
  n.until_counter("gone", 2);
  c.send(keyed_try(5, "a"));
  n.until_counter("repeats_joined", 1);
  r.end(run, "fine", "YQ==");
  const reply served = read_reply(c);
  CHECK(served.seqid == 5 && result(served) == "a");
  starts_nothing(r);
}

// The link breaks between the end of the run and the repeat, and brings the end anew.
void a_repeat_over_a_broken_link() {
  runtime r;
  node n(r, keyed_writes(60000));
  r.up();
  connection c = connection::to(n.port);
  c.send(keyed_try(1, "a"));
  const std::string run = r.expect("start");
  r.send("{\"msg\":\"end\",\"serial\":1,\"call\":\"" + run + "\",\"how\":\"fi");
  r.link.close();
  n.logged("link-lost");
  c.send(keyed_try(2, "a"));
  r.link = r.door.accept();
  r.link.line();  // sync
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  r.end(run, "fine", "YQ==");
  CHECK(r.answer_gauges(r.link.line()));
  for (int i = 1; i <= 2; ++i) CHECK(result(read_reply(c)) == "a");
  starts_nothing(r);
}

// Somebody sends another one's key with a body of his own, behind its run and before it: guards against a
// result that goes to whom it does not belong, and against an honest request that fails for it. The runtime
// knows who is who.
void a_taken_key_harms_only_who_took_it() {
  runtime r;
  node n(r, keyed_writes(60000));
  r.up();
  connection good = connection::to(n.port), bad = connection::to(n.port);
  int tries = 1000;
  const auto forged = [&](int seqid, const std::string& key) {
    fields f = usual(++tries, "kurs-meldung");
    f.emplace_back("unique", key);
    bad.send(execute(seqid, f, "forged"));
    return label(tries);
  };
  const auto unknown = [&](const std::string& call) {
    r.send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + call + "\"}");
    CHECK(read_reply(bad).kind == "failed");
  };
  good.send(keyed_try(1, "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(good).kind == "served");
  const std::string behind = forged(1, "a");
  CHECK(r.expect("start") == behind);
  unknown(behind);
  const std::string before = forged(2, "b");
  CHECK(r.expect("start") == before);
  good.send(keyed_try(2, "b"));
  r.end(r.expect("start"), "fine", "Yg==");  // while nobody knows yet of the other
  CHECK(result(read_reply(good)) == "b");
  unknown(before);
  good.send(keyed_try(3, "a") + keyed_try(4, "b"));
  CHECK(result(read_reply(good)) == "a" && result(read_reply(good)) == "b");
}

// A restart forgets what was kept in memory: the repeat runs in the new process, as the protocol has it.
void a_repeat_after_a_restart_runs_anew() {
  runtime first_runtime, second_runtime;
  const int port = free_port();
  node_options o = keyed_writes(60000);
  o.listen_port = port;
  {
    node first(first_runtime, o);
    first_runtime.up();
    connection c = connection::to(port);
    c.send(keyed_try(1, "a"));
    first_runtime.expect("start");
  }  // SIGKILL
  node second(second_runtime, o);
  second_runtime.up();
  connection c = connection::to(port);
  c.send(keyed_try(1, "a"));
  second_runtime.end(second_runtime.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"settle", the_link_breaks_while_runs_are_settled},
      {"late_ready", a_ready_that_is_read_late_is_no_restart},
      {"notices_again", notices_come_again},
      {"silent_runtime", a_silent_runtime_leaves_no_request_unanswered},
      {"short_deadline", deadlines_shorter_than_the_timers},
      {"last_step", what_came_before_the_last_step_is_answered},
      {"rests_to_the_end", a_client_that_rests_to_the_end_sees_it_in_order},
      {"half_written", answers_half_written_at_the_notice_come_whole},
      {"two_signals", two_signals_at_once},
      {"half_request", a_notice_to_leave_in_the_middle_of_a_request},
      {"leave_in_reload", a_notice_to_leave_during_a_reload},
      {"paused", signals_while_a_run_is_paused},
      {"leave_in_drain", a_notice_to_leave_during_a_drain},
      {"killed", killed_at_each_state},
      {"byte_by_byte", a_request_that_comes_byte_by_byte},
      {"never_reads", a_client_that_never_reads},
      {"reload_at_start", a_reload_during_the_start},
      {"leave_at_start", a_notice_to_leave_during_the_start},
      {"leave_before_runtime", a_notice_to_leave_before_the_runtime_is_up},
      {"floods", floods_leave_the_node_its_descriptors},
      {"fewer_descriptors", the_process_has_fewer_descriptors_than_the_settings_say},
      {"no_descriptor", no_descriptor_left_does_not_spin},
      {"too_many", one_connection_too_many_is_ended_in_order},
      {"dead_successor", a_successor_that_died_takes_nothing_over},
      {"drain_reload", a_drain_round_a_reload},
      {"repeats", repeats_share_one_run},
      {"repeats_window", repeats_round_the_end_of_the_window},
      {"repeats_left", repeats_of_what_never_ran_and_of_what_was_left},
      {"repeats_link", a_repeat_over_a_broken_link},
      {"taken_keys", a_taken_key_harms_only_who_took_it},
      {"repeats_restart", a_repeat_after_a_restart_runs_anew},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
