// Sends duplicate keyed requests from several callers through both fronts while the node is killed at random
// times. Guards against a key that is executed twice, a key that is answered 'served' with two different
// results, and an answered result that is lost.
//
//   marblewharf_kill_test [KILLS [SEED]]
#include <atomic>
#include <filesystem>
#include <map>
#include <mutex>
#include <random>
#include <set>

#include "../net/harness.hpp"
#include "../net/uwsgi_peer.hpp"
#include "../peers/base64.hpp"
#include "../peers/frail.hpp"

using namespace harness;

namespace {

using peers::base64;
using peers::frail;
using peers::unbase64;

struct shared_state {
  std::mutex guard;
  std::map<std::string, int> executed;                  // count by key
  std::map<std::string, std::set<std::string>> served;  // results by key
  std::map<std::string, int> answer_kinds;              // count by kind
  std::atomic<bool> stop_callers = false;
  std::atomic<bool> stop_servers = false;
  std::atomic<int> thrift_port = 0;
  int uwsgi_port = 0;

  // Executes the write with this key. Each execution has a different result.
  std::string execute(const std::string& key) {
    const std::lock_guard lock(guard);
    return key + "#" + std::to_string(++executed[key]);
  }
  std::string record_answer(const std::string& kind, const std::string& key, const std::string& result) {
    const std::lock_guard lock(guard);
    ++answer_kinds[kind];
    if (kind == "served") served[key].insert(result);
    return kind;
  }
};

// Simulates the runtime, which outlives the node: runs each request that it receives and ends the run after
// at most 8 ms.
void run_runtime(shared_state& state, const runtime& door, unsigned seed) {
  std::mt19937 random(seed);
  while (!state.stop_servers) {
    if (!door.door.waiting(50)) continue;
    frail link = frail::accepted(door.door.fd());
    std::string in;
    int serial = 0;
    std::multimap<clock::time_point, std::string> ends;
    while (!state.stop_servers) {
      if (!link.more(in, 1) && !link.good()) break;
      for (std::size_t end; (end = in.find('\n')) != std::string::npos; in.erase(0, end + 1)) {
        const std::string line = in.substr(0, end);
        const std::string msg = member(line, "msg");
        if (msg == "sync") link.send("{\"msg\":\"ready\",\"how\":\"running\",\"duration\":60000}\n");
        if (msg == "gauges")
          link.send("{\"msg\":\"load\",\"cookie\":\"" + member(line, "cookie") +
                    "\",\"stats\":[0.2,1,0.1,3]}\n");
        if (msg != "start") continue;
        const std::string result = state.execute(unbase64(member(line, "blob")));
        ends.emplace(clock::now() + std::chrono::microseconds(random() % 8000),
                     "\"call\":\"" + member(line, "call") +
                         "\",\"how\":\"fine\",\"duration\":1.0,\"blob\":\"" + base64(result) + "\"}\n");
      }
      while (!ends.empty() && ends.begin()->first <= clock::now()) {
        link.send("{\"msg\":\"end\",\"serial\":" + std::to_string(++serial) + "," + ends.begin()->second);
        ends.erase(ends.begin());
      }
      pollfd p{link.fd(), POLLIN, 0};
      if (!link.good() || (::poll(&p, 1, 0) > 0 && (p.revents & (POLLHUP | POLLERR)) != 0)) break;
    }
  }
}

void run_uwsgi_server(shared_state& state, const listener& door, unsigned seed) {
  std::mt19937 random(seed);
  while (!state.stop_servers) {
    if (!door.waiting(50)) continue;
    frail c = frail::accepted(door.fd());
    std::string in;
    const auto complete = [&] {
      if (in.size() < 4) return false;
      const std::size_t vars =
          static_cast<std::uint8_t>(in[1]) | static_cast<std::size_t>(static_cast<std::uint8_t>(in[2])) << 8;
      return in.size() >= 4 + vars + 8;  // bodies have 8 bytes
    };
    while (!complete() && c.more(in)) {
    }
    if (!complete()) continue;
    const std::string result = state.execute(in.substr(in.size() - 8));
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 4000));
    c.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(result.size()) + "\r\n\r\n" + result);
  }
}

std::string key_of(int n) {
  char text[16];
  std::snprintf(text, sizeof text, "k%07d", n);
  return text;
}

// Sends even keys through the Thrift front and odd keys through the uwsgi front, as the form of a result
// depends on its front. Returns the kind of the answer.
std::string send_request(shared_state& state, int n, int label_number) {
  const std::string key = key_of(n);
  std::string in;
  if (n % 2 == 0) {
    frail c(state.thrift_port);
    fields f = usual(label_number, "kurs-meldung");
    f.emplace_back("key", key);
    c.send(execute(1, f, key));
    const auto complete = [&] { return in.size() >= 4 && in.size() >= 4 + to_u32(in); };
    while (!complete() && c.more(in)) {
    }
    if (!complete()) return state.record_answer("cut off", key, "");
    const std::string p = in.substr(4);
    const std::size_t name = to_u32(std::string_view(p).substr(4));
    const reply r{"", 0, p.substr(12 + name)};
    const std::string kind = p[3] != 2        ? "exception"
                             : r.rest[2] == 0 ? "served"
                             : r.rest[2] == 1 ? "refused"
                                              : "failed";
    return state.record_answer(kind, key, kind == "served" ? result(r) : "");
  }
  frail c(state.uwsgi_port);
  c.send(uwsgi_peer::packet(
      {{"PATH_INFO", "/kurs/meldung"}, {"REMOTE_USER", "isar-invest"}, {"KEY", key}, {"CONTENT_LENGTH", "8"}},
      key));
  while (c.more(in)) {
  }
  const std::size_t body = in.find("\r\n\r\n");
  if (body == std::string::npos) return state.record_answer("cut off", key, "");
  const std::string status = in.substr(9, 3);
  const std::string kind = status == "200" ? "served" : status == "503" ? "refused" : "failed " + status;
  return state.record_answer(kind, key, in.substr(body + 4));
}

void run_caller(shared_state& state, int number, unsigned seed) {
  std::mt19937 random(seed);
  constexpr int keys_per_caller = 100000;
  int next = number * keys_per_caller, label_number = number * 10 * keys_per_caller + 1;
  while (!state.stop_callers) {
    // Uses a new key or repeats one of the last few keys, sometimes those of another caller.
    int n = next;
    if (random() % 2 == 0) {
      ++next;
    } else {
      n = std::max(number * keys_per_caller, next - static_cast<int>(random() % 6));
      if (random() % 4 == 0) n = n % keys_per_caller + keys_per_caller * (1 + static_cast<int>(random() % 6));
    }
    if (send_request(state, n, ++label_number) == "cut off") std::this_thread::sleep_for(2ms);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const int kills = argc > 1 ? std::atoi(argv[1]) : 12;
  const unsigned seed = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : std::random_device{}();
  std::printf("seed %u\n", seed);
  std::fflush(stdout);
  std::mt19937 random(seed);
  char name[] = "/tmp/marblewharf-kill-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = name;
  shared_state state;
  runtime door;
  listener server;
  state.uwsgi_port = free_port();
  // Several threads accept from this socket: a thread that finds no connection must not block in accept().
  CHECK(::fcntl(server.fd(), F_SETFL, O_NONBLOCK) == 0);
  const std::string host = "\"" + own_host() + ":";
  node_options o;
  o.write_aim_ms = 2000;  // bounds the wait for requests that were lost with a killed node
  o.quota = o.other_quota = 100000;
  o.cores = 8;
  o.operators = "uwsgi {\n listen = " + host + std::to_string(state.uwsgi_port) + "\"\n servers = {" + host +
                std::to_string(server.port) +
                "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n"
                "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n}\n"
                "keyed {\n folder = \"" +
                folder +
                "/results\"\n uwsgi_var = KEY\n thrift_field = key\n segment = 128KiB\n space = 1GiB\n}\n";
  std::vector<std::thread> threads, callers;
  threads.emplace_back(run_runtime, std::ref(state), std::cref(door), random());
  for (int i = 0; i < 3; ++i)
    threads.emplace_back(run_uwsgi_server, std::ref(state), std::cref(server), random());
  auto n = std::make_unique<node>(door, o);
  state.thrift_port = n->port;
  n->logged(" start: ");
  for (int i = 1; i <= 6; ++i) callers.emplace_back(run_caller, std::ref(state), i, random());
  for (int i = 0; i < kills; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20 + random() % 280));
    n.reset();
    n = std::make_unique<node>(door, o);
    n->logged(" start: ");
    state.thrift_port = n->port;
  }
  std::this_thread::sleep_for(300ms);
  state.stop_callers = true;
  for (std::thread& t : callers) t.join();
  // Every key that was answered 'served' is answered 'served' again.
  std::vector<std::string> answered;
  {
    const std::lock_guard lock(state.guard);
    for (const auto& [key, results] : state.served) answered.push_back(key);
  }
  int label_number = 50'000'000;
  std::size_t checked = 0;
  for (std::size_t i = 0; i < answered.size(); i += 1 + answered.size() / 400, ++checked) {
    CHECK(send_request(state, std::atoi(answered[i].c_str() + 1), ++label_number) == "served");
  }
  state.stop_servers = true;
  for (std::thread& t : threads) t.join();
  int executed_twice = 0, with_two_results = 0, runs = 0;
  for (const auto& [key, times] : state.executed) {
    runs += times;
    if (times > 1) {
      ++executed_twice;
      std::printf("executed %d times: %s\n", times, key.c_str());
    }
  }
  for (const auto& [key, results] : state.served) with_two_results += results.size() > 1;
  for (const auto& [kind, times] : state.answer_kinds) std::printf("%s: %d\n", kind.c_str(), times);
  std::printf("%d kills, %d runs, %zu keys answered, %zu of them requested again\n", kills, runs,
              answered.size(), checked);
  CHECK(executed_twice == 0);
  CHECK(with_two_results == 0);
  CHECK(answered.size() > static_cast<std::size_t>(kills));
  n.reset();
  std::filesystem::remove_all(folder);
  return 0;
}
