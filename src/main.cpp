// The price node: one program on real sockets round the decision module. Wiring only.
#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "config/operator_file.hpp"
#include "idempotency/results_command.hpp"
#include "pcap/recorder.hpp"
#include "server/serve.hpp"
#include "server/signals.hpp"
#include "store/store_command.hpp"
#include "telemetry/telemetry.hpp"

namespace {

using namespace marblewharf;

constexpr int usage_error = 2;

void start(const std::string& operators, const std::string& record) {
  server::install_signal_handlers();
  config settings = load_config();
  if (!operators.empty()) apply_operator_file(settings, operators);
  std::optional<pcap::recorder> recorder;
  if (!record.empty()) recorder.emplace(record.c_str(), settings.bounds.record);
  telemetry::limit_lines(settings.bounds.log_lines);
  server::serve(settings, recorder ? &*recorder : nullptr);
}

// What a stopped node keeps. Sets `status` where the answer is 'no'.
void add_results(CLI::App& app, idempotency::results_query& q, int& status) {
  CLI::App* results = app.add_subcommand("results", "the kept results of a stopped node");
  results->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, std::function<void()> run) {
    CLI::App* one = results->add_subcommand(name, what);
    one->add_option("FOLDER", q.folder, "as the settings name it")->required();
    one->final_callback(std::move(run));
    return one;
  };
  add("list", "one line for each key", [&] { idempotency::list_results(q); });
  add("verify", "read all of it and check each sum", [&] { idempotency::verify_results(q); });
  CLI::App* show =
      add("show", "one result, byte for byte", [&] { status = idempotency::show_result(q) ? 0 : 1; });
  show->add_option("TENANT", q.tenant)->required();
  show->add_option("CLASS", q.request_class)->required();
  show->add_option("KEY", q.key)->required();
  CLI::App* aside = add("set-aside", "take a damaged segment out of use; its keys are forgotten",
                        [&] { idempotency::set_segment_aside(q); });
  aside->add_option("SEGMENT", q.segment, "the file's name")->required();
}

// What a folder of tables holds while no process has it.
void add_store(CLI::App& app, store::store_query& q) {
  CLI::App* group = app.add_subcommand("store", "a folder of tables that no process has");
  group->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, void (*run)(const store::store_query&)) {
    CLI::App* one = group->add_subcommand(name, what);
    one->add_option("FOLDER", q.folder)->required();
    one->final_callback([&q, run] { run(q); });
    return one;
  };
  add("stat", "figures", store::show_store);
  add("verify", "check every sum, and the checkpoint against the log", store::verify_store);
  add("dump", "a line a key", store::dump_store)->add_option("--table", q.table, "only this one");
  CLI::App* compact = add("compact", "clean until nothing is left to gain", store::compact_store);
  CLI::App* backup = add("backup", "copy it into a folder that holds nothing", store::backup_store);
  CLI::App* restore =
      add("restore", "check a backup, then copy it into a folder that holds nothing", store::restore_store);
  for (CLI::App* one : {backup, restore}) one->add_option("TO", q.to)->required();
  for (CLI::App* one : {compact, backup}) {
    one->add_option("--segment", q.segment, "bytes, as its owner has them")->capture_default_str();
    one->add_option("--space", q.space, "bytes, as its owner has them")->capture_default_str();
  }
  compact->add_option("--amplification", q.amplification, "bytes on disk for one that counts")
      ->capture_default_str();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A price node. PROXY_CONFIG names the platform's configuration.", "marblewharf");
  std::string operators, record;
  app.add_option("--settings", operators, "the operator's file: settings of our own parts")
      ->type_name("FILE");
  app.add_option("--record", record, "write what goes over the fronts' connections to a capture file")
      ->type_name("FILE");
  idempotency::results_query query;
  int status = 0;
  add_results(app, query, status);
  store::store_query tables;
  add_store(app, tables);
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
