// Quotas divided among nine price nodes on loopback, with faults between the processes; an audit adds up the
// shares that their logs show in force at every instant (ctest -L quota).
#include <filesystem>
#include <map>

#include "../cluster/audit.hpp"
#include "../peers/frail.hpp"
#include "../peers/uwsgi_server.hpp"
#include "uwsgi_peer.hpp"

using namespace harness;
using namespace cluster_faults;

namespace {

// The leader is killed: the next one goes on; then the first restarts.
void allocator_killed() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader(), other = (first + 1) % 9;
  s.kill(first);
  s.f->wait_until([&] { return s.leader() >= 0 && s.leader() != first; }, other);
  s.wait_for_fair_shares(without({first}));
  s.f->start(first);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Partition with the leader on the side without a majority: that side falls to its guaranteed shares, the
// other takes over; healed, all have their fair shares again.
void allocator_cut_off() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader();
  const std::set<int> side = {first, (first + 1) % 9, (first + 2) % 9, (first + 3) % 9};
  s.cut(side);
  for (const int i : side) s.f->wait_until([&] { return s.share(i) == 1; }, i);
  for (const int i : without(side)) s.f->wait_until([&] { return s.share(i) > 14; }, i);
  s.f->relay->heal();
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Paused past its lease and resumed: it acts on the guaranteed share at once, and at no instant on the old
// one. It is cut off when it resumes, so that no renewal hides which share it acts on.
void paused() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.f->at(7).signal(SIGSTOP);
  s.f->wait_until([&] { return s.share(8) > 10.2; }, 8);  // the others have its part
  s.cut({7});
  s.f->at(7).signal(SIGCONT);
  for (int look = 0; look < 10; ++look) {
    CHECK(s.share(7) == s.guaranteed_share);
    std::this_thread::sleep_for(30ms);
  }
  s.f->relay->heal();
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Three clocks as fast as the drift allows, three as slow, shares moving all the time.
void clocks_apart() {
  quota_cluster s({.drift = 0.05, .rate = [](int i) { return i % 3 == 0 ? 1.05 : i % 3 == 1 ? 0.95 : 1.0; }});
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 9; ++i) s.set_demand(i, (i + round) % 3 == 0 ? 400 : 1);
    if (round == 2) s.kill(0);  // whoever leads or not, here it is one with a fast clock
    if (round == 3) s.f->start(0);
    if (round == 4) s.f->at(5).signal(SIGSTOP);
    if (round == 5) s.f->at(5).signal(SIGCONT);
    std::this_thread::sleep_for(1500ms);
  }
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Nine nodes join at once: none knows the others, each has demand for far more than its share.
void all_join() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Four nodes die at once: five are still a majority, and after a while have all but the guaranteed shares of
// the others.
void half_leaves() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  for (const int i : {1, 3, 5, 7}) s.kill(i);
  s.f->wait_until([&] { return s.share(0) > 14 && s.share(8) > 14; }, 0);
  s.audit();
}

// A burst on one node while the others idle: its share grows to nearly the limit within a few renewals; when
// the others have demand too, it is divided.
void burst() {
  quota_cluster s;
  s.f->wait_until([&] { return s.leader() >= 0 && s.lease_stands(4); }, 0);
  s.set_demand(4, 400);
  s.f->wait_until([&] { return s.share(4) > 55; }, 4);
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Demand far above the limit on every node: the shares in force are nearly the limit, the rest is rejected at
// once with a retry-after.
void far_above() {
  quota_cluster s;
  s.set_all_demand(900);
  s.wait_for_fair_shares(all_nodes());
  CHECK(s.sum() >= 0.9 * quota_cluster::global_limit);
  CHECK(s.rejected(2) > 0 && s.longest_rejection_ms() < 1000);
  s.audit();
}

// A quota of runs in flight: the runs of all runtimes never exceed it, while the leader is cut off with three
// others, a node is paused and another is killed and restarted; with demand far above, it is nearly used up.
void runs_in_flight() {
  quota_cluster s({.run_ms = 150});
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.f->wait_until([&] { return s.in_flight() > 0.75 * quota_cluster::global_limit; }, 0);
  const int first = s.leader();
  const std::set<int> side = {first, (first + 1) % 9, (first + 2) % 9, (first + 3) % 9};
  s.cut(side);
  for (const int i : without(side)) s.f->wait_until([&] { return s.share(i) > 14; }, i);
  s.f->relay->heal();
  s.wait_for_fair_shares(all_nodes());
  s.f->at(7).signal(SIGSTOP);
  s.f->wait_until([&] { return s.share(8) > 10.2; }, 8);
  s.f->at(7).signal(SIGCONT);
  s.kill(2);
  s.f->wait_until([&] { return s.share(3) > 10.2; }, 3);
  s.f->start(2);
  s.wait_for_fair_shares(all_nodes());
  s.f->wait_until([&] { return s.in_flight() > 0.75 * quota_cluster::global_limit; }, 0);
  std::printf("most in flight at one instant: %d of %.0f\n", s.most_in_flight(), quota_cluster::global_limit);
  CHECK(s.most_in_flight() <= quota_cluster::global_limit);
  s.audit();
}

// Hot restarts of one node after another, the leader among them, with demand far above the limit: for a while
// two processes of a member run side by side, and the runs of all of them stay within the limit all the same.
void replaced() {
  quota_cluster s({.run_ms = 150, .guaranteed_share = 5});
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader();
  for (const int i : {first, (first + 1) % 9, (first + 2) % 9}) {
    s.replace(i, [] { std::this_thread::sleep_for(2s); });  // past the lease, and past a suspicion
    s.wait_for_fair_shares(all_nodes());
  }
  CHECK(s.f->declared_out(all_nodes()) == 0);
  std::printf("most in flight at one instant: %d of %.0f\n", s.most_in_flight(), quota_cluster::global_limit);
  CHECK(s.most_in_flight() <= quota_cluster::global_limit);
  s.audit();
}

// Nodes killed and restarted at once, with runs longer than that takes: runs that the process before left at
// the runtime still count, those in its guaranteed share too.
void restarted_at_once() {
  quota_cluster s({.run_ms = 700, .guaranteed_share = 5});
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.f->wait_until([&] { return s.in_flight() > 0.75 * quota_cluster::global_limit; }, 0);
  for (const int i : {2, 5, 8}) {
    s.kill(i);
    s.f->start(i);
  }
  s.wait_for_fair_shares(all_nodes());
  std::printf("most in flight at one instant: %d of %.0f\n", s.most_in_flight(), quota_cluster::global_limit);
  CHECK(s.most_in_flight() <= quota_cluster::global_limit);
  s.audit();
}

// Part of an operator's file: kurs-meldung is a transaction over the upstream kurse and another participant.
std::string written(const std::string& folder, const std::string& other) {
  return "dependency buch {\n endpoints = {\"" + other +
         "\"}\n}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/liste\"}\n keyed = yes\n window = 10m\n"
         " participants = {kurse, buch}\n}\nkeyed {\n folder = \"" +
         folder + "-results\"\n uwsgi_var = KEY\n}\nwrites {\n folder = \"" + folder +
         "-writes\"\n step_var = STEP\n id_var = WRITE_ID\n retry = 60ms\n longest_retry = 200ms\n}\n";
}

// A quota of calls in flight at an upstream that all nine nodes call: the fake upstream counts the calls that
// are open at one instant, while the leader is killed and restarted and a node is paused, with demand far
// above the limit all the time. `writes`: the upstream is a participant of transactions, whose steps count as
// much.
void calls_in_flight(bool writes) {
  constexpr int most = 45, each = 15;
  peers::uwsgi_server source([](const peers::uwsgi_request&) {
    return peers::reaction{80ms, peers::manner::whole, "101.42"};
  });
  peers::uwsgi_server other([](const peers::uwsgi_request&) { return peers::reaction{}; });
  char folders[] = "/tmp/marblewharf-shared-XXXXXX";
  CHECK(::mkdtemp(folders) != nullptr);
  std::vector<int> ports;
  for (int i = 0; i < 9; ++i) ports.push_back(free_port());
  test_cluster_options o;
  o.operators = [&](int i) {
    std::ostringstream t;
    t << "uwsgi {\n listen = \"" << own_host() << ":" << ports[static_cast<std::size_t>(i)]
      << "\"\n servers = {\"" << source.address()
      << "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n"
      << "dependency kurse {\n endpoints = {\"" << source.address()
      << "\"}\n budget = 2s\n hedge_quantile = 0\n}\n"
      << (writes ? written(folders + ("/" + std::to_string(i)), other.address())
                 : "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n"
                   "part kurse {\n class = kurs-abfrage\n from = kurse\n}\n")
      << "budgets {\n lease = 1s\n renew = 200ms\n settle = 300ms\n}\n"
      << "budget kurse {\n unit = calls\n dependency = kurse\n whole = " << most << "\n}\n";
    return t.str();
  };
  o.edit = [](int, node_options& n) { n.cores = 128; };
  test_cluster f(o);
  std::atomic<bool> over = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < 9 * each; ++i) {
    callers.emplace_back([&, i] {
      for (int number = 0; !over; ++number) {
        std::this_thread::sleep_for(5ms);
        if (!f.running(i % 9)) continue;
        const std::string ask = uwsgi_peer::packet({{"PATH_INFO", "/kurs/liste"},
                                                    {"REMOTE_USER", "isar-invest"},
                                                    {"QUERY_STRING", std::to_string(i)},
                                                    {"KEY", std::to_string(i) + "-" + std::to_string(number)},
                                                    {"CONTENT_LENGTH", "2"}},
                                                   "in");
        peers::frail c(ports[static_cast<std::size_t>(i % 9)]);
        c.send(ask);
        std::string in;
        while (!over && c.more(in, 3000)) {
        }
      }
    });
  }
  f.wait_until_healthy();
  const auto leader = [&] {
    for (int i = 0; i < 9; ++i)
      if (statistic(f.console(i), "budgets.leads") == 1) return i;
    return -1;
  };
  f.wait_until([&] { return source.most_open > 0.7 * most; }, 0);
  f.wait_until([&] { return leader() >= 0; }, 0);
  const int first = leader();
  CHECK(first >= 0);
  f.kill(first);
  std::this_thread::sleep_for(3s);
  f.start(first);
  f.wait_until_healthy();
  f.at(4).signal(SIGSTOP);
  std::this_thread::sleep_for(2500ms);
  f.at(4).signal(SIGCONT);
  f.wait_until_healthy();
  std::this_thread::sleep_for(2s);
  over = true;
  for (std::thread& t : callers) t.join();
  std::printf("most calls open at one instant: %d of %d, %d in all\n", source.most_open.load(), most,
              source.requests.load());
  CHECK(source.most_open <= most);
  std::filesystem::remove_all(folders);
}
void gathered_calls_in_flight() {
  calls_in_flight(false);
}
void written_calls_in_flight() {
  calls_in_flight(true);
}

void faults_name_file_line_and_key() {
  const auto status = [](const std::string& text) {
    runtime r;
    node_options o;
    o.operators = text;
    node n(r, o);
    const int ended = n.wait();
    return std::to_string(ended) + " " + n.log();
  };
  CHECK(status("budget a {\n unit = runs\n whole = 4\n}\n")
            .find(":4: budget \"a\" is set, but section fleet is missing") != std::string::npos);
  CHECK(status("budgets {\n lease = 2s\n}\n").find(":3: budgets is set, but there is no section budget") !=
        std::string::npos);
  const std::string fleet =
      "fleet {\n name = k\n listen = \"127.0.0.1:7946\"\n zone = z\n seeds = {\"127.0.0.1:7946\"}\n}\n"
      "zone z {\n region = r\n members = {\"127.0.0.1:7946\", \"127.0.0.1:7947\"}\n}\n";
  CHECK(status(fleet + "budget a {\n unit = runs\n whole = 4\n safe = 3\n}\n")
            .find(":14: budget \"a\".safe times 2 members exceeds whole: \"3\"") != std::string::npos);
  CHECK(status(fleet + "budget a {\n unit = requests\n whole = 4\n tenant = nobody\n}\n")
            .find(":14: budget \"a\".tenant is not defined in the platform's settings: \"nobody\"") !=
        std::string::npos);
  CHECK(status(fleet + "budget a {\n unit = runs\n whole = 4\n tenant = isar-invest\n}\n")
            .find(":14: budget \"a\".tenant is only allowed with unit = requests") != std::string::npos);
}

}  // namespace

int main(int, char** argv) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed()));
  const std::map<std::string, void (*)()> tests = {{"allocator_killed", allocator_killed},
                                                   {"allocator_cut_off", allocator_cut_off},
                                                   {"paused", paused},
                                                   {"clocks_apart", clocks_apart},
                                                   {"all_join", all_join},
                                                   {"half_leaves", half_leaves},
                                                   {"burst", burst},
                                                   {"far_above", far_above},
                                                   {"runs_in_flight", runs_in_flight},
                                                   {"replaced", replaced},
                                                   {"restarted_at_once", restarted_at_once},
                                                   {"calls_in_flight", gathered_calls_in_flight},
                                                   {"writes_in_flight", written_calls_in_flight},
                                                   {"faults", faults_name_file_line_and_key}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
