// A site without tenants: the settings list none, and `team` is empty. Reads and keyed writes are sent; each
// needs one final answer by the deadline of its class and the slack.
#include "../site-2.hpp"

using namespace review;

int main(int, char** argv) {
  record out(std::string(argv[1]) + "/record.txt");
  temporary_folder folder;
  runtime cores(out);
  catalog list;
  site_options site{harness::free_port(), cores.port(), list.port, harness::free_port(), !trouble()};
  process node(folder.path, munich_config(site));
  wait_ready(site.console_port);
  std::this_thread::sleep_for(1s);
  const std::string team = trouble() ? "" : "isar-invest";
  out.line("the settings list %s tenants; team is \"%s\"", trouble() ? "no" : "two", team.c_str());

  constexpr int requests = 40;                 // half of them reads, half writes
  constexpr int longest_due = 7300 + 80 + 50;  // the longer of the two classes' deadlines, and the slack
  std::mutex guard;
  std::map<std::string, std::map<std::string, int>> heard;
  std::vector<std::thread> callers;
  for (int i = 1; i <= requests; ++i) {
    callers.emplace_back([&, i] {
      const bool keyed_write = i % 2 == 0;
      const std::string verb = keyed_write ? "kurs-meldung" : "kurs-abfrage";
      const harness::fields f = fields_of(i, verb, keyed_write ? key_of(i) : "", team);
      const std::string kind = ask(site.listen_port, harness::execute(1, f, verb + " " + std::to_string(i)),
                                   std::chrono::milliseconds(longest_due + 1000));
      out.line("client: %s %d: %s", verb.c_str(), i, kind.empty() ? "NO ANSWER" : kind.c_str());
      const std::lock_guard lock(guard);
      ++heard[verb][kind];
    });
    std::this_thread::sleep_for(100ms);
  }
  for (std::thread& each : callers) each.join();
  CHECK(node.runs());
  int lost = 0;
  for (const auto& [verb, kinds] : heard) {
    for (const auto& [kind, count] : kinds) {
      out.line("%s: %s %d", verb.c_str(), kind.empty() ? "no answer" : kind.c_str(), count);
      if (kind.empty()) lost += count;
    }
  }
  std::istringstream log(node.log());
  for (std::string line; std::getline(log, line);)
    if (line.find("internal") != std::string::npos) out.line("log of the node: %s", line.c_str());
  out.line("%d of %d requests never got an answer", lost, requests);
  std::printf("%d of %d requests never got an answer\n", lost, requests);
  return lost > 0 ? rule_broken : rule_held;
}
