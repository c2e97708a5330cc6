// Writes over three participants while steps are lost, cut and repeated and the node is killed: once all is
// quiet each is whole at all of them or at none, and no answer was otherwise.
//
//   marblewharf_writes_test [KILLS [SEED [near|beside]]]
//
// `near`: one participant has two endpoints with places, far and near; all steps of a write go to the one it
// began at. `beside`: instead of a kill and a start, a second process of the node is started beside the
// first, which then is killed or told to leave.
#include <array>
#include <filesystem>
#include <random>
#include <set>

#include "../net/uwsgi_peer.hpp"
#include "../peers/idle_runtime.hpp"
#include "../peers/uwsgi_server.hpp"

using namespace harness;
using peers::manner;
using peers::reaction;
using peers::uwsgi_request;
using peers::uwsgi_server;

namespace {

struct books {
  std::mutex guard;
  std::mt19937 random;
  std::atomic<bool> faults = true;
  int injected = 0, violations = 0;
  // By write and participant: p prepared, c committed, a aborted.
  std::map<std::string, std::map<int, char>> state;
  std::map<std::string, std::string> key_of;               // by write
  std::map<std::string, std::multiset<std::string>> told;  // by key: statuses
  std::map<std::string, std::map<int, int>>
      begun_at;                   // by write and participant: the endpoint of its first step
  std::array<int, 2> steps_at{};  // by endpoint, of the participant that has two

  reaction step(int who, bool one_phase, const uwsgi_request& q, int endpoint = 0) {
    const std::lock_guard lock(guard);
    if (begun_at[q.vars.at("WRITE_ID")].try_emplace(who, endpoint).first->second != endpoint) ++violations;
    if (who == 0) ++steps_at[static_cast<std::size_t>(endpoint)];
    const bool fault = faults && random() % 6 == 0;
    const bool before = random() % 2 == 0;
    reaction r{std::chrono::microseconds(random() % 1500), manner::whole, "done " + std::to_string(who)};
    if (fault) {
      ++injected;
      constexpr manner ways[] = {manner::reset, manner::half, manner::error, manner::garbage, manner::hang};
      r.how = ways[random() % 5];
      if (before) return r;  // it never came to the participant
    }
    const std::string& id = q.vars.at("WRITE_ID");
    key_of[id] = q.vars.at("KEY");
    char& is = state[id][who];
    const std::string& what = q.vars.at("STEP");
    bool yes = true;
    if (what == "prepare") {
      if (is == 0) is = random() % 12 == 0 ? 'a' : 'p';
      yes = is != 'a';
    } else if (what == "commit") {
      if (one_phase && is == 0) is = random() % 12 == 0 ? 'a' : 'c';
      if (!one_phase && is != 'p' && is != 'c') ++violations;  // it has not promised that
      if (!one_phase) is = 'c';
      yes = is == 'c';
    } else {
      if (is == 'c') ++violations;
      is = 'a';
    }
    if (!yes && !fault) r = {r.after, manner::refuse, ""};
    return r;
  }
};

std::string ask(int port, const std::string& key) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  const std::string bytes = uwsgi_peer::packet(
      {{"PATH_INFO", "/kurs/meldung"}, {"REMOTE_USER", "isar-invest"}, {"KEY", key}, {"CONTENT_LENGTH", "1"}},
      "x");
  std::string in;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0 &&
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    char chunk[4096];
    pollfd p{fd, POLLIN, 0};
    while (::poll(&p, 1, patience_ms) > 0) {
      const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) break;
      in.append(chunk, static_cast<std::size_t>(n));
    }
  }
  ::close(fd);
  return in.size() > 12 ? in.substr(9, 3) : "cut";
}

}  // namespace

int main(int argc, char** argv) {
  const int kills = argc > 1 ? std::atoi(argv[1]) : 6;
  const unsigned seed = argc > 2 ? static_cast<unsigned>(std::atoi(argv[2])) : std::random_device{}();
  std::printf("seed %u\n", seed);
  std::fflush(stdout);
  char name[] = "/tmp/marblewharf-writes-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = name;
  books b;
  b.random.seed(seed);
  std::mt19937 random(seed + 1);
  uwsgi_server konto([&](const uwsgi_request& q) { return b.step(0, false, q); });
  uwsgi_server konto_near([&](const uwsgi_request& q) { return b.step(0, false, q, 1); });
  uwsgi_server buch([&](const uwsgi_request& q) { return b.step(1, false, q); });
  uwsgi_server melde([&](const uwsgi_request& q) { return b.step(2, true, q); });
  const int port = free_port();
  const std::string mode = argc > 3 ? argv[3] : "";
  const bool near = mode == "near", beside = mode == "beside";
  const std::string fleet_at = own_host() + ":" + std::to_string(free_port());
  const std::string konto_section =
      "dependency konto {\n endpoints = {\"" + konto.address() + "\", \"" + konto_near.address() +
      "\"}\n places = {z1, z0}\n out = 200ms\n}\nfleet {\n name = kurse\n listen = \"" + fleet_at +
      "\"\n zone = z0\n seeds = {\"" + fleet_at + "\"}\n}\nzone z0 {\n region = r\n members = {\"" +
      fleet_at + "\"}\n}\nzone z1 {\n region = r\n members = {\"" + own_host() + ":9\"}\n}\n";
  const auto dependency = [](const std::string& n, const uwsgi_server& s, const char* more) {
    return "dependency " + n + " {\n endpoints = {\"" + s.address() + "\"}\n " + more + "\n}\n";
  };
  node_options o;
  o.quota = o.other_quota = 100000;
  o.cores = 16;
  o.write_aim_ms = 700;
  o.operators = "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(port) + "\"\n servers = {\"" +
                own_host() + ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" +
                (near ? konto_section : dependency("konto", konto, "")) + dependency("buch", buch, "") +
                dependency("melde", melde, "one_phase = yes") +
                "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n"
                " participants = {konto, buch, melde}\n}\n"
                "keyed {\n folder = \"" +
                folder +
                "/results\"\n uwsgi_var = KEY\n inquiry_tries = 2\n inquiry_pause = 20ms\n}\n"
                "writes {\n folder = \"" +
                folder + "/writes\"\n step_var = STEP\n id_var = WRITE_ID\n retry = 60ms\n}\n";
  peers::idle_runtime runtime;
  std::atomic<bool> over = false;
  auto n = std::make_unique<node>(runtime.at, o);
  n->logged(" start: n0");
  std::vector<std::thread> callers;
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&, c] {
      std::mt19937 mine(seed + 10 + static_cast<unsigned>(c));
      int next = 0;
      while (!over) {
        const int k =
            mine() % 3 == 0 && next > 0 ? next - 1 - static_cast<int>(mine() % std::min(next, 4)) : next++;
        const std::string key = std::to_string(c) + "-" + std::to_string(k);
        const std::string status = ask(port, key);
        if (status == "cut") std::this_thread::sleep_for(3ms);
        const std::lock_guard lock(b.guard);
        b.told[key].insert(status);
      }
    });
  }
  for (int i = 0; i < kills; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 400));
    if (beside) {
      o.listen_port = n->port;
      auto next = std::make_unique<node>(runtime.at, o);
      next->logged(" start: n0");
      next->logged("writes are turned away until it lets go");
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 300));
      if (random() % 2 == 0)
        n->signal(SIGKILL);
      else
        n->signal(SIGTERM);
      n->wait();
      n = std::move(next);
      n->logged("/writes taken over");
      continue;
    }
    n.reset();
    n = std::make_unique<node>(runtime.at, o);
    n->logged(" start: n0");
  }
  std::this_thread::sleep_for(500ms);
  over = true;
  for (std::thread& t : callers) t.join();
  b.faults = false;
  // Quiet: nobody is left with a promise.
  const auto until = clock::now() + 20s;
  for (bool open = true; open;) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(50ms);
    const std::lock_guard lock(b.guard);
    open = false;
    for (const auto& [id, at] : b.state) {
      for (const auto& [who, is] : at) open = open || is == 'p';
      const auto committed =
          std::count_if(at.begin(), at.end(), [](const auto& s) { return s.second == 'c'; });
      open = open || (committed != 0 && committed != 3);
    }
  }
  // In doubt until now: its key tells.
  std::vector<std::string> doubtful;
  {
    const std::lock_guard lock(b.guard);
    for (const auto& [key, statuses] : b.told) {
      if (!statuses.contains("200")) doubtful.push_back(key);
    }
  }
  std::map<std::string, int> resolved;
  for (std::size_t i = 0; i < doubtful.size(); i += 1 + doubtful.size() / 60) {
    const std::string status = ask(port, doubtful[i]);
    ++resolved[status];
    const std::lock_guard lock(b.guard);
    b.told[doubtful[i]].insert(status);
  }
  std::map<std::string, int> whole;  // by key
  int half = 0, whole_writes = 0;
  {
    const std::lock_guard lock(b.guard);
    for (const auto& [id, at] : b.state) {
      const auto committed =
          std::count_if(at.begin(), at.end(), [](const auto& s) { return s.second == 'c'; });
      half += committed != 0 && committed != 3;
      whole_writes += committed == 3;
      whole[b.key_of[id]] += committed == 3;
    }
  }
  int twice = 0, served_not_whole = 0, failed_but_whole = 0;
  std::map<std::string, int> statuses;
  for (const auto& [key, told] : b.told) {
    twice += whole[key] > 1;
    served_not_whole += told.contains("200") && whole[key] != 1;
    const bool sure =
        std::all_of(told.begin(), told.end(), [](const std::string& s) { return s == "502" || s == "503"; });
    failed_but_whole += sure && whole[key] != 0;
    for (const std::string& s : told) ++statuses[s];
  }
  for (const auto& [status, times] : statuses) std::printf("%s: %d\n", status.c_str(), times);
  for (const auto& [status, times] : resolved)
    std::printf("asked again in the end, %s: %d\n", status.c_str(), times);
  std::printf(
      "%d kills, %d faults, %zu writes begun, %d whole, %d half, %d keys twice, %d served and not whole, "
      "%d failed and whole, %d broken promises\n",
      kills, b.injected, b.state.size(), whole_writes, half, twice, served_not_whole, failed_but_whole,
      b.violations);
  CHECK(half == 0 && twice == 0 && served_not_whole == 0 && failed_but_whole == 0 && b.violations == 0);
  CHECK(whole_writes > 20);
  if (near) {
    std::printf("steps at the far and the near endpoint: %d, %d\n", b.steps_at[0], b.steps_at[1]);
    CHECK(b.steps_at[1] > 2 * b.steps_at[0]);
  }
  n.reset();
  std::filesystem::remove_all(folder);
  return 0;
}
