// Open transactions of the real program that meet other settings after a kill: each step must reach the
// participant that the transaction began with, or none.
#include <filesystem>
#include <map>
#include <vector>

#include "../peers/idle_runtime.hpp"
#include "transaction_participant.hpp"
#include "uwsgi_peer.hpp"

using namespace harness;
using peers::manner;
using peers::reaction;
using peers::uwsgi_request;

namespace {

// A dependency of the settings, in the order of the plan. Its requests have the path "/NAME".
struct named_participant {
  std::string name;
  std::vector<const participant*> endpoints;
};

// A node whose request class kurs-meldung is a transaction over the participants of its settings.
class site {
 public:
  // `server`: the uwsgi server of requests without participants; empty: one that cannot be reached.
  explicit site(const std::vector<named_participant>& participants, const std::string& server = "")
      : server_(server.empty() ? own_host() + ":1" : server) {
    char name[] = "/tmp/marblewharf-recovery-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder_ = name;
    start(participants);
  }
  ~site() {
    price_node_.reset();
    std::filesystem::remove_all(folder_);
  }
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  void start(const std::vector<named_participant>& participants) {
    node_options options;
    options.quota = options.other_quota = 100000;
    options.cores = 64;
    options.write_aim_ms = 400;
    options.operators = settings_of(participants);
    price_node_ = std::make_unique<node>(runtime_.at, options);
    price_node_->logged(" start: n0");
  }
  // Changes the folder of the transaction log for the next start.
  void use_log_folder(const std::string& name) { log_folder_ = name; }
  // Kills the node and starts it with these participants.
  void restart(const std::vector<named_participant>& participants) {
    price_node_->signal(SIGKILL);
    price_node_->wait();
    start(participants);
  }
  // Starts a second process with these participants, and kills the first one, whose folders it takes over.
  void replace(const std::vector<named_participant>& participants) {
    const std::unique_ptr<node> predecessor = std::move(price_node_);
    start(participants);
    predecessor->signal(SIGKILL);
    predecessor->wait();
    price_node_->logged("/writes: taken over from the other process");
  }
  connection ask(const std::string& key) {
    connection c = connection::to(port_);
    c.send(uwsgi_peer::packet({{"PATH_INFO", "/kurs/meldung"},
                               {"REMOTE_USER", "isar-invest"},
                               {"KEY", key},
                               {"CONTENT_LENGTH", "1"}},
                              "x"));
    return c;
  }
  std::string status(const std::string& key) { return ask(key).rest().substr(9, 3); }
  node& price_node() { return *price_node_; }

 private:
  std::string settings_of(const std::vector<named_participant>& participants) const {
    std::string dependencies, names;
    for (const named_participant& each : participants) {
      std::string endpoints;
      for (const participant* endpoint : each.endpoints)
        endpoints += (endpoints.empty() ? "\"" : ", \"") + endpoint->server.address() + "\"";
      dependencies += "dependency " + each.name + " {\n endpoints = {" + endpoints + "}\n path = \"/" +
                      each.name + "\"\n}\n";
      names += (names.empty() ? "" : ", ") + each.name;
    }
    return "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(port_) + "\"\n servers = {\"" +
           server_ + "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" + dependencies +
           "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n" +
           (names.empty() ? "" : " participants = {" + names + "}\n") + "}\nkeyed {\n folder = \"" + folder_ +
           "/results\"\n uwsgi_var = KEY\n inquiry_tries = 1\n inquiry_pause = 20ms\n}\nwrites {\n folder = "
           "\"" +
           folder_ + "/" + log_folder_ +
           "\"\n step_var = STEP\n id_var = WRITE_ID\n retry = 60ms\n longest_retry = 200ms\n}\n";
  }

  peers::idle_runtime runtime_;
  int port_ = free_port();
  const std::string server_;
  std::string folder_;
  std::string log_folder_ = "writes";
  std::unique_ptr<node> price_node_;
};

// When the node is killed: before the decision, so that the transaction is to be aborted, or after it, so
// that one participant still has to commit.
enum class kill_moment { before_commit, after_commit };

// The participants konto and buch of open transactions. Each accepts requests with its own path only.
struct open_transactions {
  open_transactions() {
    konto.change([this](const uwsgi_request& q) { return accept(q, "/konto"); });
    buch.change([this](const uwsgi_request& q) {
      const kill_moment moment =
          q.vars.at("KEY")[0] == 'b' ? kill_moment::before_commit : kill_moment::after_commit;
      const bool before = moment == kill_moment::before_commit;
      const bool blocked = q.vars.at("STEP") == (before ? "prepare" : "commit");
      if (failing && blocked) return reaction{{}, before ? manner::hang : manner::error};
      return accept(q, "/buch");
    });
  }
  reaction accept(const uwsgi_request& q, const std::string& path) {
    if (q.vars.at("PATH_INFO") == path) return reaction{};
    misdirected = true;
    return reaction{{}, manner::error};
  }
  static std::string key_of(kill_moment moment) {
    return moment == kill_moment::before_commit ? "before" : "after";
  }
  std::vector<named_participant> settings() const { return {{"konto", {&konto}}, {"buch", {&buch}}}; }

  // Begins a transaction and leaves it open. Before the decision, the abort cannot be delivered either.
  void leave_open(site& node, kill_moment moment) {
    const std::string key = key_of(moment);
    const connection client = node.ask(key);
    wait_until([&] { return konto.steps(key) == (moment == kill_moment::before_commit ? "p" : "pc"); });
  }
  // Leaves a transaction open, and restarts the node with these participants, all of which accept now.
  void restart_with(const std::vector<named_participant>& participants, site& node, kill_moment moment) {
    leave_open(node, moment);
    failing = false;
    node.restart(participants);
  }
  // Whether both participants have got the decision, and only this decision; recovery repeats it.
  bool ended(kill_moment moment) {
    CHECK(!misdirected);
    const std::string key = key_of(moment);
    const bool commit = moment == kill_moment::after_commit;
    for (participant* each : {&konto, &buch}) {
      const std::string steps = each->steps(key);
      CHECK(steps.find(commit ? 'a' : 'c') == std::string::npos);
      if (!steps.ends_with(commit ? 'c' : 'a')) return false;
    }
    return true;
  }
  // Neither participant has got a step since the kill.
  bool untouched(kill_moment moment) {
    CHECK(!misdirected);
    const std::string key = key_of(moment);
    return moment == kill_moment::after_commit ? konto.steps(key) == "pc" && buch.steps(key) == "p"
                                               : konto.steps(key) == "p" && buch.steps(key).empty();
  }

  std::atomic<bool> failing = true;
  std::atomic<bool> misdirected = false;  // a participant has got a step with the path of another one
  participant konto, buch;                // last, because their threads use the other members
};

constexpr std::array both_moments = {kill_moment::before_commit, kill_moment::after_commit};
constexpr auto several_retries = 500ms;

// Guards against steps that reach another participant because the settings list them in another order, or
// list a new one before them.
void reordered_participants_get_their_own_steps() {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    participant depot;
    site node(open.settings());
    open.restart_with({{"depot", {&depot}}, {"buch", {&open.buch}}, {"konto", {&open.konto}}}, node, moment);
    wait_until([&] { return open.ended(moment); });
    CHECK(depot.transactions() == 0);
  }
}

// Two transactions are open at once, one before and one after its decision.
void two_open_transactions_are_told_apart() {
  open_transactions open;
  site node(open.settings());
  for (const kill_moment moment : both_moments) open.leave_open(node, moment);
  open.failing = false;
  node.restart({{"buch", {&open.buch}}, {"konto", {&open.konto}}});
  for (const kill_moment moment : both_moments) wait_until([&] { return open.ended(moment); });
}

// A participant that the settings no longer have leaves the transaction open and its outcome unknown. It is
// resumed when the participant is back.
void check_held_until_back(
    const std::function<std::vector<named_participant>(open_transactions&, participant&)>& change) {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    participant depot;
    site node(open.settings());
    open.restart_with(change(open, depot), node, moment);
    CHECK(node.status(open_transactions::key_of(moment)) == "409");
    std::this_thread::sleep_for(several_retries);
    CHECK(open.untouched(moment) && depot.transactions() == 0);
    node.price_node().logged("is not resumed: ");
    node.price_node().logged("0 open transactions, 1 that are not resumed");
    node.restart(open.settings());
    wait_until([&] { return open.ended(moment); });
  }
}

void removed_participant_holds_the_transaction() {
  check_held_until_back([](open_transactions& open, participant&) {
    return std::vector<named_participant>{{"buch", {&open.buch}}};
  });
}

void replaced_participant_holds_the_transaction() {
  check_held_until_back([](open_transactions& open, participant& depot) {
    return std::vector<named_participant>{{"depot", {&depot}}, {"buch", {&open.buch}}};
  });
}

void renamed_participant_holds_the_transaction() {
  check_held_until_back([](open_transactions& open, participant&) {
    return std::vector<named_participant>{{"depot", {&open.konto}}, {"buch", {&open.buch}}};
  });
}

void swapped_addresses_hold_the_transaction() {
  check_held_until_back([](open_transactions& open, participant&) {
    return std::vector<named_participant>{{"konto", {&open.buch}}, {"buch", {&open.konto}}};
  });
}

// Each endpoint of a participant has transactions of its own, so none takes over from one that was removed.
void removed_endpoint_holds_the_transaction() {
  check_held_until_back([](open_transactions& open, participant& depot) {
    return std::vector<named_participant>{{"konto", {&depot, &depot}}, {"buch", {&open.buch}}};
  });
}

// A participant with one endpoint that has moved gets its steps at the new address.
void moved_participant_gets_its_steps() {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    site node(open.settings());
    open.leave_open(node, moment);
    participant moved([&open](const uwsgi_request& q) { return open.accept(q, "/buch"); });
    node.restart({{"konto", {&open.konto}}, {"buch", {&moved}}});
    const std::string expected = moment == kill_moment::after_commit ? "c" : "a";
    wait_until([&] { return moved.steps(open_transactions::key_of(moment)) == expected; });
  }
}

// Guards against steps to the wrong participants where a process with other settings takes over from one that
// still runs, instead of being started after it.
void successor_continues_by_name() {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    participant depot;
    site node(open.settings());
    open.leave_open(node, moment);
    node.replace({{"depot", {&depot}}, {"buch", {&open.buch}}, {"konto", {&open.konto}}});
    open.failing = false;
    wait_until([&] { return open.ended(moment); });
    CHECK(depot.transactions() == 0);
  }
}

// The same with a participant that the successor's settings do not have.
void successor_without_a_participant_holds_the_transaction() {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    site node(open.settings());
    open.leave_open(node, moment);
    node.replace({{"buch", {&open.buch}}});
    open.failing = false;
    CHECK(node.status(open_transactions::key_of(moment)) == "409");
    std::this_thread::sleep_for(several_retries);
    CHECK(open.untouched(moment));
    node.price_node().logged("0 open transactions, 1 that are not resumed");
  }
}

// Guards against a second effect of a write that went to a uwsgi server: after the class has got
// participants, the log of transactions has no record of the write, which proves nothing.
void added_participants_leave_earlier_writes_unknown() {
  std::atomic<int> received = 0;
  const peers::uwsgi_server server([&received](const uwsgi_request&) {
    ++received;
    return reaction{{}, manner::hang};
  });
  open_transactions open;
  open.failing = false;
  site node({}, server.address());
  const connection client = node.ask("x");
  wait_until([&] { return received == 1; });
  node.restart(open.settings());
  for (int attempt = 0; attempt < 2; ++attempt) CHECK(node.status("x") == "409");
  CHECK(received == 1 && open.konto.transactions() == 0 && open.buch.transactions() == 0);
}

// Guards against a second effect of a transaction whose log is not that of the settings. In its own log it is
// continued, and an abort frees its key.
void other_log_leaves_the_transaction_unknown() {
  for (const kill_moment moment : both_moments) {
    open_transactions open;
    site node(open.settings());
    node.use_log_folder("other");
    open.restart_with(open.settings(), node, moment);
    const std::string key = open_transactions::key_of(moment);
    for (int attempt = 0; attempt < 2; ++attempt) CHECK(node.status(key) == "409");
    CHECK(open.untouched(moment));
    node.use_log_folder("writes");
    node.restart(open.settings());
    wait_until([&] { return open.ended(moment); });
    const std::string expected = moment == kill_moment::after_commit ? "200" : "503";
    wait_until([&] { return node.status(key) == expected; });
  }
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"reorder", reordered_participants_get_their_own_steps},
      {"two_open", two_open_transactions_are_told_apart},
      {"removed", removed_participant_holds_the_transaction},
      {"replaced", replaced_participant_holds_the_transaction},
      {"renamed", renamed_participant_holds_the_transaction},
      {"swapped", swapped_addresses_hold_the_transaction},
      {"removed_endpoint", removed_endpoint_holds_the_transaction},
      {"moved", moved_participant_gets_its_steps},
      {"successor", successor_continues_by_name},
      {"successor_removed", successor_without_a_participant_holds_the_transaction},
      {"added", added_participants_leave_earlier_writes_unknown},
      {"other_log", other_log_leaves_the_transaction_unknown}};
  tests.at(argv[1])();
  return 0;
}
