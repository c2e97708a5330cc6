// Idempotency of the real program: the answer that a duplicate gets while its primary is queued, while it
// runs, after it has ended, and after a crash or a lost connection interrupted it.
#include <filesystem>
#include <map>
#include <optional>
#include <set>

#include "keyed_site.hpp"

using namespace harness;

namespace {

// A duplicate gets the stored result byte for byte, on both fronts and also after a restart, and starts no
// second run.
void duplicates_get_the_stored_result() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  s.fake_runtime->end(call, "fine", "AP8B");  // 00 ff 01
  const std::string first = result(read_reply(c));
  CHECK(first == std::string("\x00\xff\x01", 3));
  c.send(write_of(2, 2, "k1"));
  CHECK(result(read_reply(c)) == first);
  connection u = s.uwsgi(uwsgi_write("u1"));
  connection a = s.server.accept();
  a.take(10);
  a.send(whole_response());
  CHECK(u.rest() == whole_response());
  CHECK(s.uwsgi(uwsgi_write("u1")).rest() == whole_response());
  s.kill();
  s.start();
  connection d = s.thrift();
  d.send(write_of(1, 3, "k1"));
  CHECK(result(read_reply(d)) == first);
  CHECK(s.uwsgi(uwsgi_write("u1")).rest() == whole_response());
  // The duplicates reached neither the runtime nor the uwsgi server: the next start is that of the new key.
  d.send(write_of(2, 4, "k2"));
  CHECK(s.fake_runtime->expect("start") == label(4));
  CHECK(!s.server.waiting(50));
}

// Duplicates share one run and each gets its own answer: one that arrives in the same read as the primary,
// and one that arrives while the primary runs.
void duplicates_are_coalesced() {
  site s;
  connection c = s.thrift();
  connection d = s.thrift();
  c.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  d.send(write_of(7, 3, "k1"));
  d.send(check(8));
  CHECK(read_reply(d).seqid == 8);  // so the node has read the duplicate before the run ends
  s.fake_runtime->end(call, "fine", "cQ==");
  std::set<int> seqids;
  for (int i = 0; i < 2; ++i) {
    const reply r = read_reply(c);
    CHECK(r.kind == "served" && result(r) == "q");
    CHECK(seqids.insert(r.seqid).second);
  }
  const reply third = read_reply(d);
  CHECK(third.kind == "served" && third.seqid == 7 && result(third) == "q");
  c.send(write_of(3, 5, "k2"));
  CHECK(s.fake_runtime->expect("start") == label(5));
}

// The window of a key opens when the attempt that runs arrives at the host, and a repeat that arrives before
// its end is a duplicate, no matter when either is read, also after a restart.
void window_is_measured_between_arrivals() {
  constexpr auto window = 4s;
  site s({.write_aim_ms = 650});  // a window is at least six times as long
  s.kill();
  s.replace_setting("window = 10m", "window = " + std::to_string(window / 1s) + "s");
  s.start();
  std::optional<connection> c = s.thrift();
  int attempts = 0;
  const auto send_as_of = [&](clock::time_point arrival) {
    ++attempts;
    const int ms_ago = static_cast<int>((clock::now() - arrival) / 1ms);
    c->send(write_of(attempts, attempts, "a", "price", "kurs-meldung", "isar-invest", ms_ago));
  };
  const auto first_arrival = clock::now() - 500ms;
  send_as_of(first_arrival);
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "YQ==");
  CHECK(result(read_reply(*c)) == "a");
  std::this_thread::sleep_until(first_arrival + window + 200ms);
  send_as_of(first_arrival + window - 100ms);  // within the window, and read after it
  CHECK(result(read_reply(*c)) == "a");
  const auto second_arrival = clock::now();
  send_as_of(second_arrival);  // after the window, although less than a window after the first was read
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "Yg==");
  CHECK(result(read_reply(*c)) == "b");
  s.kill();
  std::this_thread::sleep_until(second_arrival + window + 200ms);
  s.start();
  c = s.thrift();
  send_as_of(second_arrival + window - 100ms);
  CHECK(result(read_reply(*c)) == "b");
}

// A run continues when the client of its primary disconnects: waiting duplicates and later ones get the
// result.
void run_continues_after_client_disconnect() {
  site s;
  std::optional<connection> c = s.thrift();
  connection d = s.thrift();
  c->send(write_of(1, 1, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  d.send(write_of(1, 2, "k1"));
  d.send(check(2));
  CHECK(read_reply(d).seqid == 2);
  c.reset();
  std::this_thread::sleep_for(200ms);
  // The node has sent no stop for the run: expect("start") below would fail.
  s.fake_runtime->end(call, "fine", "cQ==");
  CHECK(result(read_reply(d)) == "q");
  // The only client disconnects: the run continues, and a later duplicate gets its result.
  {
    connection e = s.thrift();
    e.send(write_of(1, 3, "k2"));
    CHECK(s.fake_runtime->expect("start") == label(3));
  }
  std::this_thread::sleep_for(200ms);
  s.fake_runtime->end(label(3), "fine", "cQ==");
  d.send(write_of(3, 4, "k2"));
  CHECK(result(read_reply(d)) == "q");
  d.send(write_of(4, 5, "k3"));
  CHECK(s.fake_runtime->expect("start") == label(5));
}

// A key belongs to one tenant and one request class. A request that reuses a key with other content is
// answered with a conflict.
void keys_are_scoped() {
  site s({}, "", "keyed = yes\n window = 10m\n");
  connection c = s.thrift();
  c.send(write_of(1, 1, "k"));
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "cQ==");
  CHECK(read_reply(c).kind == "served");
  c.send(write_of(2, 2, "k", "price", "kurs-meldung", "lech-vermoegen"));
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "cg==");
  CHECK(result(read_reply(c)) == "r");
  c.send(write_of(3, 3, "k", "price", "kurs-abfrage"));
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "cw==");
  CHECK(result(read_reply(c)) == "s");
  // Other content under the same key is a conflict; the stored result of the first request stays.
  c.send(write_of(4, 4, "k", "another price"));
  const reply conflict = read_reply(c);
  CHECK(conflict.kind == "failed" && conflict.rest.find("conflict") != std::string::npos);
  // The same key on the other front is a conflict too: the stored result has the form of a Thrift answer.
  CHECK(starts_with(s.uwsgi(uwsgi_write("k")).rest(), "HTTP/1.1 422 "));
  c.send(write_of(5, 5, "k"));
  CHECK(result(read_reply(c)) == "q");
  CHECK(!s.server.waiting(50));
  // The conflict is also detected while the primary runs.
  connection u = s.uwsgi(uwsgi_write("u"));
  connection a = s.server.accept();
  CHECK(starts_with(s.uwsgi(uwsgi_write("u", "other")).rest(), "HTTP/1.1 422 "));
  a.send(whole_response());
  CHECK(u.rest() == whole_response());
}

// A request of a keyed class without a key, or with a key that is too long, is answered with an error and
// does not run.
void unusable_keys_are_rejected() {
  site s({}, "longest_key = 8");
  connection c = s.thrift();
  c.send(write_of(1, 1, ""));
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "123456789"));
  CHECK(read_reply(c).kind == "failed");
  CHECK(starts_with(s.uwsgi(uwsgi_write("")).rest(), "HTTP/1.1 400 "));
  CHECK(starts_with(s.uwsgi(uwsgi_write("123456789")).rest(), "HTTP/1.1 400 "));
  c.send(write_of(3, 3, "", "price", "kurs-abfrage"));  // this request class needs no key
  CHECK(s.fake_runtime->expect("start") == label(3));
  CHECK(!s.server.waiting(50));
}

// A run that a crash interrupts is never started again: its duplicates are answered with an unknown outcome.
// Results that were recorded before the crash are kept.
void crash_leaves_the_outcome_unknown() {
  site s;
  {
    connection c = s.thrift();
    c.send(write_of(1, 1, "k1") + write_of(2, 2, "k2"));
    s.fake_runtime->expect("start");
    s.fake_runtime->expect("start");
    s.fake_runtime->end(label(2), "fine", "cQ==");
    CHECK(result(read_reply(c)) == "q");
    s.kill();
  }
  s.start();
  connection c = s.thrift();
  c.send(write_of(1, 3, "k1"));
  const reply r = read_reply(c);
  CHECK(r.kind == "failed" && r.rest.find("outcome") != std::string::npos);
  c.send(write_of(2, 4, "k2"));
  CHECK(result(read_reply(c)) == "q");
  c.send(write_of(3, 5, "k5"));
  CHECK(s.fake_runtime->expect("start") == label(5));
  // The uwsgi front answers an unknown outcome with status 409 and a header.
  connection u = s.uwsgi(uwsgi_write("u1"));
  s.server.accept().take(10);  // the server closes the connection
  CHECK(starts_with(u.rest(), "HTTP/1.1 409 "));
  CHECK(s.uwsgi(uwsgi_write("u1")).rest().find("Outcome: unknown") != std::string::npos);
  CHECK(!s.server.waiting(50));
}

// A nack of the runtime proves that a request never ran: its key is released, and a later request with the
// key may run. Both hold after a crash, too.
void released_key_can_run_again() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.fake_runtime->send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + s.fake_runtime->expect("start") +
                       "\"}");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "k1"));
  CHECK(s.fake_runtime->expect("start") == label(2));
  s.fake_runtime->end(label(2), "fine", "cQ==");
  CHECK(result(read_reply(c)) == "q");
  // After a crash, the released key must not have an unknown outcome.
  c.send(write_of(3, 3, "k3"));
  s.fake_runtime->send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + s.fake_runtime->expect("start") +
                       "\"}");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(4, 4, "k4"));  // its intent is committed after the record of the release
  s.fake_runtime->expect("start");
  s.kill();
  s.start();
  connection d = s.thrift();
  d.send(write_of(1, 5, "k3"));
  CHECK(s.fake_runtime->expect("start") == label(5));
}

// A failure that the backend reports is a stored outcome: a duplicate gets the same failure and starts no
// run.
void reported_failure_is_stored() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fault");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "k1"));
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(3, 3, "k2"));
  CHECK(s.fake_runtime->expect("start") == label(3));
}

// When a queued primary is rejected, its waiting duplicate is rejected too and the key is released.
void rejected_primary_frees_its_key() {
  node_options o;
  o.cores = 1;
  o.aim_ms = 1000;
  o.write_aim_ms = 1000;
  site s(o);
  s.fake_runtime->stats = "1.0,1,0.1,3";  // all cores are busy, so that the node starts no second run
  connection c = s.thrift();
  connection d = s.thrift();
  c.send(execute(1, usual(100), "long"));
  const std::string busy = s.fake_runtime->expect("start");
  int refused = 0;
  // The queued write cannot meet its latency objective because the first run does not end; its duplicate is
  // rejected together with the write.
  d.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  for (int i = 0; i < 2; ++i) {
    const reply r = read_reply(d);
    CHECK(r.kind == "refused" || r.kind == "failed" || r.kind == "served");
    refused += r.kind == "refused";
  }
  CHECK(refused == 2);
  s.fake_runtime->end(busy, "fine", "cQ==");
  d.send(write_of(3, 3, "k1"));
  // The node may send the stop of the first run before the start.
  std::string line;
  do {
    line = s.fake_runtime->command();
  } while (member(line, "msg") != "start");
  CHECK(member(line, "call") == label(3));
}

// A keyed run continues past its deadline: the primary is answered with a failure, a later duplicate with the
// result.
void run_continues_past_its_deadline() {
  node_options o;
  o.aim_ms = 300;
  o.write_aim_ms = 300;
  site s(o);
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  const reply late = read_reply(c);
  CHECK(late.kind == "failed");
  s.fake_runtime->end(call, "fine", "cQ==");  // the node did not stop the run
  c.send(write_of(2, 2, "k1"));
  CHECK(result(read_reply(c)) == "q");
  // A duplicate whose deadline passes while it waits for its primary is answered `failed`, never `refused`.
  c.send(write_of(3, 3, "k2"));
  s.fake_runtime->expect("start");
  c.send(write_of(4, 4, "k2"));
  for (int i = 0; i < 2; ++i) CHECK(read_reply(c).kind == "failed");
}

// While the folder of stored results is full, new keys are rejected with a retry-after; reads and duplicates
// are still answered, and the folder stays within its configured size.
void full_folder_rejects_new_keys() {
  site s({}, "segment = 64KiB\n space = 256KiB");
  connection c = s.thrift();
  int seqid = 0, served = 0;
  std::string refused;
  const std::string blob = [] {
    std::string b;
    for (int i = 0; i < 900; ++i) b += "cXFx";
    return b;
  }();
  while (refused.empty()) {
    ++seqid;
    CHECK(seqid < 1000);
    c.send(write_of(seqid, seqid, "k" + std::to_string(seqid)));
    if (c.readable(1)) {
      const reply r = read_reply(c);
      CHECK(r.kind == "refused");
      refused = r.rest;
      break;
    }
    std::string line = s.fake_runtime->link.readable(300) ? s.fake_runtime->command() : "";
    if (line.empty()) {
      const reply r = read_reply(c);
      CHECK(r.kind == "refused");
      refused = r.rest;
      break;
    }
    s.fake_runtime->end(member(line, "call"), "fine", blob);
    CHECK(read_reply(c).kind == "served");
    ++served;
  }
  CHECK(served > 20);
  CHECK(refused.find("later") != std::string::npos);
  std::uint64_t bytes = 0;
  for (const auto& f : std::filesystem::directory_iterator(s.folder + "/results")) bytes += f.file_size();
  CHECK(bytes <= 256 << 10);
  c.send(write_of(1001, 1001, "k1"));
  CHECK(read_reply(c).kind == "served");
  c.send(execute(1002, usual(1002), "read"));
  CHECK(s.fake_runtime->expect("start") == label(1002));
  s.price_node->signal(SIGUSR1);
  s.price_node->logged("no_room=1");
}

// A primary and its waiting duplicate are both answered when the settings are reloaded and the node gets its
// shutdown notice while they run.
void drain_answers_coalesced_duplicates() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  s.price_node->reload(*s.fake_runtime, s.options);
  s.price_node->logged("reload");
  s.price_node->signal(SIGTERM);
  s.price_node->logged("drain");
  s.fake_runtime->end(call, "fine", "cQ==");
  int answers = 0;
  for (int i = 0; i < 3 && answers < 2; ++i) {
    const reply r = read_reply(c);
    if (r.kind == "closing") continue;
    CHECK(r.kind == "served" && result(r) == "q");
    ++answers;
  }
  CHECK(answers == 2);
  CHECK(s.price_node->wait() == 0);
}

// The link to the runtime is lost while a keyed run is open: the run continues and its end is reported on the
// next link. If the runtime has restarted, the outcome of the run is unknown.
void lost_link_keeps_the_run() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.fake_runtime->expect("start");
  s.fake_runtime->link.close();
  s.fake_runtime->up();
  c.send(write_of(2, 2, "k1"));
  c.send(check(3));
  CHECK(read_reply(c).seqid == 3);
  // The runtime reports the end of the run that it started before the link was lost.
  s.fake_runtime->end(call, "fine", "cQ==");
  for (int i = 0; i < 2; ++i) CHECK(result(read_reply(c)) == "q");
  // A restarted runtime no longer knows its runs, so that their outcomes are unknown.
  c.send(write_of(4, 4, "k4"));
  std::string line;
  do {
    line = s.fake_runtime->command();
  } while (member(line, "msg") != "start");
  s.fake_runtime->link.close();
  s.fake_runtime->serial = 0;
  s.fake_runtime->up("starting", 0);
  CHECK(read_reply(c).rest.find("outcome") != std::string::npos);
  c.send(write_of(5, 5, "k4"));
  CHECK(read_reply(c).rest.find("outcome") != std::string::npos);
}

// The folder of stored results is used by one process at a time: a second node serves, but rejects keyed
// requests. A damaged segment stops the start with the file and the offset until an operator sets it aside.
void locked_and_damaged_folders_are_reported() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "cQ==");
  CHECK(read_reply(c).kind == "served");
  c.send(write_of(2, 2, "k2"));
  s.fake_runtime->expect("start");
  const auto locked = run("results verify " + s.folder + "/results");
  CHECK(locked.second == 1 && locked.first.find("another process holds this folder") != std::string::npos);
  {
    runtime other;
    node_options o = s.options;
    const std::string first_port = std::to_string(s.uwsgi_port);
    o.operators.replace(o.operators.find(first_port), first_port.size(), std::to_string(free_port()));
    node second(other, o);
    other.up();
    // The second node serves, but does not open the folder: it refuses keyed requests without running them
    // until the first node releases the folder.
    second.logged(
        "another process holds this folder; keyed requests are rejected until the folder is released");
    connection d = connection::to(second.port);
    d.send(write_of(1, 3, "k3"));
    const reply refused = read_reply(d);
    CHECK(refused.kind == "refused" && refused.rest.find("later") != std::string::npos);
  }
  s.kill();
  const std::string results = s.folder + "/results";
  const auto list = run("results list " + results);
  CHECK(list.second == 0 && list.first.find("served until=") != std::string::npos);
  CHECK(list.first.find("key=k1 bytes=1") != std::string::npos);
  CHECK(list.first.find("in-doubt") != std::string::npos);
  CHECK(run("results show " + results + " isar-invest kurs-meldung k1").first == "q");
  CHECK(run("results show " + results + " isar-invest kurs-meldung k2").second == 1);
  CHECK(run("results verify " + results).first.find("keys=2 in_doubt=1") != std::string::npos);
  // A damaged record in the middle of a segment is reported with file and offset, and the node does not
  // start.
  const std::string segment = results + "/0000000000000001.seg";
  const auto flip_bit = [&](std::streamoff offset) {
    std::fstream f(segment, std::ios::in | std::ios::out | std::ios::binary);
    f.seekg(offset);
    const char byte = static_cast<char>(f.get());
    f.seekp(offset);
    f.put(static_cast<char>(byte ^ 1));
  };
  flip_bit(130);
  const auto broken = run("results verify " + results);
  CHECK(broken.second == 1 &&
        broken.first.find("0000000000000001.seg at byte 80: damaged") != std::string::npos);
  {
    node n(*s.fake_runtime, s.options);
    CHECK(n.wait() == 1);
    CHECK(n.log().find("0000000000000001.seg at byte 80") != std::string::npos);
  }
  flip_bit(130);
  flip_bit(8);  // in the format version
  CHECK(run("results verify " + results).first.find("format version") != std::string::npos);
  CHECK(run("results set-aside " + results + " 0000000000000001.seg").second == 0);
  s.start();
  connection d = s.thrift();
  d.send(write_of(1, 9, "k1"));
  CHECK(s.fake_runtime->expect("start") == label(9));
}

// Scrubbing finds a changed byte in a closed segment and logs the file and the byte's offset. The node still
// answers duplicates from stored results and stores new ones.
void scrubbing_finds_a_changed_byte() {
  site s({}, "scrub = 100ms\n segment = 64KiB\n space = 1MiB");
  connection c = s.thrift();
  std::string blob;
  for (int i = 0; i < 300; ++i) blob += "QUFB";
  // With `new_key` false the request is a duplicate of request `number` - 1000.
  const auto ask = [&](int number, bool new_key) {
    c.send(write_of(number, number, "k" + std::to_string(new_key ? number : number - 1000)));
    if (new_key) s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", blob);
    CHECK(read_reply(c).kind == "served");
  };
  for (int i = 1; i <= 150; ++i) ask(i, true);
  const std::string first = s.folder + "/results/0000000000000001.seg";
  CHECK(std::filesystem::exists(s.folder + "/results/0000000000000003.seg"));
  CHECK(s.price_node->log().find("scrub-results") == std::string::npos);
  {
    std::fstream file(first, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(20000);
    file.put('\x7f');
  }
  s.price_node->logged("background: scrub-results: " + first + " at byte ");
  ask(1150, false);  // a duplicate of request 150
  ask(151, true);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"stored_result", duplicates_get_the_stored_result},
      {"coalescing", duplicates_are_coalesced},
      {"window", window_is_measured_between_arrivals},
      {"client_disconnects", run_continues_after_client_disconnect},
      {"key_scope", keys_are_scoped},
      {"bad_keys", unusable_keys_are_rejected},
      {"crash", crash_leaves_the_outcome_unknown},
      {"released_key", released_key_can_run_again},
      {"stored_failure", reported_failure_is_stored},
      {"rejected_primary", rejected_primary_frees_its_key},
      {"deadline", run_continues_past_its_deadline},
      {"full_folder", full_folder_rejects_new_keys},
      {"drain", drain_answers_coalesced_duplicates},
      {"lost_link", lost_link_keeps_the_run},
      {"folders", locked_and_damaged_folders_are_reported},
      {"scrub", scrubbing_finds_a_changed_byte}};
  tests.at(argv[1])();
  return 0;
}
