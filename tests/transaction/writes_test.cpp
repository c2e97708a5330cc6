// Transactions over three participants while requests are lost, cut short and repeated, and the node is
// killed and restarted. Guards against transactions that are committed at some participants only, and against
// clients that receive the wrong outcome.
//
//   marblewharf_writes_test [KILLS [SEED [near|beside]]]
//
// `near`: one participant has a distant and a near endpoint; all requests of a transaction must go to the
// endpoint of its first request. `beside`: instead of a kill and a restart, a second process of the node is
// started while the first one is running (hot restart); the first process is then killed or shut down.
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

// The state of the simulated participants, and the statuses that clients received.
struct ledger {
  std::mutex guard;
  std::mt19937 random;
  std::atomic<bool> faults = true;
  int injected_faults = 0, protocol_violations = 0;
  // By transaction and participant: p prepared, c committed, a aborted.
  std::map<std::string, std::map<int, char>> state;
  std::map<std::string, std::string> key_of;                   // by transaction
  std::map<std::string, std::multiset<std::string>> statuses;  // by key: HTTP statuses of its responses
  // By transaction and participant: the endpoint that received the first request.
  std::map<std::string, std::map<int, int>> first_endpoint;
  std::array<int, 2> requests_by_endpoint{};  // of the participant with two endpoints

  // Handles a request to a participant; a fault may occur before or after the participant has processed the
  // request.
  reaction on_request(int participant, bool one_phase, const uwsgi_request& request, int endpoint = 0) {
    const std::lock_guard lock(guard);
    if (first_endpoint[request.vars.at("WRITE_ID")].try_emplace(participant, endpoint).first->second !=
        endpoint)
      ++protocol_violations;
    if (participant == 0) ++requests_by_endpoint[static_cast<std::size_t>(endpoint)];
    const bool fault = faults && random() % 6 == 0;
    const bool fault_before_processing = random() % 2 == 0;
    reaction response{std::chrono::microseconds(random() % 1500), manner::whole,
                      "done " + std::to_string(participant)};
    if (fault) {
      ++injected_faults;
      constexpr manner fault_kinds[] = {manner::reset, manner::half, manner::error, manner::garbage,
                                        manner::hang};
      response.how = fault_kinds[random() % 5];
      if (fault_before_processing) return response;
    }
    const std::string& id = request.vars.at("WRITE_ID");
    key_of[id] = request.vars.at("KEY");
    char& current = state[id][participant];
    const std::string& step = request.vars.at("STEP");
    bool yes = true;
    if (step == "prepare") {
      if (current == 0) current = random() % 12 == 0 ? 'a' : 'p';
      yes = current != 'a';
    } else if (step == "commit") {
      if (one_phase && current == 0) current = random() % 12 == 0 ? 'a' : 'c';
      if (!one_phase && current != 'p' && current != 'c') ++protocol_violations;  // commit without prepare
      if (!one_phase) current = 'c';
      yes = current == 'c';
    } else {
      if (current == 'c') ++protocol_violations;
      current = 'a';
    }
    if (!yes && !fault) response = {response.after, manner::refuse, ""};
    return response;
  }
};

// Sends a request with the key and returns the HTTP status, or "cut" if no complete response was received.
std::string send_request(int port, const std::string& key) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  const std::string bytes = uwsgi_peer::packet(
      {{"PATH_INFO", "/kurs/meldung"}, {"REMOTE_USER", "isar-invest"}, {"KEY", key}, {"CONTENT_LENGTH", "1"}},
      "x");
  std::string response;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
    char chunk[4096];
    pollfd readable{fd, POLLIN, 0};
    while (::poll(&readable, 1, patience_ms) > 0) {
      const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) break;
      response.append(chunk, static_cast<std::size_t>(n));
    }
  }
  ::close(fd);
  return response.size() > 12 ? response.substr(9, 3) : "cut";
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
  ledger records;
  records.random.seed(seed);
  std::mt19937 random(seed + 1);
  uwsgi_server konto([&](const uwsgi_request& request) { return records.on_request(0, false, request); });
  uwsgi_server konto_near(
      [&](const uwsgi_request& request) { return records.on_request(0, false, request, 1); });
  uwsgi_server buch([&](const uwsgi_request& request) { return records.on_request(1, false, request); });
  uwsgi_server melde([&](const uwsgi_request& request) { return records.on_request(2, true, request); });
  const int port = free_port();
  const std::string mode = argc > 3 ? argv[3] : "";
  const bool near = mode == "near", hot_restart = mode == "beside";
  const std::string fleet_address = own_host() + ":" + std::to_string(free_port());
  const std::string konto_section =
      "dependency konto {\n endpoints = {\"" + konto.address() + "\", \"" + konto_near.address() +
      "\"}\n places = {z1, z0}\n out = 200ms\n}\nfleet {\n name = kurse\n listen = \"" + fleet_address +
      "\"\n zone = z0\n seeds = {\"" + fleet_address + "\"}\n}\nzone z0 {\n region = r\n members = {\"" +
      fleet_address + "\"}\n}\nzone z1 {\n region = r\n members = {\"" + own_host() + ":9\"}\n}\n";
  const auto dependency = [](const std::string& dependency_name, const uwsgi_server& server,
                             const char* settings) {
    return "dependency " + dependency_name + " {\n endpoints = {\"" + server.address() + "\"}\n " + settings +
           "\n}\n";
  };
  node_options options;
  options.quota = options.other_quota = 100000;
  options.cores = 16;
  options.write_aim_ms = 700;
  options.operators =
      "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(port) + "\"\n servers = {\"" + own_host() +
      ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" +
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
  std::atomic<bool> stop_callers = false;
  auto running_node = std::make_unique<node>(runtime.at, options);
  running_node->logged(" start: n0");
  std::vector<std::thread> callers;
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&, c] {
      std::mt19937 caller_random(seed + 10 + static_cast<unsigned>(c));
      int next = 0;
      while (!stop_callers) {
        // One third of the requests repeats one of the last four keys.
        const int number = caller_random() % 3 == 0 && next > 0
                               ? next - 1 - static_cast<int>(caller_random() % std::min(next, 4))
                               : next++;
        const std::string key = std::to_string(c) + "-" + std::to_string(number);
        const std::string status = send_request(port, key);
        if (status == "cut") std::this_thread::sleep_for(3ms);
        const std::lock_guard lock(records.guard);
        records.statuses[key].insert(status);
      }
    });
  }
  for (int i = 0; i < kills; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 400));
    if (hot_restart) {
      options.listen_port = running_node->port;
      auto next = std::make_unique<node>(runtime.at, options);
      next->logged(" start: n0");
      next->logged("transactions are rejected until the other process releases the folder");
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 300));
      if (random() % 2 == 0)
        running_node->signal(SIGKILL);
      else
        running_node->signal(SIGTERM);
      running_node->wait();
      running_node = std::move(next);
      running_node->logged("/writes: taken over from the other process");
      continue;
    }
    running_node.reset();
    running_node = std::make_unique<node>(runtime.at, options);
    running_node->logged(" start: n0");
  }
  std::this_thread::sleep_for(500ms);
  stop_callers = true;
  for (std::thread& caller : callers) caller.join();
  records.faults = false;
  // Without further faults, all open transactions must end: no participant remains prepared.
  const auto time_limit = clock::now() + 20s;
  for (bool open = true; open;) {
    CHECK(clock::now() < time_limit);
    std::this_thread::sleep_for(50ms);
    const std::lock_guard lock(records.guard);
    open = false;
    for (const auto& [id, participants] : records.state) {
      for (const auto& [participant, current] : participants) open = open || current == 'p';
      const auto committed = std::count_if(participants.begin(), participants.end(),
                                           [](const auto& s) { return s.second == 'c'; });
      open = open || (committed != 0 && committed != 3);
    }
  }
  // Repeat the requests of keys without a known result, so that their outcomes are returned.
  std::vector<std::string> unresolved;
  {
    const std::lock_guard lock(records.guard);
    for (const auto& [key, statuses] : records.statuses) {
      if (!statuses.contains("200")) unresolved.push_back(key);
    }
  }
  std::map<std::string, int> resolved;
  for (std::size_t i = 0; i < unresolved.size(); i += 1 + unresolved.size() / 60) {
    const std::string status = send_request(port, unresolved[i]);
    ++resolved[status];
    const std::lock_guard lock(records.guard);
    records.statuses[unresolved[i]].insert(status);
  }
  std::map<std::string, int> committed_by_key;
  int partial = 0, committed_transactions = 0;
  {
    const std::lock_guard lock(records.guard);
    for (const auto& [id, participants] : records.state) {
      const auto committed = std::count_if(participants.begin(), participants.end(),
                                           [](const auto& s) { return s.second == 'c'; });
      partial += committed != 0 && committed != 3;
      committed_transactions += committed == 3;
      committed_by_key[records.key_of[id]] += committed == 3;
    }
  }
  int repeated_commits = 0, wrong_success = 0, wrong_failure = 0;
  std::map<std::string, int> status_counts;
  for (const auto& [key, statuses] : records.statuses) {
    repeated_commits += committed_by_key[key] > 1;
    wrong_success += statuses.contains("200") && committed_by_key[key] != 1;
    const bool all_failed = std::all_of(statuses.begin(), statuses.end(),
                                        [](const std::string& s) { return s == "502" || s == "503"; });
    wrong_failure += all_failed && committed_by_key[key] != 0;
    for (const std::string& status : statuses) ++status_counts[status];
  }
  for (const auto& [status, count] : status_counts) std::printf("%s: %d\n", status.c_str(), count);
  for (const auto& [status, count] : resolved)
    std::printf("repeated after the faults, %s: %d\n", status.c_str(), count);
  std::printf(
      "%d kills, %d faults, %zu transactions started, %d committed, %d committed at some participants only, "
      "%d keys committed more than once, %d answered 200 but not committed, %d answered 502 or 503 but "
      "committed, "
      "%d protocol violations\n",
      kills, records.injected_faults, records.state.size(), committed_transactions, partial, repeated_commits,
      wrong_success, wrong_failure, records.protocol_violations);
  CHECK(partial == 0 && repeated_commits == 0 && wrong_success == 0 && wrong_failure == 0 &&
        records.protocol_violations == 0);
  CHECK(committed_transactions > 20);
  if (near) {
    std::printf("requests at the distant and the near endpoint: %d, %d\n", records.requests_by_endpoint[0],
                records.requests_by_endpoint[1]);
    CHECK(records.requests_by_endpoint[1] > 2 * records.requests_by_endpoint[0]);
  }
  running_node.reset();
  std::filesystem::remove_all(folder);
  return 0;
}
