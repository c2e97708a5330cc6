// Idempotency of the real program: what a duplicate is answered while its primary is queued, runs, has ended,
// or was cut off.
#include <sys/stat.h>

#include <filesystem>
#include <map>
#include <optional>
#include <set>

#include "harness.hpp"
#include "uwsgi_peer.hpp"

using namespace harness;

namespace {

struct site {
  explicit site(node_options o = {}, std::string more_keyed = "", const std::string& more = "")
      : options(std::move(o)) {
    char name[] = "/tmp/marblewharf-keyed-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    const std::string host = "\"" + own_host() + ":";
    uwsgi_port = free_port();
    options.operators =
        "uwsgi {\n listen = " + host + std::to_string(uwsgi_port) + "\"\n servers = {" + host +
        std::to_string(server.port) +
        "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n"
        "class kurs-abfrage {\n uwsgi_values = {\"/kurs/abfrage\"}\n " +
        more +
        "}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n}\n"
        "keyed {\n folder = \"" +
        folder + "/results\"\n uwsgi_var = KEY\n thrift_field = key\n " + more_keyed + "\n}\n";
    start();
  }
  ~site() {
    n.reset();
    std::filesystem::remove_all(folder);
  }
  void start() {
    n = std::make_unique<node>(*r, options);
    r->up();
  }
  // As a crash would end it.
  void kill() {
    n.reset();
    r->link.close();
  }
  connection thrift() { return connection::to(n->port); }
  connection uwsgi(const std::string& bytes) {
    connection c = connection::to(uwsgi_port);
    c.send(bytes);
    return c;
  }

  node_options options;
  std::string folder;
  std::unique_ptr<runtime> r = std::make_unique<runtime>();
  listener server;
  int uwsgi_port;
  std::unique_ptr<node> n;
};

std::string write_of(int seqid, int label_number, const std::string& key, const std::string& body = "price",
                     const std::string& verb = "kurs-meldung", const std::string& team = "isar-invest") {
  fields f = usual(label_number, verb);
  for (auto& [k, v] : f) {
    if (k == "team") v = team;
  }
  if (!key.empty()) f.emplace_back("key", key);
  return execute(seqid, f, body);
}
std::string uwsgi_write(const std::string& key, const std::string& body = "price",
                        const std::string& path = "/kurs/meldung",
                        const std::string& tenant = "isar-invest") {
  fields vars = {{"PATH_INFO", path},
                 {"REMOTE_USER", tenant},
                 {"REQUEST_METHOD", "POST"},
                 {"CONTENT_LENGTH", std::to_string(body.size())}};
  if (!key.empty()) vars.emplace_back("KEY", key);
  return uwsgi_peer::packet(vars, body);
}
bool starts_with(const std::string& text, const std::string& with) {
  return text.rfind(with, 0) == 0;
}

std::string whole_response() {
  return std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n") + std::string("d\0ne", 4);
}

// The stored result: byte for byte the same, on both fronts, also after a restart, and nothing runs again.
void duplicates_get_the_stored_result() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.r->expect("start");
  s.r->end(call, "fine", "AP8B");  // 00 ff 01
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
  // Nothing came to the runtime or the server meanwhile.
  d.send(write_of(2, 4, "k2"));
  CHECK(s.r->expect("start") == label(4));
  CHECK(!s.server.waiting(50));
}

// One run, one answer each: in one read, and while it runs.
void duplicates_are_coalesced() {
  site s;
  connection c = s.thrift();
  connection d = s.thrift();
  c.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  const std::string call = s.r->expect("start");
  d.send(write_of(7, 3, "k1"));
  d.send(check(8));
  CHECK(read_reply(d).seqid == 8);  // it was read before the end comes
  s.r->end(call, "fine", "cQ==");
  std::set<int> seqids;
  for (int i = 0; i < 2; ++i) {
    const reply r = read_reply(c);
    CHECK(r.kind == "served" && result(r) == "q");
    CHECK(seqids.insert(r.seqid).second);
  }
  const reply third = read_reply(d);
  CHECK(third.kind == "served" && third.seqid == 7 && result(third) == "q");
  c.send(write_of(3, 5, "k2"));
  CHECK(s.r->expect("start") == label(5));
}

// A client that cancels takes nothing from the others.
void cancelled_primary_runs_on_for_duplicates() {
  site s;
  std::optional<connection> c = s.thrift();
  connection d = s.thrift();
  c->send(write_of(1, 1, "k1"));
  const std::string call = s.r->expect("start");
  d.send(write_of(1, 2, "k1"));
  d.send(check(2));
  CHECK(read_reply(d).seqid == 2);
  c.reset();
  std::this_thread::sleep_for(200ms);
  s.r->end(call, "fine", "cQ==");  // no stop came before: expect() below would see it
  CHECK(result(read_reply(d)) == "q");
  // All have cancelled: the run goes on, and a later duplicate gets its result.
  {
    connection e = s.thrift();
    e.send(write_of(1, 3, "k2"));
    CHECK(s.r->expect("start") == label(3));
  }
  std::this_thread::sleep_for(200ms);
  s.r->end(label(3), "fine", "cQ==");
  d.send(write_of(3, 4, "k2"));
  CHECK(result(read_reply(d)) == "q");
  d.send(write_of(4, 5, "k3"));
  CHECK(s.r->expect("start") == label(5));
}

// The key is bound to tenant and class, and to what was asked for.
void keys_are_scoped() {
  site s({}, "", "keyed = yes\n window = 10m\n");
  connection c = s.thrift();
  c.send(write_of(1, 1, "k"));
  s.r->end(s.r->expect("start"), "fine", "cQ==");
  CHECK(read_reply(c).kind == "served");
  c.send(write_of(2, 2, "k", "price", "kurs-meldung", "lech-vermoegen"));
  s.r->end(s.r->expect("start"), "fine", "cg==");
  CHECK(result(read_reply(c)) == "r");
  c.send(write_of(3, 3, "k", "price", "kurs-abfrage"));
  s.r->end(s.r->expect("start"), "fine", "cw==");
  CHECK(result(read_reply(c)) == "s");
  // Other content: an error of its own, and the first is undisturbed.
  c.send(write_of(4, 4, "k", "another price"));
  const reply conflict = read_reply(c);
  CHECK(conflict.kind == "failed" && conflict.rest.find("conflict") != std::string::npos);
  // The same key on the other front asks for something else: its result would be of another form.
  CHECK(starts_with(s.uwsgi(uwsgi_write("k")).rest(), "HTTP/1.1 422 "));
  c.send(write_of(5, 5, "k"));
  CHECK(result(read_reply(c)) == "q");
  CHECK(!s.server.waiting(50));
  // While the first runs, too.
  connection u = s.uwsgi(uwsgi_write("u"));
  connection a = s.server.accept();
  CHECK(starts_with(s.uwsgi(uwsgi_write("u", "other")).rest(), "HTTP/1.1 422 "));
  a.send(whole_response());
  CHECK(u.rest() == whole_response());
}

void unusable_keys_are_rejected() {
  site s({}, "longest_key = 8");
  connection c = s.thrift();
  c.send(write_of(1, 1, ""));
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "123456789"));
  CHECK(read_reply(c).kind == "failed");
  CHECK(starts_with(s.uwsgi(uwsgi_write("")).rest(), "HTTP/1.1 400 "));
  CHECK(starts_with(s.uwsgi(uwsgi_write("123456789")).rest(), "HTTP/1.1 400 "));
  c.send(write_of(3, 3, "", "price", "kurs-abfrage"));  // that class is not keyed
  CHECK(s.r->expect("start") == label(3));
  CHECK(!s.server.waiting(50));
}

// A run that a crash cut off never runs again, and its client is answered so; a recorded result stays.
void crash_leaves_the_outcome_unknown() {
  site s;
  {
    connection c = s.thrift();
    c.send(write_of(1, 1, "k1") + write_of(2, 2, "k2"));
    s.r->expect("start");
    s.r->expect("start");
    s.r->end(label(2), "fine", "cQ==");
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
  CHECK(s.r->expect("start") == label(5));
  // On uwsgi the status is its own.
  connection u = s.uwsgi(uwsgi_write("u1"));
  s.server.accept().take(10);  // and hangs up
  CHECK(starts_with(u.rest(), "HTTP/1.1 409 "));
  CHECK(s.uwsgi(uwsgi_write("u1")).rest().find("Outcome: unknown") != std::string::npos);
  CHECK(!s.server.waiting(50));
}

// A request that is proven never to have run frees its key.
void released_key_may_run() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.r->send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + s.r->expect("start") + "\"}");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "k1"));
  CHECK(s.r->expect("start") == label(2));
  s.r->end(label(2), "fine", "cQ==");
  CHECK(result(read_reply(c)) == "q");
  // Nor does a crash make a doubt of it.
  c.send(write_of(3, 3, "k3"));
  s.r->send("{\"msg\":\"nack\",\"how\":\"start\",\"call\":\"" + s.r->expect("start") + "\"}");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(4, 4, "k4"));  // a commit behind that of the release
  s.r->expect("start");
  s.kill();
  s.start();
  connection d = s.thrift();
  d.send(write_of(1, 5, "k3"));
  CHECK(s.r->expect("start") == label(5));
}

// A failure that the backend states is an outcome: a duplicate gets it too and runs nothing.
void stated_failure_is_stored() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.r->end(s.r->expect("start"), "fault");
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(2, 2, "k1"));
  CHECK(read_reply(c).kind == "failed");
  c.send(write_of(3, 3, "k2"));
  CHECK(s.r->expect("start") == label(3));
}

// A duplicate of a queued primary is rejected with it, and the key is free.
void rejected_primary_frees_its_key() {
  node_options o;
  o.cores = 1;
  o.aim_ms = 1000;
  o.write_aim_ms = 1000;
  site s(o);
  s.r->stats = "1.0,1,0.1,3";  // no core idles, so that no second run is added
  connection c = s.thrift();
  connection d = s.thrift();
  c.send(execute(1, usual(100), "long"));
  const std::string busy = s.r->expect("start");
  int refused = 0;
  // The held write cannot make its aim behind a run that does not end; its repeat goes with it.
  d.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  for (int i = 0; i < 2; ++i) {
    const reply r = read_reply(d);
    CHECK(r.kind == "refused" || r.kind == "failed" || r.kind == "served");
    refused += r.kind == "refused";
  }
  CHECK(refused == 2);
  s.r->end(busy, "fine", "cQ==");
  d.send(write_of(3, 3, "k1"));
  // The stop of the first run may come between.
  std::string line;
  do {
    line = s.r->command();
  } while (member(line, "msg") != "start");
  CHECK(member(line, "call") == label(3));
}

// A run whose deadline passed goes on; its duplicate gets the result.
void run_goes_on_past_its_deadline() {
  node_options o;
  o.aim_ms = 300;
  o.write_aim_ms = 300;
  site s(o);
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.r->expect("start");
  const reply late = read_reply(c);
  CHECK(late.kind == "failed");
  s.r->end(call, "fine", "cQ==");  // nothing stopped it
  c.send(write_of(2, 2, "k1"));
  CHECK(result(read_reply(c)) == "q");
  // A joined repeat that runs out of time is failed, never refused.
  c.send(write_of(3, 3, "k2"));
  s.r->expect("start");
  c.send(write_of(4, 4, "k2"));
  for (int i = 0; i < 2; ++i) CHECK(read_reply(c).kind == "failed");
}

// No capacity: new writes are rejected with a retry-after, reads and duplicates go on.
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
    std::string line = s.r->link.readable(300) ? s.r->command() : "";
    if (line.empty()) {
      const reply r = read_reply(c);
      CHECK(r.kind == "refused");
      refused = r.rest;
      break;
    }
    s.r->end(member(line, "call"), "fine", blob);
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
  CHECK(s.r->expect("start") == label(1002));
  s.n->signal(SIGUSR1);
  s.n->logged("no_room=1");
}

// A drain and a reload with a coalesced duplicate: each client gets its answer.
void drain_answers_coalesced_duplicates() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1") + write_of(2, 2, "k1"));
  const std::string call = s.r->expect("start");
  s.n->reload(*s.r, s.options);
  s.n->logged("reload");
  s.n->signal(SIGTERM);
  s.n->logged("drain");
  s.r->end(call, "fine", "cQ==");
  int answers = 0;
  for (int i = 0; i < 3 && answers < 2; ++i) {
    const reply r = read_reply(c);
    if (r.kind == "closing") continue;
    CHECK(r.kind == "served" && result(r) == "q");
    ++answers;
  }
  CHECK(answers == 2);
  CHECK(s.n->wait() == 0);
}

// The link is lost with an intent open: the run goes on and its end is reported on the next link.
void lost_link_keeps_the_run() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  const std::string call = s.r->expect("start");
  s.r->link.close();
  s.r->up();
  c.send(write_of(2, 2, "k1"));
  c.send(check(3));
  CHECK(read_reply(c).seqid == 3);
  // It is asked whether the start came; then the end is told.
  s.r->end(call, "fine", "cQ==");
  for (int i = 0; i < 2; ++i) CHECK(result(read_reply(c)) == "q");
  // A runtime that came up anew has forgotten its runs: nobody knows how they ended.
  c.send(write_of(4, 4, "k4"));
  std::string line;
  do {
    line = s.r->command();
  } while (member(line, "msg") != "start");
  s.r->link.close();
  s.r->serial = 0;
  s.r->up("starting", 0);
  CHECK(read_reply(c).rest.find("outcome") != std::string::npos);
  c.send(write_of(5, 5, "k4"));
  CHECK(read_reply(c).rest.find("outcome") != std::string::npos);
}

// The outcome is unknown and the server can be asked: its reply is recorded, and inquiries are bounded.
void inquiries_find_the_outcome() {
  site s({}, "inquiry_var = INQUIRY\n inquiry_value = yes\n inquiry_tries = 2\n inquiry_pause = 20ms");
  const auto cut_off = [&](const std::string& key) {
    connection u = s.uwsgi(uwsgi_write(key));
    s.server.accept().take(10);
    CHECK(starts_with(u.rest(), "HTTP/1.1 409 "));
  };
  const auto asked = [&] {
    connection a = s.server.accept();
    const std::string head = a.take(4);
    const std::string vars =
        a.take(static_cast<std::uint8_t>(head[1]) | static_cast<std::size_t>(head[2]) << 8);
    CHECK(vars.find("INQUIRY") != std::string::npos);
    return a;
  };
  cut_off("known");
  connection u = s.uwsgi(uwsgi_write("known"));
  asked().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  asked().send(whole_response());
  CHECK(u.rest() == whole_response());
  CHECK(s.uwsgi(uwsgi_write("known")).rest() == whole_response());
  cut_off("never");
  connection v = s.uwsgi(uwsgi_write("never"));
  asked().send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts_with(v.rest(), "HTTP/1.1 503 "));
  connection w = s.uwsgi(uwsgi_write("never"));
  s.server.accept().send(whole_response());
  CHECK(w.rest() == whole_response());
  cut_off("unknown");
  connection x = s.uwsgi(uwsgi_write("unknown"));
  connection y = s.uwsgi(uwsgi_write("unknown"));
  asked().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  asked().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts_with(x.rest(), "HTTP/1.1 409 "));
  CHECK(starts_with(y.rest(), "HTTP/1.1 409 "));
  CHECK(!s.server.waiting(100));
}

// Runs a command and returns its output and exit status.
std::pair<std::string, int> run(const std::string& arguments) {
  std::FILE* p = ::popen((std::string(MARBLEWHARF) + " " + arguments + " 2>&1").c_str(), "r");
  CHECK(p != nullptr);
  std::string out;
  char some[512];
  while (const std::size_t n = std::fread(some, 1, sizeof some, p)) out.append(some, n);
  const int status = ::pclose(p);
  return {out, WEXITSTATUS(status)};
}

void unusable_folders_stop_the_start() {
  site s;
  connection c = s.thrift();
  c.send(write_of(1, 1, "k1"));
  s.r->end(s.r->expect("start"), "fine", "cQ==");
  CHECK(read_reply(c).kind == "served");
  c.send(write_of(2, 2, "k2"));
  s.r->expect("start");
  const auto held = run("results verify " + s.folder + "/results");
  CHECK(held.second == 1 && held.first.find("another process holds this folder") != std::string::npos);
  {
    runtime other;
    node_options o = s.options;
    const std::string from = std::to_string(s.uwsgi_port);
    o.operators.replace(o.operators.find(from), from.size(), std::to_string(free_port()));
    node second(other, o);
    other.up();
    // It serves, but keeps its hands off the folder: keyed requests are refused, never run, until it is let
    // go.
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
  // A damaged record in the middle: file and offset, and no start until it is set aside.
  const std::string segment = results + "/0000000000000001.seg";
  const auto change = [&](std::streamoff at) {
    std::fstream f(segment, std::ios::in | std::ios::out | std::ios::binary);
    f.seekg(at);
    const char c1 = static_cast<char>(f.get());
    f.seekp(at);
    f.put(static_cast<char>(c1 ^ 1));
  };
  change(130);
  const auto broken = run("results verify " + results);
  CHECK(broken.second == 1 &&
        broken.first.find("0000000000000001.seg at byte 80: damaged") != std::string::npos);
  {
    node n(*s.r, s.options);
    CHECK(n.wait() == 1);
    CHECK(n.log().find("0000000000000001.seg at byte 80") != std::string::npos);
  }
  change(130);
  change(8);  // the version
  CHECK(run("results verify " + results).first.find("format version") != std::string::npos);
  CHECK(run("results set-aside " + results + " 0000000000000001.seg").second == 0);
  s.start();
  connection d = s.thrift();
  d.send(write_of(1, 9, "k1"));
  CHECK(s.r->expect("start") == label(9));
}

// A byte of a closed segment that the disk changed is found by the scrubbing, which names file and byte;
// other results are read and new ones stored all the while.
void scrubbing_finds_a_changed_byte() {
  site s({}, "scrub = 100ms\n segment = 64KiB\n space = 1MiB");
  connection c = s.thrift();
  std::string blob;
  for (int i = 0; i < 300; ++i) blob += "QUFB";
  const auto ask = [&](int number, bool runs) {
    c.send(write_of(number, number, "k" + std::to_string(runs ? number : number - 1000)));
    if (runs) s.r->end(s.r->expect("start"), "fine", blob);
    CHECK(read_reply(c).kind == "served");
  };
  for (int i = 1; i <= 150; ++i) ask(i, true);
  const std::string first = s.folder + "/results/0000000000000001.seg";
  CHECK(std::filesystem::exists(s.folder + "/results/0000000000000003.seg"));
  CHECK(s.n->log().find("scrub-results") == std::string::npos);
  {
    std::fstream file(first, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(20000);
    file.put('\x7f');
  }
  s.n->logged("background: scrub-results: " + first + " at byte ");
  ask(1150, false);  // a repeat of the last one
  ask(151, true);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"repeats", duplicates_get_the_stored_result},
                                                   {"joins", duplicates_are_coalesced},
                                                   {"leaves", cancelled_primary_runs_on_for_duplicates},
                                                   {"scope", keys_are_scoped},
                                                   {"bad_keys", unusable_keys_are_rejected},
                                                   {"crash", crash_leaves_the_outcome_unknown},
                                                   {"never_ran", released_key_may_run},
                                                   {"failure", stated_failure_is_stored},
                                                   {"refused", rejected_primary_frees_its_key},
                                                   {"too_long", run_goes_on_past_its_deadline},
                                                   {"full", full_folder_rejects_new_keys},
                                                   {"drain", drain_answers_coalesced_duplicates},
                                                   {"lost_link", lost_link_keeps_the_run},
                                                   {"inquiry", inquiries_find_the_outcome},
                                                   {"folders", unusable_folders_stop_the_start},
                                                   {"scrub", scrubbing_finds_a_changed_byte}};
  tests.at(argv[1])();
  return 0;
}
