// The price node: one program on real sockets round the decision module. Wiring only.
#include <CLI/CLI.hpp>
#include <Poco/Exception.h>

#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "keyed/results_command.hpp"
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

// What a stopped node keeps. Sets `status` where the answer is 'no'.
void add_results(CLI::App& app, keyed::results_query& q, int& status) {
  CLI::App* results = app.add_subcommand("results", "the kept results of a stopped node");
  results->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, std::function<void()> run) {
    CLI::App* one = results->add_subcommand(name, what);
    one->add_option("FOLDER", q.folder, "as the settings name it")->required();
    one->final_callback(std::move(run));
    return one;
  };
  add("list", "one line for each key", [&] { keyed::list_results(q); });
  add("verify", "read all of it and check each sum", [&] { keyed::verify_results(q); });
  CLI::App* show = add("show", "one result, byte for byte", [&] { status = keyed::show_result(q) ? 0 : 1; });
  show->add_option("TENANT", q.tenant)->required();
  show->add_option("CLASS", q.request_class)->required();
  show->add_option("KEY", q.key)->required();
  CLI::App* aside = add("set-aside", "take a damaged segment out of use; its keys are forgotten",
                        [&] { keyed::set_segment_aside(q); });
  aside->add_option("SEGMENT", q.segment, "the file's name")->required();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A price node. PROXY_CONFIG names the platform's configuration.", "marblewharf");
  std::string operators, record;
  app.add_option("--settings", operators, "the operator's file: settings of our own parts")->type_name("FILE");
  app.add_option("--record", record, "write what goes over the fronts' connections to a capture file")
      ->type_name("FILE");
  keyed::results_query query;
  int status = 0;
  add_results(app, query, status);
  try {
    app.parse(argc, argv);
    if (app.get_subcommands().empty()) start(operators, record);
    return status;
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : usage_error;
  } catch (const Poco::Exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.displayText().c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf: %s\n", e.what());
  }
  return 1;
}
