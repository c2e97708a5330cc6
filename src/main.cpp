// The executable: parses the command line, then serves as a price node or runs a command on a folder of a
// stopped node.
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

constexpr int usage_error = 2;  // exit status

void serve_node(const std::string& operator_file, const std::string& capture_file) {
  server::install_signal_handlers();
  config settings = load_config();
  if (!operator_file.empty()) apply_operator_file(settings, operator_file);
  std::optional<pcap::recorder> recorder;
  if (!capture_file.empty()) recorder.emplace(capture_file.c_str(), settings.bounds.max_capture_file_bytes);
  telemetry::set_log_rate_limit(settings.bounds.log_lines_per_s);
  server::serve(settings, recorder ? &*recorder : nullptr);
}

// Adds the subcommand `results`, which reads and repairs the idempotency folder of a stopped node.
// `exit_status`: set by `results show` to 0 if there is a result, otherwise to 1.
void add_results_command(CLI::App& app, idempotency::results_query& query, int& exit_status) {
  CLI::App* results = app.add_subcommand("results", "read the stored idempotent results of a stopped node");
  results->require_subcommand(1);
  const auto add = [&](const char* name, const char* description, std::function<void()> run) {
    CLI::App* command = results->add_subcommand(name, description);
    command->add_option("FOLDER", query.folder, "idempotency folder named in the settings")->required();
    command->final_callback(std::move(run));
    return command;
  };
  add("list", "print one line for each key", [&] { idempotency::list_results(query); });
  add("verify", "read all records and verify their checksums", [&] { idempotency::verify_results(query); });
  CLI::App* show = add("show", "print the bytes of one result",
                       [&] { exit_status = idempotency::show_result(query) ? 0 : 1; });
  show->add_option("TENANT", query.tenant)->required();
  show->add_option("CLASS", query.request_class)->required();
  show->add_option("KEY", query.key)->required();
  CLI::App* set_aside = add("set-aside", "take a damaged segment out of use; its keys are lost",
                            [&] { idempotency::set_segment_aside(query); });
  set_aside->add_option("SEGMENT", query.segment, "file name of the segment")->required();
}

// Adds the subcommand `store`, which reads and maintains a folder of tables that no process has locked.
void add_store_command(CLI::App& app, store::store_query& query) {
  CLI::App* group = app.add_subcommand("store", "read and maintain a folder of tables that no process uses");
  group->require_subcommand(1);
  const auto add = [&](const char* name, const char* description, void (*run)(const store::store_query&)) {
    CLI::App* command = group->add_subcommand(name, description);
    command->add_option("FOLDER", query.folder)->required();
    command->final_callback([&query, run] { run(query); });
    return command;
  };
  add("stat", "print statistics", store::show_store);
  add("verify", "verify all checksums, and compare the checkpoint with the log", store::verify_store);
  add("dump", "print one line for each key", store::dump_store)
      ->add_option("--table", query.table, "dump only this table");
  CLI::App* compact = add("compact", "compact until no more space can be reclaimed", store::compact_store);
  CLI::App* backup = add("backup", "copy the folder into an empty folder", store::backup_store);
  CLI::App* restore =
      add("restore", "verify a backup, then copy the backup into an empty folder", store::restore_store);
  for (CLI::App* command : {backup, restore}) command->add_option("TO", query.target)->required();
  for (CLI::App* command : {compact, backup}) {
    command->add_option("--segment", query.segment, "segment size in bytes, as in the node's settings")
        ->capture_default_str();
    command->add_option("--space", query.space, "space limit in bytes, as in the node's settings")
        ->capture_default_str();
  }
  compact->add_option("--amplification", query.amplification, "bytes on disk for each byte of live data")
      ->capture_default_str();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A price node. The environment variable PROXY_CONFIG names the platform's configuration file.",
               "marblewharf");
  std::string operator_file, capture_file;
  app.add_option("--settings", operator_file, "the operator's file, with settings of the optional components")
      ->type_name("FILE");
  app.add_option("--record", capture_file, "write the traffic of the client connections to a capture file")
      ->type_name("FILE");
  idempotency::results_query results_query;
  int exit_status = 0;
  add_results_command(app, results_query, exit_status);
  store::store_query store_query;
  add_store_command(app, store_query);
  try {
    app.parse(argc, argv);
    if (app.get_subcommands().empty()) serve_node(operator_file, capture_file);
    return exit_status;
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : usage_error;
  } catch (const Poco::Exception& error) {
    std::fprintf(stderr, "marblewharf: %s\n", error.displayText().c_str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "marblewharf: %s\n", error.what());
  }
  return 1;
}
