// Cluster-wide quotas divided among nine price nodes on loopback, with network faults between the processes.
// An audit reads the nodes' logs and checks that the sum of the shares in force never exceeds the global
// limit (ctest -L quota).
#include <filesystem>
#include <map>

#include "../cluster/audit.hpp"
#include "../peers/frail.hpp"
#include "../peers/uwsgi_server.hpp"
#include "uwsgi_peer.hpp"

using namespace harness;
using namespace cluster_faults;

namespace {

// The leader is killed: a new leader allocates the shares; then the first leader restarts and gets a share
// again.
void leader_killed() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader(), observer = (first + 1) % 9;
  s.kill(first);
  s.f->wait_until([&] { return s.leader() >= 0 && s.leader() != first; }, observer);
  s.wait_for_fair_shares(without({first}));
  s.f->start(first);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// A partition leaves the leader on the side without a majority: that side falls back to its guaranteed
// shares, and the other side elects a leader and divides the rest. After the partition all nodes get their
// fair shares again.
void leader_partitioned() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader();
  const std::set<int> minority = {first, (first + 1) % 9, (first + 2) % 9, (first + 3) % 9};
  s.cut(minority);
  for (const int i : minority) s.f->wait_until([&] { return s.share(i) == 1; }, i);
  for (const int i : without(minority)) s.f->wait_until([&] { return s.share(i) > 14; }, i);
  s.f->relay->heal();
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// A node is paused past the end of its lease and resumed: it uses its guaranteed share at once and never the
// expired share. The node is partitioned before it resumes, so that a renewal cannot hide which share it
// uses.
void paused_past_its_lease() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.f->at(7).signal(SIGSTOP);
  s.f->wait_until([&] { return s.share(8) > 10.2; }, 8);  // the other nodes have got the share of node 7
  s.cut({7});
  s.f->at(7).signal(SIGCONT);
  for (int sample = 0; sample < 10; ++sample) {
    CHECK(s.share(7) == s.guaranteed_share);
    std::this_thread::sleep_for(30ms);
  }
  s.f->relay->heal();
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// The clocks of three nodes are as fast, and those of three others as slow, as the configured drift allows,
// while changing demand moves the shares.
void clocks_drift_apart() {
  quota_cluster s({.drift = 0.05, .rate = [](int i) { return i % 3 == 0 ? 1.05 : i % 3 == 1 ? 0.95 : 1.0; }});
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 9; ++i) s.set_demand(i, (i + round) % 3 == 0 ? 400 : 1);
    if (round == 2) s.kill(0);  // a node with a fast clock, whether it is the leader or not
    if (round == 3) s.f->start(0);
    if (round == 4) s.f->at(5).signal(SIGSTOP);
    if (round == 5) s.f->at(5).signal(SIGCONT);
    std::this_thread::sleep_for(1500ms);
  }
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Nine nodes join at once without knowing the others, each with demand far above its share.
void all_nodes_join_at_once() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// Four nodes are killed at once: the other five are still a majority and get the whole limit except the
// guaranteed shares of the four.
void four_of_nine_nodes_killed() {
  quota_cluster s;
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  for (const int i : {1, 3, 5, 7}) s.kill(i);
  s.f->wait_until([&] { return s.share(0) > 14 && s.share(8) > 14; }, 0);
  s.audit();
}

// One node gets a burst of demand while the others are idle: its share grows to nearly the limit within a few
// renewals. When the others have demand too, the limit is divided.
void burst_on_one_node() {
  quota_cluster s;
  s.f->wait_until([&] { return s.leader() >= 0 && s.lease_stands(4); }, 0);
  s.set_demand(4, 400);
  s.f->wait_until([&] { return s.share(4) > 55; }, 4);
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.audit();
}

// With demand far above the limit on every node the shares in force add up to nearly the limit, and the
// remaining requests are rejected at once with a retry-after.
void demand_far_above_the_limit() {
  quota_cluster s;
  s.set_all_demand(900);
  s.wait_for_fair_shares(all_nodes());
  CHECK(s.sum() >= 0.9 * quota_cluster::global_limit);
  CHECK(s.rejected(2) > 0 && s.longest_rejection_ms() < 1000);
  s.audit();
}

// A quota of runs in flight: the runs on all runtimes together never exceed the quota while the leader is
// partitioned with three other nodes, a node is paused, and another is killed and restarted. With demand far
// above the quota it is nearly used up.
void runs_in_flight_stay_within_the_quota() {
  quota_cluster s({.run_ms = 150});
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  s.f->wait_until([&] { return s.in_flight() > 0.75 * quota_cluster::global_limit; }, 0);
  const int first = s.leader();
  const std::set<int> minority = {first, (first + 1) % 9, (first + 2) % 9, (first + 3) % 9};
  s.cut(minority);
  for (const int i : without(minority)) s.f->wait_until([&] { return s.share(i) > 14; }, i);
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

// Hot restarts of three nodes in turn, the leader among them, with demand far above the limit: while two
// processes of a member run, the runs of all processes stay within the limit.
void hot_restarts_stay_within_the_quota() {
  quota_cluster s({.run_ms = 150, .guaranteed_share = 5});
  s.set_all_demand(400);
  s.wait_for_fair_shares(all_nodes());
  const int first = s.leader();
  for (const int i : {first, (first + 1) % 9, (first + 2) % 9}) {
    s.replace(i, [] { std::this_thread::sleep_for(2s); });  // longer than the lease and the suspicion timeout
    s.wait_for_fair_shares(all_nodes());
  }
  CHECK(s.f->declared_out(all_nodes()) == 0);
  std::printf("most in flight at one instant: %d of %.0f\n", s.most_in_flight(), quota_cluster::global_limit);
  CHECK(s.most_in_flight() <= quota_cluster::global_limit);
  s.audit();
}

// Nodes are killed and restarted while their runs continue on the runtime: the runs that the killed process
// left behind still count against the quota, including those within its guaranteed share.
void runs_of_a_killed_process_count() {
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

// The sections of an operator's file that make kurs-meldung a transaction over the participants kurse and
// buch.
std::string transaction_settings(const std::string& folder, const std::string& buch_address) {
  return "dependency buch {\n endpoints = {\"" + buch_address +
         "\"}\n}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/liste\"}\n keyed = yes\n window = 10m\n"
         " participants = {kurse, buch}\n}\nkeyed {\n folder = \"" +
         folder + "-results\"\n uwsgi_var = KEY\n}\nwrites {\n folder = \"" + folder +
         "-writes\"\n step_var = STEP\n id_var = WRITE_ID\n retry = 60ms\n longest_retry = 200ms\n}\n";
}

// A quota of in-flight calls at an upstream that all nine nodes call: the fake upstream counts its open calls
// while the leader is killed and restarted and a node is paused, with demand far above the limit. With
// `transactions` true the upstream is a participant of transactions, whose steps count as calls.
void calls_in_flight_stay_within_the_quota(bool transactions) {
  constexpr int limit = 45, callers_per_node = 15;
  peers::uwsgi_server kurse([](const peers::uwsgi_request&) {
    return peers::reaction{80ms, peers::manner::whole, "101.42"};
  });
  peers::uwsgi_server buch([](const peers::uwsgi_request&) { return peers::reaction{}; });
  char folders[] = "/tmp/marblewharf-shared-XXXXXX";
  CHECK(::mkdtemp(folders) != nullptr);
  std::vector<int> ports;
  for (int i = 0; i < 9; ++i) ports.push_back(free_port());
  test_cluster_options o;
  o.operators = [&](int i) {
    std::ostringstream t;
    t << "uwsgi {\n listen = \"" << own_host() << ":" << ports[static_cast<std::size_t>(i)]
      << "\"\n servers = {\"" << kurse.address()
      << "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n"
      << "dependency kurse {\n endpoints = {\"" << kurse.address()
      << "\"}\n budget = 2s\n hedge_quantile = 0\n}\n"
      << (transactions ? transaction_settings(folders + ("/" + std::to_string(i)), buch.address())
                       : "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n"
                         "part kurse {\n class = kurs-abfrage\n from = kurse\n}\n")
      << "budgets {\n lease = 1s\n renew = 200ms\n settle = 300ms\n}\n"
      << "budget kurse {\n unit = calls\n dependency = kurse\n whole = " << limit << "\n}\n";
    return t.str();
  };
  o.edit = [](int, node_options& n) { n.cores = 128; };
  test_cluster f(o);
  std::atomic<bool> stopping = false;
  std::vector<std::thread> callers;
  for (int i = 0; i < 9 * callers_per_node; ++i) {
    callers.emplace_back([&, i] {
      for (int number = 0; !stopping; ++number) {
        std::this_thread::sleep_for(5ms);
        if (!f.running(i % 9)) continue;
        const std::string request =
            uwsgi_peer::packet({{"PATH_INFO", "/kurs/liste"},
                                {"REMOTE_USER", "isar-invest"},
                                {"QUERY_STRING", std::to_string(i)},
                                {"KEY", std::to_string(i) + "-" + std::to_string(number)},
                                {"CONTENT_LENGTH", "2"}},
                               "in");
        peers::frail c(ports[static_cast<std::size_t>(i % 9)]);
        c.send(request);
        std::string in;
        while (!stopping && c.more(in, 3000)) {
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
  f.wait_until([&] { return kurse.most_open > 0.7 * limit; }, 0);
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
  stopping = true;
  for (std::thread& t : callers) t.join();
  std::printf("most calls open at one instant: %d of %d, %d in all\n", kurse.most_open.load(), limit,
              kurse.requests.load());
  CHECK(kurse.most_open <= limit);
  std::filesystem::remove_all(folders);
}
void fan_out_calls_in_flight() {
  calls_in_flight_stay_within_the_quota(false);
}
void transaction_calls_in_flight() {
  calls_in_flight_stay_within_the_quota(true);
}

// An unusable quota setting stops the start with file, line and key.
void setting_errors_name_file_line_and_key() {
  // Returns the exit status and the log of a node that is started with this operator's file.
  const auto start_error = [](const std::string& text) {
    runtime r;
    node_options o;
    o.operators = text;
    node n(r, o);
    const int exit_status = n.wait();
    return std::to_string(exit_status) + " " + n.log();
  };
  CHECK(start_error("budget a {\n unit = runs\n whole = 4\n}\n")
            .find(":4: budget \"a\" is set, but section fleet is missing") != std::string::npos);
  CHECK(
      start_error("budgets {\n lease = 2s\n}\n").find(":3: budgets is set, but there is no section budget") !=
      std::string::npos);
  const std::string fleet =
      "fleet {\n name = k\n listen = \"127.0.0.1:7946\"\n zone = z\n seeds = {\"127.0.0.1:7946\"}\n}\n"
      "zone z {\n region = r\n members = {\"127.0.0.1:7946\", \"127.0.0.1:7947\"}\n}\n";
  CHECK(start_error(fleet + "budget a {\n unit = runs\n whole = 4\n safe = 3\n}\n")
            .find(":14: budget \"a\".safe times 2 members exceeds whole: \"3\"") != std::string::npos);
  CHECK(start_error(fleet + "budget a {\n unit = requests\n whole = 4\n tenant = nobody\n}\n")
            .find(":14: budget \"a\".tenant is not defined in the platform's settings: \"nobody\"") !=
        std::string::npos);
  CHECK(start_error(fleet + "budget a {\n unit = runs\n whole = 4\n tenant = isar-invest\n}\n")
            .find(":14: budget \"a\".tenant is only allowed with unit = requests") != std::string::npos);
}

}  // namespace

int main(int, char** argv) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed()));
  const std::map<std::string, void (*)()> tests = {{"allocator_killed", leader_killed},
                                                   {"allocator_cut_off", leader_partitioned},
                                                   {"paused", paused_past_its_lease},
                                                   {"clocks_apart", clocks_drift_apart},
                                                   {"all_join", all_nodes_join_at_once},
                                                   {"four_nodes_killed", four_of_nine_nodes_killed},
                                                   {"burst", burst_on_one_node},
                                                   {"demand_far_above", demand_far_above_the_limit},
                                                   {"runs_in_flight", runs_in_flight_stay_within_the_quota},
                                                   {"hot_restarts", hot_restarts_stay_within_the_quota},
                                                   {"restarted_at_once", runs_of_a_killed_process_count},
                                                   {"calls_in_flight", fan_out_calls_in_flight},
                                                   {"writes_in_flight", transaction_calls_in_flight},
                                                   {"faults", setting_errors_name_file_line_and_key}};
  tests.at(argv[1])();
  std::printf("%s passed\n", argv[1]);
  return 0;
}
