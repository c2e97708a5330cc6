// marblewharf_fleet: longer experiments on fleets of real processes on loopback, with faults between them;
// results as a table (CSV), as series (HDF5) and as a chart (a gnuplot script, and its PNG where gnuplot is
// installed).
#include <H5Cpp.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>

#include "experiments.hpp"

using namespace fleet_experiments;

namespace {

struct column {
  std::string name;
  std::vector<double> values;
};
struct table {
  std::string name;
  std::vector<column> columns;
};

template <typename Row>
table table_of(const std::string& name, const std::vector<Row>& rows,
               const std::vector<std::pair<const char*, std::function<double(const Row&)>>>& fields) {
  table t{name, {}};
  for (const auto& [title, value] : fields) {
    column c{title, {}};
    for (const Row& r : rows) c.values.push_back(value(r));
    t.columns.push_back(std::move(c));
  }
  return t;
}

void write_csv(const std::string& path, const table& t) {
  std::ofstream out(path);
  for (std::size_t c = 0; c < t.columns.size(); ++c) out << (c > 0 ? "," : "") << t.columns[c].name;
  out << '\n';
  for (std::size_t r = 0; r < t.columns.front().values.size(); ++r) {
    for (std::size_t c = 0; c < t.columns.size(); ++c) out << (c > 0 ? "," : "") << t.columns[c].values[r];
    out << '\n';
  }
  if (!out.flush()) throw std::runtime_error(path + ": cannot be written");
}

// A group for the experiment, a data set a column; the seed is an attribute of the group.
void write_hdf5(const std::string& path, const table& t, std::uint64_t of_seed) {
  H5::H5File file(path, H5F_ACC_TRUNC);
  H5::Group group = file.createGroup("/" + t.name);
  const auto number = static_cast<unsigned long long>(of_seed);
  group.createAttribute("seed", H5::PredType::NATIVE_ULLONG, H5::DataSpace(H5S_SCALAR))
      .write(H5::PredType::NATIVE_ULLONG, &number);
  for (const column& c : t.columns) {
    const hsize_t size = c.values.size();
    group.createDataSet(c.name, H5::PredType::NATIVE_DOUBLE, H5::DataSpace(1, &size))
        .write(c.values.data(), H5::PredType::NATIVE_DOUBLE);
  }
}

// FILE.png is drawn from FILE.csv by FILE.gp.
void draw(const std::string& csv, const std::string& png, const std::string& plot) {
  const std::string script = png.substr(0, png.rfind('.')) + ".gp";
  std::ofstream(script) << "set datafile separator ','\nset terminal pngcairo size 900,500\nset output '"
                        << png << "'\nset key top left\nset grid\n"
                        << plot << '\n';
  const std::string command = "gnuplot '" + script + "'";
  if (std::system(command.c_str()) != 0)
    std::fprintf(stderr, "no chart drawn: is gnuplot installed? Its script is %s (for %s)\n", script.c_str(),
                 csv.c_str());
}

void write_all(const std::string& out, const table& t, const std::string& plot) {
  write_csv(out + ".csv", t);
  write_hdf5(out + ".h5", t, seed());
  draw(out + ".csv", out + ".png", plot);
  std::printf("%zu rows in %s.csv and %s.h5\n", t.columns.front().values.size(), out.c_str(), out.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Experiments on fleets of nine price nodes on loopback, with faults between them");
  app.require_subcommand(1);
  app.footer(
      "MARBLEWHARF_SEED sets the seed (1 where it is not set).\n"
      "  marblewharf_fleet losses --faults 50 --out /tmp/losses\n"
      "  marblewharf_fleet lossy --loss 0.2 --seconds 120 --out /tmp/lossy");
  std::string out = "fleet";
  int faults = 10, fleets = 2, probe_ms = 100, seconds = 30, delay_ms = 30;
  double loss = 0.2, twice = 0.1;
  CLI::App* losses =
      app.add_subcommand("losses", "zones lost and back: time until all agree, time until all is whole");
  CLI::App* loss_run = app.add_subcommand(
      "lossy", "datagrams lost, sent twice and delayed: what is believed of healthy members");
  for (CLI::App* c : {losses, loss_run}) {
    c->add_option("--out", out, "results go to OUT.csv, OUT.h5, OUT.gp, OUT.png")->capture_default_str();
    c->add_option("--fleets", fleets, "fleets side by side")->capture_default_str()->check(CLI::Range(1, 16));
    c->add_option("--probe-ms", probe_ms, "probe interval")
        ->capture_default_str()
        ->check(CLI::Range(10, 5000));
  }
  losses->add_option("--faults", faults, "zones lost in all")
      ->capture_default_str()
      ->check(CLI::Range(1, 100000));
  loss_run->add_option("--seconds", seconds, "length")->capture_default_str()->check(CLI::Range(1, 86400));
  loss_run->add_option("--loss", loss, "share of datagrams lost")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 1.0));
  loss_run->add_option("--twice", twice, "share sent twice")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 1.0));
  loss_run->add_option("--delay-ms", delay_ms, "longest delay of a datagram")
      ->capture_default_str()
      ->check(CLI::Range(0, 10000));
  CLI11_PARSE(app, argc, argv);
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed()));
  try {
    if (losses->parsed()) {
      const auto rows = zone_losses(faults, fleets, probe_ms, seed());
      using row = zone_loss;
      write_all(out,
                table_of<row>("losses", rows,
                              {{"fault", [](const row& r) { return r.fault; }},
                               {"fleet", [](const row& r) { return r.fleet; }},
                               {"zone", [](const row& r) { return r.zone; }},
                               {"killed", [](const row& r) { return r.how == "killed"; }},
                               {"one_way", [](const row& r) { return r.how == "one_way"; }},
                               {"first_ms", [](const row& r) { return r.first_ms; }},
                               {"agreed_ms", [](const row& r) { return r.agreed_ms; }},
                               {"back_ms", [](const row& r) { return r.back_ms; }},
                               {"wrong", [](const row& r) { return static_cast<double>(r.wrong); }}}),
                "set xlabel 'fault'\nset ylabel 'ms'\nplot '" + out +
                    ".csv' using 1:7 with points title 'all agree', '" + out +
                    ".csv' using 1:8 with points title 'whole again'");
    } else {
      const auto rows = lossy(loss, twice, std::chrono::milliseconds(delay_ms), seconds, fleets, probe_ms);
      using row = lossy_look;
      write_all(
          out,
          table_of<row>(
              "lossy", rows,
              {{"second", [](const row& r) { return r.second; }},
               {"fleet", [](const row& r) { return r.fleet; }},
               {"suspect", [](const row& r) { return static_cast<double>(r.suspect); }},
               {"dead", [](const row& r) { return static_cast<double>(r.dead); }},
               {"declared_out", [](const row& r) { return static_cast<double>(r.declared_out); }},
               {"local_health", [](const row& r) { return static_cast<double>(r.worst_local_health); }}}),
          "set xlabel 'second'\nset ylabel 'views'\nplot '" + out +
              ".csv' using 1:3 with points title 'suspect', '" + out +
              ".csv' using 1:4 with points title 'dead', '" + out +
              ".csv' using 1:5 with points title 'zones declared out'");
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf_fleet: %s\n", e.what());
    return 1;
  } catch (const H5::Exception& e) {
    std::fprintf(stderr, "marblewharf_fleet: %s.h5: %s\n", out.c_str(), e.getCDetailMsg());
    return 1;
  }
  return 0;
}
