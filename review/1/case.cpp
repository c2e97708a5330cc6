// Case 1: a repeat of a keyed write after the process was replaced. See claim.txt.
#include "../standins.hpp"

using namespace review;

namespace {

constexpr int kill_after_ms = 3700;  // DAYS: the longest deadline, taken as 3 s where it is longer, and 0.7 s
constexpr int deadline_ms = 3500;    // of kurs-meldung
constexpr int window_ms = 5000;      // of kurs-meldung

std::vector<std::pair<std::string, std::string>> variables(const scratch& s, const std::string& config,
                                                           const addresses& at) {
  return {{"PROXY_NAME", "n1"},
          {"PROXY_LISTEN", host_port(at.listen)},
          {"PROXY_CONFIG", config},
          {"PROXY_CONSOLE", host_port(at.console)},
          {"TMPDIR", s.folder("tmp")}};  // shared by both processes and not emptied
}

void wait_until_ready(const addresses& at, node& process, int within_ms) {
  for (const auto until = steady::now() + std::chrono::milliseconds(within_ms); steady::now() < until;
       sleep_ms(50)) {
    process.require_alive();
    if (console(at.console, "ready") == "200 yes") return;
  }
  throw cannot_run("the console does not say that the process takes clients");
}

// DAYS, Replacing the process.
void replace(const scratch& s, node& first, std::unique_ptr<node>& second, addresses at, const site& m) {
  at.console = free_ports(1)[0];
  const std::string config = s.write("second.json", configuration(m, at));
  second = std::make_unique<node>("second process", variables(s, config, at), s.path() + "/second.log");
  wait_until_ready(at, *second, 6000);
  record::line("the second process says yes");
  first.signal(SIGTERM, "SIGTERM");
  if (!first.ends_within(kill_after_ms)) {
    record::line("first process: SIGKILL");
    first.kill_now();
  }
}

void report(const char* what, const request& sent, const message& answer) {
  record::line("answer to %s (%s): %s%s%s", what, sent.txn.c_str(),
               answer.kind.empty() ? "none" : answer.kind.c_str(), answer.body.empty() ? "" : ": ",
               answer.body.c_str());
}

int play() {
  scratch s;
  catalog reports;
  runtime cores(2);  // the new process is given another address of the runtime
  site m = muenchen();
  m.classes.back().effect = "keyed";  // FLEET, Few price nodes: another effect than the site does
  cores.halt = m.halt;
  const std::vector<int> ports = free_ports(2);
  const addresses first_at{ports[0], cores.port(0), reports.port(), ports[1]};
  const addresses second_at{ports[0], cores.port(1), reports.port(), 0};  // its console: see replace()
  const std::string first_config = s.write("first.json", configuration(m, first_at));

  node first("first process", variables(s, first_config, first_at), s.path() + "/first.log");
  std::unique_ptr<node> second;
  wait_until_healthy(first_at.listen, first);
  wait_until_ready(first_at, first, 10000);

  const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  const std::string body = "kurs-meldung DE0008474503 101.42";
  // The first try. Its connection is reset just as the answer comes, so the answer is lost (LATER, Bad
  // peers).
  const request try1 = try_of(1, "kurs-meldung", "isar-invest", body, key);
  const std::int64_t door1 = try1.door_ms;
  {
    balancer caller(first_at.listen);
    cores.written(try1, 150);
    caller.execute(try1);
    record::line("try 1 written: txn %s, unique %s", try1.txn.c_str(), key.c_str());
    if (!caller.readable(deadline_ms)) throw cannot_run("the first try was not answered");
    record::line("the balancer's connection is reset just as the answer to try 1 comes");
    cores.over(try1.txn);
    caller.reset();
  }
  if (cores.runs().size() != 1) throw cannot_run("the first try did not run");

  if (trouble())
    replace(s, first, second, second_at, m);
  else
    sleep_ms(1500);

  // The client tries again: the same request, with a new txn.
  const request try2 = try_of(2, "kurs-meldung", "isar-invest", body, key);
  balancer caller(first_at.listen);
  cores.written(try2, 150);
  caller.execute(try2);
  const std::int64_t written2 = unix_ms();
  if (written2 - door1 >= window_ms) throw cannot_run("try 2 was not written within the window");
  record::line("try 2 written: txn %s, the same unique and body, %lld ms after the door of try 1",
               try2.txn.c_str(), static_cast<long long>(written2 - door1));
  const message answer = caller.next(deadline_ms + m.slack_ms + 50);
  cores.over(try2.txn);
  report("try 2", try2, answer);
  sleep_ms(500);

  const auto runs = cores.runs();
  for (const auto& run : runs)
    record::line("ran: txn %s, begun %lld ms after the door of try 1, %s", run.txn.c_str(),
                 static_cast<long long>(run.started_ms - door1), run.how.c_str());
  record::line("runs of the request within its window of %d ms: %zu (at most 1 is allowed)", window_ms,
               runs.size());
  return runs.size() > 1 ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, play);
}
