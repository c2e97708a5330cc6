// Tests of the price node process between a balancer and the runtime.
#include <map>

#include "harness.hpp"
#include "keyed_writes.hpp"

using namespace harness;

namespace {

// Guards against changes to bodies on the way: requests and results may contain any bytes.
void forwards_bodies_unchanged() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), std::string("\x00\xff{\"", 4)));
  const std::string start = r.command();
  CHECK(member(start, "msg") == "start" && member(start, "call") == label(1));
  CHECK(member(start, "service") == "kurs-abfrage" && member(start, "blob") == "AP97Ig==");
  r.end(label(1), "fine", "AAH+/w==");
  const reply served = read_reply(c);
  CHECK(served.kind == "served" && served.seqid == 1 && result(served) == std::string("\x00\x01\xfe\xff", 4));
  c.send(check(2));
  CHECK(read_reply(c).rest.find(std::string("\x02\x00\x03\x01", 4)) != std::string::npos);
}

// Frames arrive in parts, and a request arrives while the node is stopped. Guards against requests that are
// lost or answered twice in either case.
void reads_partial_frames_and_after_a_stop() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  const std::string whole = execute(1, usual(1), "a") + execute(2, usual(2), "b");
  for (const std::size_t size : {std::size_t{2}, std::size_t{7}, whole.size() / 2 - 9, whole.size() / 2}) {
    static std::size_t sent = 0;
    c.send(whole.substr(sent, size));
    sent += size;
    std::this_thread::sleep_for(30ms);
  }
  for (int i = 1; i <= 2; ++i) r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 1 && read_reply(c).seqid == 2);
  n.signal(SIGSTOP);
  c.send(execute(3, usual(3), "c"));
  std::this_thread::sleep_for(400ms);
  n.signal(SIGCONT);
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// Guards against a poll that never blocks: the idle node then used a whole core, because its link was
// always writable.
void idle_node_does_not_spin() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(check(1));
  read_reply(c);
  const auto cpu_before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - cpu_before < 500ms);
}

// Opens the UDP socket on which the service catalog receives the node's reports.
int open_catalog(int port) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  CHECK(::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return fd;
}
// Receives that many reports, each within 3 s of the one before it, and closes the socket.
void expect_reports(int fd, int count) {
  for (int i = 0; i < count; ++i) {
    pollfd polled{fd, POLLIN, 0};
    CHECK(::poll(&polled, 1, 3000) > 0);  // after 3 s without a report the catalog removes the node
    char report[64] = "";
    CHECK(::recv(fd, report, sizeof report - 1, 0) > 0);
    CHECK(std::string(report) == "alive n0 passing");
  }
  ::close(fd);
}

// Guards against a node that exits or sends no reports after its start, because the catalog socket got no
// descriptor; and against a node that the catalog removes where one report in four is lost: several reports
// must fit into the catalog's 3 s.
void reports_to_the_catalog() {
  runtime r;
  node n(r);
  const auto begun = clock::now();
  expect_reports(open_catalog(n.port), 12);
  CHECK(clock::now() - begun < 4500ms);
}

// Guards against a SIGHUP that ends the program, and against runs that are lost or started twice while the
// addresses of the runtime and the catalog change: runs and the serial number continue on the new link.
void moves_to_new_addresses() {
  runtime old_runtime;
  node n(old_runtime);
  old_runtime.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a") + execute(2, usual(2), "b"));
  old_runtime.expect("start");
  old_runtime.expect("start");
  old_runtime.end(label(2), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 2);
  runtime unreachable_runtime, new_runtime;
  unreachable_runtime.door.close();  // the first reload cannot complete before the second one is requested
  node_options o;
  o.directory_port = free_port();
  const int catalog = open_catalog(o.directory_port);
  n.reload(unreachable_runtime);
  n.logged("reload: runtime at");
  n.reload(new_runtime, o);
  c.send(execute(3, usual(3, "kurs-meldung"), "c"));
  // Request 3 must start once, in whichever order the node reads the signals and the request.
  int starts = 0;
  for (std::string line; old_runtime.link.next(line);) {  // until the node closes the old link
    if (old_runtime.answer_gauges(line)) continue;
    CHECK(member(line, "msg") == "start" && member(line, "call") == label(3));
    ++starts;
  }
  new_runtime.serial = old_runtime.serial;
  new_runtime.up();
  CHECK(new_runtime.synced_serial == "1");
  if (starts == 0) CHECK(new_runtime.expect("start") == label(3));
  new_runtime.end(label(1), "fine", "YQ==");
  new_runtime.end(label(3), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served" && read_reply(c).kind == "served");
  c.send(execute(4, usual(4), "d"));
  CHECK(new_runtime.expect("start") == label(4));
  expect_reports(catalog, 2);
}

// Guards against a node that closes a working link for a runtime address where nobody listens yet.
void keeps_the_old_link_until_the_new_address_answers() {
  runtime old_runtime;
  node n(old_runtime);
  old_runtime.up();
  connection c = connection::to(n.port);
  // A reload closes a link that has not finished its synchronization, so the node must have read the gauges
  // before the reload.
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.end(old_runtime.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  runtime new_runtime;
  new_runtime.door.close();
  n.reload(new_runtime);
  n.logged("reload: runtime at");
  for (int i = 2; i <= 4; ++i) {
    c.send(execute(i, usual(i, "kurs-meldung"), "a"));
    old_runtime.end(old_runtime.expect("start"), "fine", "YQ==");
    CHECK(read_reply(c).kind == "served");
  }
}

// Guards against an invalid configuration file that the node applies in part or in whole, or that ends the
// program.
void invalid_reload_keeps_the_current_configuration() {
  runtime r;
  node n(r);
  r.up();
  node_options bad;
  bad.edit_from = "\"directory\"";
  bad.edit_to = "\"directories\"";
  n.reload(r, bad);
  n.logged("reload: failed, the current configuration stays in effect: directory is missing");
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// Guards against two answers to one request when the runtime repeats an end notice, as it does on a new
// link.
void answers_once() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.expect("start");
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  --r.serial;
  r.end(label(1), "fine", "YQ==");
  r.end(label(7), "fine", "YQ==");  // the end of an unknown call
  c.send(check(2));
  CHECK(read_reply(c).seqid == 2);
}

// Guards against a request without an answer after the runtime reports a failed run or rejects its start.
void requests_fail_with_their_runs() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  int seqid = 0;
  for (const char* how : {"fault", "broken_off", "late"}) {
    ++seqid;
    c.send(execute(seqid, usual(seqid, "kurs-meldung"), "a"));
    r.end(r.expect("start"), how);
    const reply failed = read_reply(c);
    CHECK(failed.kind == "failed" && failed.seqid == seqid);
  }
  ++seqid;
  c.send(execute(seqid, usual(seqid), "a"));
  r.send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + r.expect("start") + "\"}");
  CHECK(read_reply(c).kind == "failed");
}

// Guards against runs that continue after their client has cancelled the request or closed the connection.
void cancelled_requests_stop_their_runs() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.expect("start");
  c.send(interrupt(1, 1));
  CHECK(r.expect("stop") == label(1));
  r.end(label(1), "broken_off");
  c.send(execute(2, usual(2), "a"));
  r.expect("start");
  c.close();  // a closed connection cancels its requests
  CHECK(r.expect("stop") == label(2));
}

// Guards against a failure that is sent only at the deadline: when the node stops waiting for a run, it
// must send the failure at once and stop the run.
void abandoned_request_fails_before_its_deadline() {
  runtime r;
  node n(r, {.write_aim_ms = 400});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  r.expect("start");
  const auto begun = clock::now();
  CHECK(read_reply(c).kind == "failed");
  CHECK(clock::now() - begun < 1150ms);  // the deadline is 1200 ms
  CHECK(r.expect("stop") == label(1));
}

// Guards against invalid input from one peer that affects the requests of others.
void invalid_input_affects_only_its_sender() {
  runtime r;
  node n(r);
  r.up();
  connection good = connection::to(n.port);
  good.send(execute(1, usual(1), "a"));
  r.expect("start");

  connection c;
  int seqid = 0;
  const auto with_field = [&](const std::string& key, const std::string& value) {
    fields header_fields = usual(100 + seqid);
    for (auto& [field_key, field_value] : header_fields) {
      if (field_key == key) field_value = value;
    }
    return header_fields;
  };
  const std::vector<std::pair<std::string, std::string>> invalid_fields = {{"verb", "kurs-unbekannt"},
                                                                           {"team", "nobody"},
                                                                           {"txn", "xyz"},
                                                                           {"door", "noon"},
                                                                           {"door", "99999999999999"},
                                                                           {"door", "-5"},
                                                                           {"cpu", "much"},
                                                                           {"cpu", "nan"},
                                                                           {"cpu", "-1"},
                                                                           {"ram", "inf"},
                                                                           {"ram", "0"},
                                                                           {"ram", "2000"},
                                                                           {"standing", "1"}};
  for (const auto& [key, value] : invalid_fields) {
    c = connection::to(n.port);
    c.send(execute(++seqid, with_field(key, value), "a"));
    const reply failed = read_reply(c);
    CHECK(failed.kind == "failed" && failed.seqid == seqid);
  }
  c.send(frame(head(1, "destroy", ++seqid) + '\0'));
  CHECK(read_reply(c).kind == "exception");
  c.send(execute(++seqid, usual(200), std::string(2049, 'x')));
  CHECK(read_reply(c).kind == "exception");
  c.send(frame(head(1, "execute", ++seqid) + "\x0d"));
  CHECK(read_reply(c).kind == "exception");
  c.send(execute(++seqid, usual(300, "kurs-abfrage", 5000), "a"));  // the sender's clock is 5 s ahead
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.send("\x7f\xff\xff\xff garbage");
  CHECK(read_reply(c).kind == "closing" && c.rest().empty());

  connection not_thrift = connection::to(n.port);
  not_thrift.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(read_reply(not_thrift).kind == "closing");

  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(good).kind == "served");
  n.logged("bad-frame");
}

// Guards against a client whose invalid messages keep the node busy without limit: after several of them
// the node must close the connection.
void many_invalid_messages_close_the_connection() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  std::string flood;
  for (int i = 1; i <= 200; ++i) flood += frame(head(1, "destroy", i) + '\0');
  c.send(flood);
  int exceptions = 0;
  while (read_reply(c).kind == "exception") ++exceptions;
  CHECK(exceptions > 0 && exceptions < 20 && c.rest().empty());
  // Oneway messages get no exception, but the connection must close.
  connection oneway = connection::to(n.port);
  for (int i = 1; i <= 20; ++i) oneway.send(frame(head(4, "destroy", i) + '\0'));
  CHECK(read_reply(oneway).kind == "closing" && oneway.rest().empty());
}

// The node rejects an oversized message at its length field and reads the rest of it. Guards against a
// close that resets the connection: a client that is still sending could lose the answer.
void oversized_message_is_rejected_and_discarded() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(be32(60000000));
  const std::string chunk(1 << 20, 'x');
  for (int i = 0; i < 57; ++i) c.send(chunk);
  CHECK(read_reply(c).kind == "closing" && c.rest().empty());
  CHECK(n.resident_kb() < (sanitized ? 400000 : 40000));
}

// Guards against incomplete messages that occupy a connection without limit, also if single bytes keep
// arriving at intervals.
void slow_message_closes_the_connection() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  const std::string whole = execute(1, usual(1), std::string(100, 'a'));
  std::size_t sent = 0;
  while (!c.readable(60)) {
    CHECK(sent < whole.size() - 1);
    c.send(whole.substr(sent++, 1));
  }
  CHECK(read_reply(c).kind == "closing" && c.rest().empty());
}

// Guards against a node that counts the time for which it was stopped itself as silence of its clients.
void time_while_stopped_is_not_client_silence() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port), half = connection::to(n.port);
  const std::string second = execute(1, usual(2), "b");
  half.send(second.substr(0, 40));
  std::this_thread::sleep_for(300ms);  // the node reads the first half
  n.signal(SIGSTOP);
  c.send(execute(1, usual(1), "a"));
  half.send(second.substr(40));
  std::this_thread::sleep_for(2500ms);
  n.signal(SIGCONT);
  for (int i = 0; i < 2; ++i) r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served" && read_reply(half).kind == "served");
}

// Guards against hundreds of silent connections that exclude active clients: the node must close silent
// connections, the oldest first, and no connection in use.
void silent_connections_do_not_exclude_clients() {
  runtime r;
  node n(r,
         {.edit_from = "\"memory_mb\":192,\"sockets\":1024", .edit_to = "\"memory_mb\":32,\"sockets\":384"});
  r.up();
  std::vector<connection> used, silent;
  for (int i = 0; i < 200; ++i) {  // more than fit into the memory limit if each reserved its whole buffer
    used.push_back(connection::to(n.port));
    used.back().send(i == 0 ? execute(1, usual(1), "a") : check(1));
    if (i > 0) read_reply(used.back());
  }
  for (int i = 0; i < 300; ++i) silent.push_back(connection::to(n.port));
  for (int i = 0; i < 100; ++i) {
    connection late = connection::to(n.port);
    late.send(check(1));
    CHECK(read_reply(late).seqid == 1);
    used.push_back(std::move(late));
  }
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(used.front()).kind == "served");
  for (connection& c : silent) {  // the remaining silent connections time out
    CHECK(read_reply(c).kind == "closing" && c.rest().empty());
  }
  used.back().send(check(2));
  CHECK(read_reply(used.back()).seqid == 2);
}

// Guards against a request beyond the limit of 32 per connection that starts a run or affects the other
// requests.
void request_beyond_the_connection_limit_gets_an_exception() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  for (int i = 1; i <= 33; ++i) c.send(execute(i, usual(i), "a"));
  const reply too_many = read_reply(c);
  CHECK(too_many.kind == "exception" && too_many.seqid == 33);
  std::map<std::string, int> starts;
  for (int i = 1; i <= 32; ++i) {
    const std::string call = r.expect("start");
    CHECK(++starts[call] == 1);
    r.end(call, "fine", "YQ==");
    CHECK(read_reply(c).kind == "served");
  }
}

// Guards against duplicate effects, effects that fail wrongly and runs that are forgotten when the link to
// the runtime is lost. Where a `start` may have arrived, the node sends a `stop` as a probe, which pauses the
// run if there is one and the cores move.
void lost_link_loses_no_run() {
  runtime r;
  node n(r, {.cores = 8});
  r.up();
  connection c = connection::to(n.port);
  for (int i = 1; i <= 4; ++i) c.send(execute(i, usual(i, "kurs-meldung"), "a"));
  c.send(execute(6, usual(6), "a"));
  for (int i = 1; i <= 5; ++i) r.expect("start");
  // The link is lost in the middle of the end notice.
  r.send("{\"msg\":\"end\",\"serial\":1,\"call\":\"" + label(4) + "\",\"how\":\"fi");
  r.link.close();  // before the node knows whether its starts arrived
  n.logged("link-lost");
  c.send(execute(5, usual(5, "kurs-meldung"), "b"));  // the node does not send it before the link is up again
  r.link = r.door.accept();
  CHECK(member(r.link.line(), "serial") == "0");
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  r.end(label(4), "fine", "YQ==");  // the run ended while the link was lost
  CHECK(r.answer_gauges(r.link.line()));
  CHECK(read_reply(c).seqid == 4);
  std::map<std::string, std::string> command_of_call;
  std::vector<std::string> gauges_queries;  // the next one may arrive before the start of request 5
  while (command_of_call.size() < 5) {
    const std::string line = r.link.line();
    if (member(line, "msg") == "gauges") {
      gauges_queries.push_back(line);
    } else {
      CHECK(command_of_call.emplace(member(line, "call"), member(line, "msg")).second);
    }
  }
  CHECK(command_of_call[label(5)] == "start");  // no start of request 5 was sent on the lost link
  for (const int i : {1, 2, 3, 6}) CHECK(command_of_call[label(i)] == "stop");
  r.end(label(1), "broken_off");    // the run was in progress and is now paused
  r.end(label(2), "fine", "YQ==");  // the run ended before the stop arrived
  for (const std::string& query : gauges_queries) CHECK(r.answer_gauges(query));
  CHECK(r.expect("cont") == label(1));
  // No event shows whether the starts of requests 3 and 6 arrived: a stop has no effect while the cores stand
  // still. Only the request that is safe to repeat is started again.
  CHECK(r.expect("start") == label(6));
  expect_no_start(r);
  for (const int i : {1, 3, 5, 6}) r.end(label(i), "fine", "YQ==");
  for (int i = 0; i < 5; ++i) CHECK(read_reply(c).kind == "served");
  r.link.close();
  r.up();
  CHECK(r.synced_serial == std::to_string(r.serial));
  n.wait_for_counter("starts_in_doubt", 4);
}

// The operators' runtime cannot pause runs, so a `stop` ends a run permanently. Guards against a repeated
// effect: a request whose effect is in doubt must fail.
void effect_in_doubt_fails_where_stop_is_permanent() {
  runtime r;
  node n(r, {.edit_from = "\"Halt\":\"pause\"", .edit_to = "\"Halt\":\"drop\""});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a") + execute(2, usual(2, "kurs-meldung"), "b"));
  r.expect("start");
  r.expect("start");
  r.link.close();
  r.up();
  CHECK(r.expect("stop") == label(2));
  CHECK(r.expect("start") == label(1));  // a safe request may run twice
  const reply failed = read_reply(c);
  CHECK(failed.kind == "failed" && failed.seqid == 2);
}

// Guards a genuine request against another request with the same request id, whichever arrives first: the
// runtime knows which request is genuine. The forged request must fail and never get a result.
void forged_request_id_fails_only_its_sender() {
  runtime r;
  node n(r);
  r.up();
  connection genuine_client = connection::to(n.port), forger = connection::to(n.port);
  forger.send(execute(1, usual(1), "forged"));
  CHECK(r.expect("start") == label(1));
  genuine_client.send(execute(1, usual(1), "a"));
  n.logged("is already used by an open request");
  r.send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + label(1) + "\"}");
  CHECK(read_reply(forger).kind == "failed");
  CHECK(r.expect("start") == label(1));
  forger.send(execute(2, usual(1), "forged again"));
  // An answered `gauges` query confirms to the node that the runtime accepted the genuine start.
  while (!forger.readable(5)) CHECK(!r.link.readable(5) || r.answer_gauges(r.link.line()));
  CHECK(read_reply(forger).kind == "failed");
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(genuine_client).kind == "served");
}

// Guards against a node that waits without limit for runs of a runtime that has restarted.
void runtime_restart_fails_its_runs() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  r.expect("start");
  r.link.close();
  r.up("starting", 0);
  CHECK(read_reply(c).kind == "failed");
}

// Guards against a request that is lost while the runtime is not ready yet.
void waiting_requests_start_when_the_runtime_is_ready() {
  runtime r;
  node n(r);
  const connection link_before_ready = r.door.accept();
  connection c = connection::to(n.port);
  c.send(check(1));
  CHECK(read_reply(c).seqid == 1);
  c.send(execute(2, usual(2), "a"));
  n.logged("start");
  r.link = connection();
  const_cast<connection&>(link_before_ready).close();
  r.up("starting", 0);
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
}

// Guards against runs that start for requests long after the shutdown notice, and against an exit with
// unanswered requests.
void graceful_shutdown_answers_every_request() {
  runtime r;
  node n(r, {.stop_ms = 4500});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.expect("start");
  n.signal(SIGTERM);
  n.logged("drain");
  c.send(check(2));
  CHECK(read_reply(c).rest.find(std::string("\x02\x00\x03\x00", 4)) != std::string::npos);
  c.send(execute(3, usual(3), "a"));  // soon after the notice, requests still run
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 3);
  std::this_thread::sleep_for(2700ms);
  c.send(execute(4, usual(4), "a"));
  const reply refused = read_reply(c);
  CHECK(refused.kind == "refused" && refused.seqid == 4 && refused.rest.find("later") != std::string::npos);
  const reply given_up = read_reply(c);
  CHECK(given_up.kind == "failed" && given_up.seqid == 1);
  CHECK(read_reply(c).kind == "closing");
  c.close();
  CHECK(n.wait() == 0);
  CHECK(n.log().find("counters") != std::string::npos);
}

// Guards against a reload that is ignored, or that ends the program, during a graceful shutdown.
void reload_during_graceful_shutdown() {
  runtime old_runtime, new_runtime;
  node n(old_runtime);
  old_runtime.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old_runtime.expect("start");
  n.signal(SIGTERM);
  n.logged("drain");
  n.reload(new_runtime);
  for (std::string line; old_runtime.link.next(line);) CHECK(old_runtime.answer_gauges(line));
  new_runtime.up();
  new_runtime.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// Guards clients against a close that crosses their next request: before the connection table is full, the
// node sends `closing` to clients that sent only one request, and keeps clients that sent more.
void nearly_full_table_closes_unused_connections() {
  runtime r;
  node n(r, {.edit_from = "\"sockets\":1024", .edit_to = "\"sockets\":128"});  // 64 connections
  r.up();
  std::vector<connection> regular, single_use;
  for (int i = 0; i < 60; ++i) {
    std::vector<connection>& kind = i < 20 ? regular : single_use;
    kind.push_back(connection::to(n.port));
    for (int k = 1; k <= (i < 20 ? 2 : 1); ++k) {
      kind.back().send(check(k));
      CHECK(read_reply(kind.back()).seqid == k);
    }
  }
  CHECK(read_reply(single_use.front()).kind == "closing");  // the longest unused single-use connection
  CHECK(read_reply(single_use[5]).kind == "closing");
  for (connection& c : regular) CHECK(!c.readable(0));
  CHECK(!single_use.back().readable(0));
}

// Guards against a full table in which the node closes a connection for the sake of a new one although an
// unread request waits in its socket; the connection is either new or long unused. Such requests were lost.
void full_table_keeps_connections_with_unread_requests() {
  runtime r;
  node n(r, {.edit_from = "\"sockets\":1024", .edit_to = "\"sockets\":128"});  // 64 connections
  r.up();
  std::vector<connection> unused;
  for (int i = 0; i < 64; ++i) {
    unused.push_back(connection::to(n.port));
    unused.back().send(check(1));
    read_reply(unused.back());
  }
  n.signal(SIGSTOP);
  std::vector<connection> asking;
  for (int i = 0; i < 20; ++i) {
    asking.push_back(connection::to(n.port));
    asking.back().send(check(1));
  }
  unused.front().send(check(2));  // the longest unused connection
  n.signal(SIGCONT);
  for (connection& c : asking) CHECK(read_reply(c).seqid == 1);
  CHECK(read_reply(unused.front()).seqid == 2);
}

void prints_counters_on_request() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1), "a"));
  r.end(r.expect("start"), "fine", "YQ==");
  read_reply(c);
  n.signal(SIGUSR1);
  n.logged("taken_in=1 sent=1 served=1");
}

// Each invalid configuration must end the program with one log line that names the faulty key.
void configuration_errors_name_the_key() {
  const std::vector<std::vector<std::string>> invalid = {
      {"\"runtime\"", "\"runtimes\"", "runtime"},
      {"\"NCores\":4", "\"NCores\":0", "settings.Extra.NCores"},
      {"\"Deadline\":60000000000", "\"Deadline\":\"soon\"", "settings.Classes.0.Deadline"},
      {"\"stop_ms\":3200", "\"stop_ms\":\"soon\"", "stop_ms"},
      {"\"sockets\":1024", "\"sockets\":3", "limits.sockets"},
      {"\"memory_mb\":192", "\"memory_mb\":1", "limits.memory_mb"},
      {"\"listen\":\"", "\"listen\":\"nowhere", "listen"},
      {"\"Classes\":[", "\"Classes\":[],\"Others\":[", "settings.Classes contains no class"},
      {"\"Effect\":\"unsafe\"", "\"Effect\":\"sometimes\"", "settings.Classes.1.Effect"},
      {"\"Objective\":20000000000", "\"Objective\":60000000001",
       "settings.Classes.0.Deadline is shorter than"},
      {"\"Deadline\":60000000000,", "", "settings.Classes.0.Deadline is missing"},
      {"\"Deadline\":60000000000", "\"Deadline\":-1", "settings.Classes.0.Deadline"},
      {"\"limits\"", "\"bounds\"", "limits is not an object"},
      {"\"sockets\":1024", "\"sockets\":-1024", "limits.sockets"},
      {"\"cores\":1.0,\"memory_mb\":192", "\"cores\":1.0", "limits.memory_mb is missing"},
      {",\"sockets\":1024", "", "limits.sockets is missing"},
      {"\"cores\":1.0", "\"cores\":0", "limits.cores"},
      {"\"Name\":\"kurs-abfrage\"", "\"Name\":\"kurs\\nabfrage\"",
       "settings.Classes.0.Name contains a control character"},
      {"\"Name\":\"kurs-abfrage\"", "\"Name\":\"kurs-meldung\"", "settings.Classes.1.Name is used twice"},
      {"\"Name\":\"lech-vermoegen\"", "\"Name\":\"isar-invest\"", "settings.Tenants.1.Name is used twice"},
      {"\"Name\":\"isar-invest\"", "\"Name\":\"\"", "settings.Tenants.0.Name is missing"},
      {"\"QuotaPerS\":100.0", "\"QuotaPerS\":-1.0", "settings.Tenants.0.QuotaPerS"},
      {"\"Credit\":1", "\"Credit\":-1", "settings.Classes.0.Credit"},
      {"\"OverloadFactor\":5.0", "\"OverloadFactor\":-5.0", "settings.Safety.OverloadFactor"},
      {"\"RunFactor\":8.0", "\"RunFactor\":-8.0", "settings.Extra.RunFactor"},
      {"\"Halt\":\"pause\"", "\"Halt\":\"maybe\"", "settings.Extra.Halt"},
      {"\"DrainGrace\":2500000000", "\"DrainGrace\":-1", "settings.Safety.DrainGrace"},
      {"\"name\":\"n0\"", "\"name\":\"n/0\"", "name contains a space, a slash"},
      {"{", "[", "not valid JSON"}};
  for (const auto& edit : invalid) {
    runtime r;
    node_options o;
    o.edit_from = edit[0];
    o.edit_to = edit[1];
    node n(r, o);
    CHECK(n.wait() != 0);
    CHECK(n.log().find(edit[2]) != std::string::npos);
    const std::string log = n.log();
    CHECK(std::count(log.begin(), log.end(), '\n') == 1);
  }
}

// Settings that are unusual and valid: with each of them the node must start and serve.
void unusual_settings_serve() {
  const std::vector<std::pair<std::string, std::string>> valid_edits = {
      {"\"Name\":\"lech-vermoegen\"", "\"Name\":\"Lech & Söhne / KG: \\\"1\\\"\""},
      {"\"Objective\":20000000000", "\"Objective\":60000000000"},  // equal to the deadline
      {"\"Objective\":20000000000,", ""},
      {"\"Effect\":\"safe\",", ""},
      {"\"QuotaPerS\":100.0", "\"QuotaPerS\":0"},
      {"\"OverloadFactor\":5.0", "\"OverloadFactor\":0"},
      {"\"Halt\":\"pause\"", "\"Halt\":\"silent\""},
      {"\"NCores\":4", "\"NCores\":1"},
      {"\"StartCapacity\":0.21,\"Cold\":18000000000", "\"StartCapacity\":1"},
      {"\"Tick\":2000000", "\"Tick\":2000000,\"Unheard\":{\"of\":[1,2,{\"x\":null}]}"},
      {"\"name\":\"n0\"", "\"name\":\"node_0.muc-1:a\""}};
  for (const auto& [pattern, replacement] : valid_edits) {
    runtime r;
    node n(r, {.edit_from = pattern, .edit_to = replacement});
    r.up();
    connection c = connection::to(n.port);
    c.send(execute(1, usual(1), "a") + execute(2, usual(2, "kurs-meldung"), "b"));
    for (int i = 0; i < 2; ++i) r.end(r.expect("start"), "fine", "YQ==");
    for (int i = 0; i < 2; ++i) CHECK(read_reply(c).kind == "served");
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"bodies", forwards_bodies_unchanged},
      {"partial_frames", reads_partial_frames_and_after_a_stop},
      {"idle", idle_node_does_not_spin},
      {"catalog", reports_to_the_catalog},
      {"reload", moves_to_new_addresses},
      {"reload_unreachable", keeps_the_old_link_until_the_new_address_answers},
      {"reload_invalid", invalid_reload_keeps_the_current_configuration},
      {"one_answer", answers_once},
      {"failures", requests_fail_with_their_runs},
      {"cancelled", cancelled_requests_stop_their_runs},
      {"failed_before_deadline", abandoned_request_fails_before_its_deadline},
      {"invalid_input", invalid_input_affects_only_its_sender},
      {"invalid_messages", many_invalid_messages_close_the_connection},
      {"oversized", oversized_message_is_rejected_and_discarded},
      {"slow_message", slow_message_closes_the_connection},
      {"stopped_node", time_while_stopped_is_not_client_silence},
      {"silent_connections", silent_connections_do_not_exclude_clients},
      {"too_many_requests", request_beyond_the_connection_limit_gets_an_exception},
      {"lost_link", lost_link_loses_no_run},
      {"lost_link_without_pause", effect_in_doubt_fails_where_stop_is_permanent},
      {"forged_request_id", forged_request_id_fails_only_its_sender},
      {"runtime_restart", runtime_restart_fails_its_runs},
      {"late_runtime", waiting_requests_start_when_the_runtime_is_ready},
      {"shutdown", graceful_shutdown_answers_every_request},
      {"reload_in_shutdown", reload_during_graceful_shutdown},
      {"nearly_full_table", nearly_full_table_closes_unused_connections},
      {"full_table", full_table_keeps_connections_with_unread_requests},
      {"counters", prints_counters_on_request},
      {"configuration_errors", configuration_errors_name_the_key},
      {"unusual_settings", unusual_settings_serve},
  };
  tests.at(argv[1])();
  return 0;
}
