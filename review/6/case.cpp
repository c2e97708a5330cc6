// Two classes of the platform are keyed. The operator's file keeps the results of one of them (kurs-meldung)
// on disk; the other (kurs-liste) is left to the platform's settings. A balancer's connection is reset just
// as the answer comes, and the balancer tries again within the window. No write may run twice.
#include "../site-2.hpp"

using namespace review;

namespace {

constexpr int window_ms = 5000;  // of both classes

// Sends one try and resets the connection once the first byte of the answer can be read.
void ask_and_reset(int port, const std::string& frame) {
  harness::connection client = harness::connection::to(port);
  client.send(frame);
  CHECK(client.readable(5000));
  client.reset();
}

}  // namespace

int main(int, char** argv) {
  record out(std::string(argv[1]) + "/record.txt");
  temporary_folder folder;
  runtime cores(out);
  catalog list;
  site_options site{harness::free_port(), cores.port(), list.port, harness::free_port()};
  std::string config = munich_config(site);
  const std::string meldung = "{\"Name\":\"kurs-meldung\"";
  config.insert(config.find(meldung),
                "{\"Name\":\"kurs-liste\",\"Effect\":\"keyed\",\"Credit\":1.0,\"LateValue\":0.0,"
                "\"Objective\":2900000000,\"Deadline\":8800000000,\"Window\":5000000000},");
  const std::string flags = "[false,false]", worths = "[0.0,0.0]";
  config.replace(config.find(flags), flags.size(), "[false,false,false]");
  config.replace(config.find(worths), worths.size(), "[0.0,0.0,0.0]");
  const std::string operators =
      "class \"kurs-meldung\" {\n keyed = yes\n window = 24h\n}\nkeyed {\n folder = \"" + folder.path +
      "/results\"\n thrift_field = unique\n}\n";
  process node(folder.path, config, operators);
  wait_ready(site.console_port);
  std::this_thread::sleep_for(1s);

  int twice = 0;
  constexpr int writes = 20;
  for (int i = 1; i <= writes; ++i) {
    const std::string verb = i % 2 == 0 ? "kurs-liste" : "kurs-meldung";
    const std::string body = verb + " " + std::to_string(i);
    const std::int64_t first_door = unix_ms();
    if (trouble()) {
      ask_and_reset(site.listen_port, harness::execute(1, fields_of(2 * i, verb, key_of(i)), body));
      out.line("client: first try of %s: its connection was reset as the answer came", body.c_str());
      std::this_thread::sleep_for(100ms);
    }
    const bool in_window = unix_ms() - first_door < window_ms;
    const std::string kind =
        ask(site.listen_port, harness::execute(1, fields_of(2 * i + 1, verb, key_of(i)), body), 5s);
    out.line("client: %s of %s: %s", trouble() ? "second try" : "only try", body.c_str(), kind.c_str());
    const int runs = cores.runs_of(body);
    out.line("runtime: %s ran %d times", body.c_str(), runs);
    twice += runs > 1 && in_window;
  }
  CHECK(node.runs());
  out.line("%d of %d writes ran twice", twice, writes);
  std::printf("%d of %d writes ran twice\n", twice, writes);
  return twice > 0 ? rule_broken : rule_held;
}
