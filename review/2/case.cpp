// Case 2: a keyed write whose start was not yet confirmed when the runtime's link broke, while the work
// hangs. See claim.txt.
#include "../standins.hpp"

using namespace review;

namespace {

// FLEET, Few price nodes: another effect, shorter deadlines. The window is the site's.
constexpr int objective_ms = 600;
constexpr int deadline_ms = 800;
constexpr int window_ms = 5000;
constexpr double work_ms = 160;  // of a kurs-meldung

// The work hangs for 7.4 s: USER, Troubles so far, has 7.2 to 23 s. Try 1 comes in its last 1.2 s.
constexpr int hang_before_try1_ms = 6200;
constexpr int hang_after_try1_ms = 1200;
constexpr int outage_ms = 880;  // until the link is accepted again

message answer_to(balancer& caller, int seqid, int within_ms) {
  const auto until = steady::now() + std::chrono::milliseconds(within_ms);
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - steady::now()).count();
    if (left <= 0) return {};
    message m = caller.next(static_cast<int>(left));
    if (m.kind.empty() || m.seqid == seqid) return m;
  }
}

void report(const char* what, const message& answer) {
  record::line("answer to %s: %s%s%s%s", what, answer.kind.empty() ? "none" : answer.kind.c_str(),
               answer.body.empty() ? "" : ": ", answer.body.c_str(),
               answer.header.contains("outcome") ? " (outcome unknown)" : "");
}

int play() {
  scratch s;
  catalog reports;
  runtime cores;
  site m = muenchen();
  class_of_requests& write = m.classes.back();
  write.effect = "keyed";
  write.objective_ms = objective_ms;
  write.deadline_ms = deadline_ms;
  write.window_ms = window_ms;
  cores.halt = m.halt;
  const addresses at{free_ports(1)[0], cores.port(), reports.port(), 0};
  node process("price node",
               {{"PROXY_NAME", "n1"},
                {"PROXY_LISTEN", host_port(at.listen)},
                {"PROXY_CONFIG", s.write("config.json", configuration(m, at))},
                {"TMPDIR", s.folder("tmp")}},
               s.path() + "/log");
  wait_until_healthy(at.listen, process);
  if (trouble()) cores.stand_still(true);
  sleep_ms(hang_before_try1_ms);

  const std::string key = "7b0f6e1a2b3d4c59a8b7c6d5e4f30212";
  const std::string body = "kurs-meldung DE0008474503 101.42";
  balancer caller(at.listen);

  const request try1 = try_of(1, "kurs-meldung", "isar-invest", body, key);
  const auto start_of_1 = steady::now();
  const std::int64_t door1 = try1.door_ms;
  const auto at_ms = [&](int ms) {
    std::this_thread::sleep_until(start_of_1 + std::chrono::milliseconds(ms));
  };
  cores.written(try1, work_ms);
  // PROTOCOL: runs continue while no link exists.
  if (trouble()) cores.break_link_behind_start(try1.txn, outage_ms);
  int seqid = caller.execute(try1);
  record::line("try 1 written: txn %s, unique %s", try1.txn.c_str(), key.c_str());
  message answer = answer_to(caller, seqid, deadline_ms + m.slack_ms + 50);
  report("try 1", answer);
  cores.over(try1.txn);
  if (answer.kind.empty()) throw cannot_run("try 1 was not answered");

  at_ms(1100);
  // The client tries again: the same request, with a new txn.
  const request try2 = try_of(2, "kurs-meldung", "isar-invest", body, key);
  cores.written(try2, work_ms);
  seqid = caller.execute(try2);
  const std::int64_t written2 = unix_ms();
  if (written2 - door1 >= window_ms) throw cannot_run("try 2 was not written within the window");
  record::line("try 2 written: txn %s, the same unique and body, %lld ms after the door of try 1",
               try2.txn.c_str(), static_cast<long long>(written2 - door1));
  if (trouble()) {
    at_ms(hang_after_try1_ms);
    cores.stand_still(false);
  }
  answer = answer_to(caller, seqid, deadline_ms + m.slack_ms + 50);
  report("try 2", answer);
  cores.over(try2.txn);
  sleep_ms(600);

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
