// marblewharf_fleet: runs longer fault experiments on clusters of real processes on loopback. Writes the
// results as CSV, as HDF5 and as a gnuplot script, and draws the chart as PNG if gnuplot is installed.
#include <H5Cpp.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>

#include "experiments.hpp"

using namespace cluster_experiments;

namespace {

struct column {
  std::string name;
  std::vector<double> values;
};
// A table of results; all columns have the same number of values.
struct table {
  std::string name;
  std::vector<column> columns;
};

template <typename Row>
table table_of(const std::string& name, const std::vector<Row>& rows,
               const std::vector<std::pair<const char*, std::function<double(const Row&)>>>& fields) {
  table results{name, {}};
  for (const auto& [title, value] : fields) {
    column c{title, {}};
    for (const Row& r : rows) c.values.push_back(value(r));
    results.columns.push_back(std::move(c));
  }
  return results;
}

void write_csv(const std::string& path, const table& results) {
  std::ofstream out(path);
  for (std::size_t c = 0; c < results.columns.size(); ++c)
    out << (c > 0 ? "," : "") << results.columns[c].name;
  out << '\n';
  for (std::size_t r = 0; r < results.columns.front().values.size(); ++r) {
    for (std::size_t c = 0; c < results.columns.size(); ++c)
      out << (c > 0 ? "," : "") << results.columns[c].values[r];
    out << '\n';
  }
  if (!out.flush()) throw std::runtime_error(path + ": cannot write the CSV file");
}

// Writes one group for the experiment with one data set per column. The seed is an attribute of the group.
void write_hdf5(const std::string& path, const table& results, std::uint64_t experiment_seed) {
  H5::H5File file(path, H5F_ACC_TRUNC);
  H5::Group group = file.createGroup("/" + results.name);
  const auto number = static_cast<unsigned long long>(experiment_seed);
  group.createAttribute("seed", H5::PredType::NATIVE_ULLONG, H5::DataSpace(H5S_SCALAR))
      .write(H5::PredType::NATIVE_ULLONG, &number);
  for (const column& c : results.columns) {
    const hsize_t size = c.values.size();
    group.createDataSet(c.name, H5::PredType::NATIVE_DOUBLE, H5::DataSpace(1, &size))
        .write(c.values.data(), H5::PredType::NATIVE_DOUBLE);
  }
}

// Writes the gnuplot script FILE.gp, which draws FILE.png from FILE.csv, and runs the script.
void draw_chart(const std::string& csv, const std::string& png, const std::string& plot) {
  const std::string script = png.substr(0, png.rfind('.')) + ".gp";
  std::ofstream(script) << "set datafile separator ','\nset terminal pngcairo size 900,500\nset output '"
                        << png << "'\nset key top left\nset grid\n"
                        << plot << '\n';
  const std::string command = "gnuplot '" + script + "'";
  if (std::system(command.c_str()) != 0)
    std::fprintf(stderr,
                 "no chart drawn: gnuplot failed or is not installed; the script is %s, its data is %s\n",
                 script.c_str(), csv.c_str());
}

// Writes all output files of an experiment; `plot` is the end of the gnuplot script.
void write_all(const std::string& out, const table& results, const std::string& plot) {
  write_csv(out + ".csv", results);
  write_hdf5(out + ".h5", results, seed());
  draw_chart(out + ".csv", out + ".png", plot);
  std::printf("%zu rows in %s.csv and %s.h5\n", results.columns.front().values.size(), out.c_str(),
              out.c_str());
}

struct experiment_options {
  std::string out = "fleet";
  int faults = 10;
  int clusters = 2;
  int probe_ms = 100;
  int seconds = 30;
  int delay_ms = 30;
  double loss = 0.2;
  double duplicated = 0.1;
};

void add_common_options(CLI::App& command, experiment_options& options) {
  command.add_option("--out", options.out, "write the results to OUT.csv, OUT.h5, OUT.gp and OUT.png")
      ->capture_default_str();
  command.add_option("--fleets", options.clusters, "number of clusters that run in parallel")
      ->capture_default_str()
      ->check(CLI::Range(1, 16));
  command.add_option("--probe-ms", options.probe_ms, "probe interval in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(10, 5000));
}

CLI::App* add_losses_command(CLI::App& app, experiment_options& options) {
  CLI::App* const command = app.add_subcommand(
      "losses",
      "zones are lost and recover: time until all members agree, time until all members are healthy again");
  add_common_options(*command, options);
  command->add_option("--faults", options.faults, "total number of zone losses")
      ->capture_default_str()
      ->check(CLI::Range(1, 100000));
  return command;
}

CLI::App* add_lossy_command(CLI::App& app, experiment_options& options) {
  CLI::App* const command = app.add_subcommand(
      "lossy", "datagrams are lost, duplicated and delayed: wrong views of healthy members");
  add_common_options(*command, options);
  command->add_option("--seconds", options.seconds, "duration in seconds")
      ->capture_default_str()
      ->check(CLI::Range(1, 86400));
  command->add_option("--loss", options.loss, "fraction of datagrams lost")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--twice", options.duplicated, "fraction of datagrams sent twice")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--delay-ms", options.delay_ms, "maximum delay of a datagram in milliseconds")
      ->capture_default_str()
      ->check(CLI::Range(0, 10000));
  return command;
}

void run_losses(const experiment_options& options) {
  using row = zone_loss;
  const auto rows = measure_zone_losses(options.faults, options.clusters, options.probe_ms, seed());
  const table results =
      table_of<row>("losses", rows,
                    {{"fault", [](const row& r) { return r.fault; }},
                     {"fleet", [](const row& r) { return r.cluster; }},
                     {"zone", [](const row& r) { return r.zone; }},
                     {"killed", [](const row& r) { return r.fault_kind == "killed"; }},
                     {"one_way", [](const row& r) { return r.fault_kind == "one_way"; }},
                     {"first_ms", [](const row& r) { return r.first_ms; }},
                     {"agreed_ms", [](const row& r) { return r.agreed_ms; }},
                     {"back_ms", [](const row& r) { return r.recovered_ms; }},
                     {"wrong", [](const row& r) { return static_cast<double>(r.wrong_decisions); }}});
  const std::string csv = options.out + ".csv'";
  write_all(options.out, results,
            "set xlabel 'fault'\nset ylabel 'ms'\nplot '" + csv +
                " using 1:7 with points title 'all members agree', '" + csv +
                " using 1:8 with points title 'all members healthy again'");
}

void run_lossy(const experiment_options& options) {
  using row = packet_loss_sample;
  const auto rows =
      measure_packet_loss(options.loss, options.duplicated, std::chrono::milliseconds(options.delay_ms),
                          options.seconds, options.clusters, options.probe_ms);
  const table results = table_of<row>(
      "lossy", rows,
      {{"second", [](const row& r) { return r.second; }},
       {"fleet", [](const row& r) { return r.cluster; }},
       {"suspect", [](const row& r) { return static_cast<double>(r.suspect); }},
       {"dead", [](const row& r) { return static_cast<double>(r.dead); }},
       {"declared_out", [](const row& r) { return static_cast<double>(r.declared_out); }},
       {"local_health", [](const row& r) { return static_cast<double>(r.worst_local_health); }}});
  const std::string csv = options.out + ".csv'";
  write_all(options.out, results,
            "set xlabel 'second'\nset ylabel 'views'\nplot '" + csv +
                " using 1:3 with points title 'suspect', '" + csv + " using 1:4 with points title 'dead', '" +
                csv + " using 1:5 with points title 'zones declared out'");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Fault experiments on clusters of nine price nodes on loopback");
  app.require_subcommand(1);
  app.footer(
      "The environment variable MARBLEWHARF_SEED sets the seed (default: 1).\n"
      "  marblewharf_fleet losses --faults 50 --out /tmp/losses\n"
      "  marblewharf_fleet lossy --loss 0.2 --seconds 120 --out /tmp/lossy");
  experiment_options options;
  CLI::App* const losses = add_losses_command(app, options);
  add_lossy_command(app, options);
  CLI11_PARSE(app, argc, argv);
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed()));
  try {
    if (losses->parsed()) {
      run_losses(options);
    } else {
      run_lossy(options);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "marblewharf_fleet: %s\n", error.what());
    return 1;
  } catch (const H5::Exception& error) {
    std::fprintf(stderr, "marblewharf_fleet: %s.h5: %s\n", options.out.c_str(), error.getCDetailMsg());
    return 1;
  }
  return 0;
}
