// The price node: one program on real sockets round the decision module. Wiring only.
#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <cstdio>
#include <exception>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "node/serve.hpp"
#include "pcap/recorder.hpp"
#include "telemetry/telemetry.hpp"

namespace {

using namespace marblewharf;

constexpr int usage_error = 2;

void start(const std::string& operators, const std::string& record) {
  config settings = load_config();
  if (!operators.empty()) apply_operator_file(settings, operators);
  std::optional<pcap::recorder> recorder;
  if (!record.empty()) recorder.emplace(record.c_str(), settings.bounds.record);
  telemetry::limit_lines(settings.bounds.log_lines);
  node::serve(settings, recorder ? &*recorder : nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A price node. PROXY_CONFIG names the platform's configuration.", "marblewharf");
  std::string operators, record;
  app.add_option("--settings", operators, "the operator's file: settings of our own parts")->type_name("FILE");
  app.add_option("--record", record, "write what goes over the fronts' connections to a capture file")
      ->type_name("FILE");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : usage_error;
  }
  try {
    start(operators, record);
    return 0;
  } catch (const Poco::Exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.displayText().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.what());
  }
  return 1;
}
