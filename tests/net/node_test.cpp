// The price node as a process, between a balancer and the runtime.
#include <map>

#include "harness.hpp"

using namespace harness;

namespace {

// Guards against bodies changed on the way: any bytes in, any bytes out.
void serves_bodies_byte_for_byte() {
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

void takes_half_frames_and_stalls() {
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

// Guards against a poll that never waits: seen as a whole core of an idle node, on a writable link.
void idles() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  c.send(check(1));
  read_reply(c);
  const auto before = n.used();
  std::this_thread::sleep_for(1000ms);
  CHECK(n.used() - before < 500ms);
}

// A UDP socket that hears the reports to the catalog.
int catalog_at(int port) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  CHECK(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
  return fd;
}
void hears_reports(int fd, int count) {
  for (int i = 0; i < count; ++i) {
    pollfd p{fd, POLLIN, 0};
    CHECK(::poll(&p, 1, 3000) > 0);  // or the catalog forgets it
    char report[64] = "";
    CHECK(::recv(fd, report, sizeof report - 1, 0) > 0);
    CHECK(std::string(report) == "alive n0 passing");
  }
  ::close(fd);
}

// Guards against a node that dies or keeps silent at the start: the catalog's socket had no descriptor. And
// against one that is forgotten where one report in four is lost: many fit into the catalog's 3 s.
void reports_to_the_catalog() {
  runtime r;
  node n(r);
  const auto begun = clock::now();
  hears_reports(catalog_at(n.port), 12);
  CHECK(clock::now() - begun < 4500ms);
}

// Guards against the end of the program on SIGHUP, and against anything lost or said twice while the runtime
// and the catalog move: runs and the serial carry on.
void moves_to_new_addresses() {
  runtime old;
  node n(old);
  old.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a") + execute(2, usual(2), "b"));
  old.expect("start");
  old.expect("start");
  old.end(label(2), "fine", "YQ==");
  CHECK(read_reply(c).seqid == 2);
  runtime first, second;
  first.door.close();  // the first of two moves cannot be done before the second one is asked for
  node_options o;
  o.directory_port = free_port();
  const int catalog = catalog_at(o.directory_port);
  n.reload(first);
  n.logged("reload: runtime at");
  n.reload(second, o);
  c.send(execute(3, usual(3, "kurs-meldung"), "c"));
  // Whatever the order in which the node sees all this, request 3 starts once.
  int starts = 0;
  for (std::string line; old.link.next(line);) {  // until the node closes it
    if (old.answer_gauges(line)) continue;
    CHECK(member(line, "msg") == "start" && member(line, "call") == label(3));
    ++starts;
  }
  second.serial = old.serial;
  second.up();
  CHECK(second.synced == "1");
  if (starts == 0) CHECK(second.expect("start") == label(3));
  second.end(label(1), "fine", "YQ==");
  second.end(label(3), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served" && read_reply(c).kind == "served");
  c.send(execute(4, usual(4), "d"));
  CHECK(second.expect("start") == label(4));
  hears_reports(catalog, 2);
}

// Guards against a node that gives up a working link for an address where nobody listens yet.
void stays_where_it_is_until_the_new_address_answers() {
  runtime old;
  node n(old);
  old.up();
  connection c = connection::to(n.port);
  // A link that has not caught up yet is let go: the node must have read the gauges before it is told to
  // move.
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.end(old.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  runtime next;
  next.door.close();
  n.reload(next);
  n.logged("reload: runtime at");
  for (int i = 2; i <= 4; ++i) {
    c.send(execute(i, usual(i, "kurs-meldung"), "a"));
    old.end(old.expect("start"), "fine", "YQ==");
    CHECK(read_reply(c).kind == "served");
  }
}

// Guards against a bad file taken over, in part or whole, and against the end of the program because of one.
void keeps_the_old_configuration_where_the_new_is_bad() {
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

// Guards against two answers to one request: the runtime repeats notices after a new link.
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
  r.end(label(7), "fine", "YQ==");  // of nobody
  c.send(check(2));
  CHECK(read_reply(c).seqid == 2);
}

void fails_what_the_runtime_fails() {
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

void stops_what_nobody_waits_for() {
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
  c.close();  // a hangup says the same
  CHECK(r.expect("stop") == label(2));
}

// Guards against an answer held back until its deadline: what is given up is failed at once, and stopped.
void gives_up_at_once() {
  runtime r;
  node n(r, {.write_aim_ms = 400});
  r.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  r.expect("start");
  const auto begun = clock::now();
  CHECK(read_reply(c).kind == "failed");
  CHECK(clock::now() - begun < 1150ms);  // of a deadline at 1200
  CHECK(r.expect("stop") == label(1));
}

// Guards against one bad peer that disturbs the others.
void bad_input_stays_with_its_sender() {
  runtime r;
  node n(r);
  r.up();
  connection good = connection::to(n.port);
  good.send(execute(1, usual(1), "a"));
  r.expect("start");

  connection c;
  int seqid = 0;
  const auto changed = [&](const std::string& key, const std::string& value) {
    fields f = usual(100 + seqid);
    for (auto& [k, v] : f) {
      if (k == key) v = value;
    }
    return f;
  };
  const std::vector<std::pair<std::string, std::string>> wrong = {{"verb", "kurs-unbekannt"},
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
  for (const auto& [key, value] : wrong) {
    c = connection::to(n.port);
    c.send(execute(++seqid, changed(key, value), "a"));
    const reply failed = read_reply(c);
    CHECK(failed.kind == "failed" && failed.seqid == seqid);
  }
  c.send(frame(head(1, "destroy", ++seqid) + '\0'));
  CHECK(read_reply(c).kind == "exception");
  c.send(execute(++seqid, usual(200), std::string(2049, 'x')));
  CHECK(read_reply(c).kind == "exception");
  c.send(frame(head(1, "execute", ++seqid) + "\x0d"));
  CHECK(read_reply(c).kind == "exception");
  c.send(execute(++seqid, usual(300, "kurs-abfrage", 5000), "a"));  // another clock runs ahead
  r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.send("\x7f\xff\xff\xff garbage");
  CHECK(read_reply(c).kind == "closing" && c.rest().empty());

  connection no_thrift = connection::to(n.port);
  no_thrift.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(read_reply(no_thrift).kind == "closing");

  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(good).kind == "served");
  n.logged("bad-frame");
}

// Guards against a sender of bad messages that keeps the node busy for ever.
void many_bad_messages_end_a_connection() {
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
  connection oneway = connection::to(n.port);  // nothing is owed to these, but an end is
  for (int i = 1; i <= 20; ++i) oneway.send(frame(head(4, "destroy", i) + '\0'));
  CHECK(read_reply(oneway).kind == "closing" && oneway.rest().empty());
}

// Guards against a close that resets: who still sends when it is given up could lose the answer with it.
void a_huge_message_is_turned_down_at_once_and_read_to_its_end() {
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

// Guards against half messages that hold a connection for ever, also where a byte comes now and then.
void a_message_that_only_drips_in_is_given_up() {
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

// Guards callers against being taken for silent while it was the node that stood still.
void a_stall_of_the_node_is_no_silence() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port), half = connection::to(n.port);
  const std::string second = execute(1, usual(2), "b");
  half.send(second.substr(0, 40));
  std::this_thread::sleep_for(300ms);  // taken in
  n.signal(SIGSTOP);
  c.send(execute(1, usual(1), "a"));
  half.send(second.substr(40));
  std::this_thread::sleep_for(2500ms);
  n.signal(SIGCONT);
  for (int i = 0; i < 2; ++i) r.end(r.expect("start"), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served" && read_reply(half).kind == "served");
}

// Guards balancers against hundreds that open connections and say nothing: those go, the oldest first, and no
// connection that is in use.
void silent_connections_shut_nobody_out() {
  runtime r;
  node n(r,
         {.edit_from = "\"memory_mb\":192,\"sockets\":1024", .edit_to = "\"memory_mb\":32,\"sockets\":384"});
  r.up();
  std::vector<connection> used, silent;
  for (int i = 0; i < 200; ++i) {  // more than were let in when each had its whole buffer booked
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
  for (connection& c : silent) {  // in time by themselves, too
    CHECK(read_reply(c).kind == "closing" && c.rest().empty());
  }
  used.back().send(check(2));
  CHECK(read_reply(used.back()).seqid == 2);
}

void one_request_too_many_gets_an_exception() {
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

// Guards against a second effect, and against effects failed or runs forgotten, when the link to the runtime
// is lost: a start that may have arrived is probed with a stop, which pauses what runs.
void a_lost_link_loses_no_run() {
  runtime r;
  node n(r);
  r.up();
  connection c = connection::to(n.port);
  for (int i = 1; i <= 4; ++i) c.send(execute(i, usual(i, "kurs-meldung"), "a"));
  for (int i = 1; i <= 4; ++i) r.expect("start");
  r.send("{\"msg\":\"end\",\"serial\":1,\"call\":\"" + label(4) + "\",\"how\":\"fi");  // in mid-notice
  r.link.close();  // before the node could know whether its starts arrived
  c.send(execute(5, usual(5, "kurs-meldung"), "b"));
  n.logged("link-lost");
  r.link = r.door.accept();
  CHECK(member(r.link.line(), "serial") == "0");
  r.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}");
  r.end(label(4), "fine", "YQ==");  // ended meanwhile
  CHECK(r.answer_gauges(r.link.line()));
  CHECK(read_reply(c).seqid == 4);
  std::map<std::string, std::string> said;
  std::vector<std::string> questions;  // for gauges; the next one may come before the start of request 5
  while (said.size() < 4) {
    const std::string line = r.link.line();
    if (member(line, "msg") == "gauges") {
      questions.push_back(line);
    } else {
      CHECK(said.emplace(member(line, "call"), member(line, "msg")).second);
    }
  }
  CHECK(said[label(5)] == "start");  // never sent before
  CHECK(said[label(1)] == "stop" && said[label(2)] == "stop" && said[label(3)] == "stop");
  r.end(label(1), "broken_off");    // it ran, and is paused
  r.end(label(2), "fine", "YQ==");  // it ended as the stop came
  for (const std::string& question : questions) CHECK(r.answer_gauges(question));
  CHECK(r.expect("cont") == label(1));
  CHECK(r.expect("start") == label(3));  // nothing ended: it never arrived
  for (const int i : {1, 3, 5}) r.end(label(i), "fine", "YQ==");
  for (int i = 0; i < 4; ++i) CHECK(read_reply(c).kind == "served");
  r.link.close();
  r.up();
  CHECK(r.synced == std::to_string(r.serial));
}

// Guards against a stop for good where the operators' runtime cannot pause: an effect in doubt fails.
void where_a_stop_is_for_good_an_effect_in_doubt_fails() {
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
  CHECK(r.expect("start") == label(1));  // safe: running it twice does no harm
  const reply failed = read_reply(c);
  CHECK(failed.kind == "failed" && failed.seqid == 2);
}

// Guards an honest request against another one under its name, whichever comes first: the runtime tells which
// of them it knows. The other one fails, and never gets a result.
void a_taken_name_harms_only_who_took_it() {
  runtime r;
  node n(r);
  r.up();
  connection good = connection::to(n.port), bad = connection::to(n.port);
  bad.send(execute(1, usual(1), "forged"));
  CHECK(r.expect("start") == label(1));
  good.send(execute(1, usual(1), "a"));
  n.logged("is already used by an open request");
  r.send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + label(1) + "\"}");
  CHECK(read_reply(bad).kind == "failed");
  CHECK(r.expect("start") == label(1));
  bad.send(execute(2, usual(1), "forged again"));
  while (!bad.readable(5)) CHECK(!r.link.readable(5) || r.answer_gauges(r.link.line()));  // shows which runs
  CHECK(read_reply(bad).kind == "failed");
  r.end(label(1), "fine", "YQ==");
  CHECK(read_reply(good).kind == "served");
}

// Guards against runs awaited for ever from a runtime that was started anew.
void a_new_runtime_fails_what_ran_in_the_old_one() {
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

void a_runtime_that_comes_late_gets_what_waits() {
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

// Guards against runs begun for what came too long after the notice, and against a death with answers owed.
void drains() {
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
  c.send(execute(3, usual(3), "a"));  // soon after the notice: still run
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

// Guards against a move that is forgotten, or ends the program, while it drains.
void moves_while_it_drains() {
  runtime old, next;
  node n(old);
  old.up();
  connection c = connection::to(n.port);
  c.send(execute(1, usual(1, "kurs-meldung"), "a"));
  old.expect("start");
  n.signal(SIGTERM);
  n.logged("drain");
  n.reload(next);
  for (std::string line; old.link.next(line);) CHECK(old.answer_gauges(line));
  next.up();
  next.end(label(1), "fine", "YQ==");
  CHECK(read_reply(c).kind == "served");
  c.close();
  CHECK(n.wait() == 0);
}

// Guards callers against a close that crosses their next request: before the table is full, who asked just
// once is told to go, and who comes back is kept.
void a_filling_table_asks_the_unused_to_go() {
  runtime r;
  node n(r, {.edit_from = "\"sockets\":1024", .edit_to = "\"sockets\":128"});  // 64 connections
  r.up();
  std::vector<connection> regular, once;
  for (int i = 0; i < 60; ++i) {
    std::vector<connection>& kind = i < 20 ? regular : once;
    kind.push_back(connection::to(n.port));
    for (int k = 1; k <= (i < 20 ? 2 : 1); ++k) {
      kind.back().send(check(k));
      CHECK(read_reply(kind.back()).seqid == k);
    }
  }
  CHECK(read_reply(once.front()).kind == "closing");  // the longest unused of them
  CHECK(read_reply(once[5]).kind == "closing");
  for (connection& c : regular) CHECK(!c.readable(0));
  CHECK(!once.back().readable(0));
}

// Guards a request that waits unread in the system, on a connection just taken or long unused, against the
// close of that connection for the sake of a new one (seen as a request lost in a full table).
void a_full_table_closes_nobody_whose_request_is_here() {
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
  unused.front().send(check(2));  // the longest unused
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

void names_the_faulty_key() {
  const std::vector<std::vector<std::string>> wrong = {
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
  for (const auto& w : wrong) {
    runtime r;
    node_options o;
    o.edit_from = w[0];
    o.edit_to = w[1];
    node n(r, o);
    CHECK(n.wait() != 0);
    CHECK(n.log().find(w[2]) != std::string::npos);
    const std::string said = n.log();
    CHECK(std::count(said.begin(), said.end(), '\n') == 1);
  }
}

// Unusual, and legal: each starts and serves.
void unusual_settings_serve() {
  const std::vector<std::pair<std::string, std::string>> legal = {
      {"\"Name\":\"lech-vermoegen\"", "\"Name\":\"Lech & Söhne / KG: \\\"1\\\"\""},
      {"\"Objective\":20000000000", "\"Objective\":60000000000"},  // the deadline itself
      {"\"Objective\":20000000000,", ""},
      {"\"Effect\":\"safe\",", ""},
      {"\"QuotaPerS\":100.0", "\"QuotaPerS\":0"},
      {"\"OverloadFactor\":5.0", "\"OverloadFactor\":0"},
      {"\"Halt\":\"pause\"", "\"Halt\":\"silent\""},
      {"\"NCores\":4", "\"NCores\":1"},
      {"\"StartCapacity\":0.21,\"Cold\":18000000000", "\"StartCapacity\":1"},
      {"\"Tick\":2000000", "\"Tick\":2000000,\"Unheard\":{\"of\":[1,2,{\"x\":null}]}"},
      {"\"name\":\"n0\"", "\"name\":\"node_0.muc-1:a\""}};
  for (const auto& [from, to] : legal) {
    runtime r;
    node n(r, {.edit_from = from, .edit_to = to});
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
      {"bodies", serves_bodies_byte_for_byte},
      {"halves", takes_half_frames_and_stalls},
      {"idle", idles},
      {"catalog", reports_to_the_catalog},
      {"reload", moves_to_new_addresses},
      {"reload_early", stays_where_it_is_until_the_new_address_answers},
      {"reload_bad", keeps_the_old_configuration_where_the_new_is_bad},
      {"once", answers_once},
      {"failures", fails_what_the_runtime_fails},
      {"gone", stops_what_nobody_waits_for},
      {"given_up", gives_up_at_once},
      {"bad_input", bad_input_stays_with_its_sender},
      {"bad_messages", many_bad_messages_end_a_connection},
      {"huge", a_huge_message_is_turned_down_at_once_and_read_to_its_end},
      {"drip", a_message_that_only_drips_in_is_given_up},
      {"stall", a_stall_of_the_node_is_no_silence},
      {"silent", silent_connections_shut_nobody_out},
      {"too_many", one_request_too_many_gets_an_exception},
      {"lost_link", a_lost_link_loses_no_run},
      {"lost_link_drop", where_a_stop_is_for_good_an_effect_in_doubt_fails},
      {"taken_name", a_taken_name_harms_only_who_took_it},
      {"new_runtime", a_new_runtime_fails_what_ran_in_the_old_one},
      {"late_runtime", a_runtime_that_comes_late_gets_what_waits},
      {"drain", drains},
      {"reload_drain", moves_while_it_drains},
      {"filling", a_filling_table_asks_the_unused_to_go},
      {"full", a_full_table_closes_nobody_whose_request_is_here},
      {"counters", prints_counters_on_request},
      {"config", names_the_faulty_key},
      {"unusual", unusual_settings_serve},
  };
  tests.at(argv[1])();
  return 0;
}
