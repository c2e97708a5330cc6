// Measures how background work affects request latency. The first table shows a steady load of reads while
// the node scrubs the folder of its keyed results continuously: without scrubbing, with the widest budgets
// and with the default budgets. The second table shows transactions over two participants while the node
// cleans their store of tables: with almost no budget, with the widest budgets and with the default budgets.
// The node and its workers share one core; the clients use the other cores. The latencies in a table are
// ratios to its first row, so compare them only within one run.
#include <sched.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <thread>

#include "../tests/net/uwsgi_peer.hpp"
#include "../tests/peers/quick_runtime.hpp"
#include "../tests/peers/uwsgi_server.hpp"
#include "idempotency/records.hpp"
#include "store/log.hpp"

using namespace harness;

namespace {

constexpr int rounds = 3, clients = 8, result_count = 60'000;
constexpr auto round_length = std::chrono::seconds(4);

// Writes keyed results that expire after one hour, in segments of 8 MiB.
void write_results(const std::string& folder) {
  using namespace marblewharf;
  store::posix_file_system disk;
  store::log result_log(
      disk, {folder, std::uint64_t{8} << 20, std::uint64_t{1} << 30, 7},
      [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  const std::int64_t now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
  const std::int64_t hour = std::chrono::nanoseconds(std::chrono::hours(1)).count();
  result_log.open(now);
  const std::string bytes(1000, 'x');
  std::vector<store::entry> batch;
  for (std::uint64_t i = 1; i <= result_count; ++i) {
    idempotency::key_record record;
    record.type = idempotency::record_type::result;
    record.key = {i * 0x9e3779b97f4a7c15ull, i};
    record.fingerprint = i;
    record.expiry = now + hour;
    record.written_at = now;
    record.succeeded = true;
    record.result = bytes;
    batch.push_back({idempotency::encode(record), record.expiry});
    if (batch.size() == 500) {
      result_log.append(batch, now);
      batch.clear();
    }
  }
}

struct configuration {
  const char* name;
  std::string keyed_settings, background_settings;
  std::vector<double> latencies_ms;
  double bytes_read = 0, seconds = 0;
  double disk_bytes = 0;  // largest number of bytes on disk at the end of a round
};

double quantile_of(std::vector<double>& values, double quantile) {
  std::sort(values.begin(), values.end());
  return values.empty()
             ? 0
             : values[std::min(values.size() - 1,
                               static_cast<std::size_t>(quantile * static_cast<double>(values.size())))];
}

// Pins this thread, and the threads and processes that it starts from now on, to the cores
// [first_core, end_core).
void pin_to_cores(int first_core, int end_core) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  for (int core = first_core; core < end_core; ++core) CPU_SET(static_cast<std::size_t>(core), &cores);
  CHECK(::sched_setaffinity(0, sizeof cores, &cores) == 0);
}

node_options options_with_console(int console) {
  node_options options;
  options.quota = options.other_quota = 100000;
  options.cores = 64;
  options.edit_from = "\"seed\"";
  options.edit_to = "\"console\":\"" + own_host() + ":" + std::to_string(console) + "\",\"seed\"";
  return options;
}

// Returns a statistic of the console's show-stat reply, or 0 if the reply does not contain the statistic.
double read_statistic(int console, const std::string& name) {
  connection link = connection::to(console);
  link.send("show-stat\n");
  const std::string reply = link.rest();
  const std::size_t found = reply.find(name + "=");
  return found == std::string::npos ? 0 : std::stod(reply.substr(found + name.size() + 1));
}

// Runs the clients for `length`. Each client sends one request after the other and records the latency of
// each request. `make_client` returns the function that sends one request and waits for its response.
template <typename F>
void run_clients(configuration& measured, std::chrono::seconds length, F&& make_client) {
  std::vector<std::vector<double>> latencies_ms(clients);
  std::vector<std::thread> threads;
  const auto until = harness::clock::now() + length;
  for (int client = 0; client < clients; ++client)
    threads.emplace_back([&, client] {
      auto send_request = make_client(client);
      for (int i = 1; harness::clock::now() < until; ++i) {
        const auto sent_at = harness::clock::now();
        send_request(i);
        latencies_ms[static_cast<std::size_t>(client)].push_back(
            std::chrono::duration<double, std::milli>(harness::clock::now() - sent_at).count());
        std::this_thread::sleep_for(1ms);
      }
    });
  for (std::thread& thread : threads) thread.join();
  for (const auto& of_client : latencies_ms)
    measured.latencies_ms.insert(measured.latencies_ms.end(), of_client.begin(), of_client.end());
  measured.seconds += static_cast<double>(length.count());
}

// Starts the node and its workers on core 0 and pins the calling thread to the other cores.
std::unique_ptr<node> start_on_one_core(peers::quick_runtime& runtime, const node_options& options) {
  pin_to_cores(0, 1);
  auto price_node = std::make_unique<node>(runtime.r, options);
  pin_to_cores(1, static_cast<int>(std::thread::hardware_concurrency()));
  runtime.start();
  price_node->logged(" start: n0");
  std::this_thread::sleep_for(300ms);
  return price_node;
}

void measure_reads(configuration& measured, const std::string& folder) {
  const int console = free_port();
  node_options options = options_with_console(console);
  options.operators = "class kurs-meldung {\n keyed = yes\n window = 1h\n}\nkeyed {\n folder = \"" + folder +
                      "\"\n thrift_field = key\n" + measured.keyed_settings + "}\n" +
                      measured.background_settings;
  peers::quick_runtime runtime;
  const auto price_node = start_on_one_core(runtime, options);
  run_clients(measured, round_length, [&](int client) {
    return [client, link = connection::to(price_node->port)](int i) mutable {
      link.send(execute(i, usual(client * 1'000'000 + i), "kurs"));
      read_reply(link);
    };
  });
  measured.bytes_read += read_statistic(console, "background.scrub-results.read");
}

// Measures transactions over two participants. The participants refuse every second transaction in the
// prepare step, so that most records in the folder are soon obsolete and can be cleaned.
void measure_transactions(configuration& measured, const std::string& folder) {
  std::filesystem::remove_all(folder);
  const int console = free_port(), port = free_port();
  const auto answer = [](const peers::uwsgi_request& step) {
    const bool refused = step.vars.at("KEY").back() % 2 == 1;
    return peers::reaction{
        0us, refused && step.vars.at("STEP") == "prepare" ? peers::manner::refuse : peers::manner::whole,
        std::string(1000, 'r')};
  };
  node_options options = options_with_console(console);
  options.write_aim_ms = 300;
  peers::quick_runtime runtime;
  pin_to_cores(1, static_cast<int>(std::thread::hardware_concurrency()));
  peers::uwsgi_server konto(answer), buch(answer);
  options.operators =
      "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(port) + "\"\n servers = {\"" + own_host() +
      ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\ndependency konto {\n endpoints = {\"" +
      konto.address() + "\"}\n}\ndependency buch {\n endpoints = {\"" + buch.address() +
      "\"}\n}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n"
      " participants = {konto, buch}\n}\nkeyed {\n folder = \"" +
      folder + "/results\"\n uwsgi_var = KEY\n}\nwrites {\n folder = \"" + folder +
      "/writes\"\n step_var = STEP\n id_var = WRITE_ID\n segment = 1MiB\n space = 1GiB\n}\n" +
      measured.background_settings;
  std::filesystem::create_directories(folder);
  const auto price_node = start_on_one_core(runtime, options);
  run_clients(measured, 2 * round_length, [&](int client) {
    return [client, port](int i) {
      connection link = connection::to(port);
      link.send(uwsgi_peer::packet({{"PATH_INFO", "/kurs/meldung"},
                                    {"REMOTE_USER", "isar-invest"},
                                    {"KEY", std::to_string(client) + "-" + std::to_string(i)},
                                    {"CONTENT_LENGTH", "1900"}},
                                   std::string(1900, 'x')));
      CHECK(link.rest().size() > 20);
    };
  });
  measured.bytes_read += read_statistic(console, "background.clean-writes.read");
  measured.disk_bytes = std::max(measured.disk_bytes, read_statistic(console, "writes.disk_used"));
}

void print_table(std::vector<configuration>& configurations) {
  const double p50 = quantile_of(configurations[0].latencies_ms, 0.5),
               p99 = quantile_of(configurations[0].latencies_ms, 0.99);
  std::printf(
      "| background work | requests | p50 / p50 of first row | p99 / p99 of first row | MiB read per second "
      "| MiB on disk |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (configuration& measured : configurations)
    std::printf("| %s | %zu | %.2f | %.2f | %.1f | %.1f |\n", measured.name, measured.latencies_ms.size(),
                quantile_of(measured.latencies_ms, 0.5) / p50, quantile_of(measured.latencies_ms, 0.99) / p99,
                measured.bytes_read / measured.seconds / (1 << 20), measured.disk_bytes / (1 << 20));
  std::printf("first row: p50 %.3f ms, p99 %.3f ms\n", p50, p99);
}

}  // namespace

int main() {
  char work_folder[] = "/tmp/marblewharf-background-XXXXXX";
  CHECK(::mkdtemp(work_folder) != nullptr);
  const std::string folder = std::string(work_folder) + "/results";
  write_results(folder);
  const std::string widest_budgets =
      "background {\n cpu = 16\n read = \"1024GiB\"\n quiet = 1\n busy = 1\n calm = 0s\n}\n";
  std::vector<configuration> configurations = {
      {"off", "", "", {}, 0, 0, 0},
      {"continuous scrubbing, widest budgets", " scrub = 1ms\n", widest_budgets, {}, 0, 0, 0},
      {"continuous scrubbing, default budgets", " scrub = 1ms\n", "", {}, 0, 0, 0}};
  for (int round = 0; round < rounds; ++round)
    for (configuration& measured : configurations) measure_reads(measured, folder);
  std::printf("%d keyed results, %d rounds of %lld s per configuration, %d clients\n", result_count, rounds,
              static_cast<long long>(round_length.count()), clients);
  print_table(configurations);
  std::vector<configuration> cleaning_configurations = {
      {"transactions, almost no budget for cleaning",
       "",
       "background {\n cpu = 0.001\n read = \"1KiB\"\n}\n",
       {},
       0,
       0,
       0},
      {"transactions, cleaning with the widest budgets", "", widest_budgets, {}, 0, 0, 0},
      {"transactions, cleaning with default budgets", "", "", {}, 0, 0, 0}};
  for (int round = 0; round < rounds; ++round)
    for (configuration& measured : cleaning_configurations)
      measure_transactions(measured, std::string(work_folder) + "/written");
  print_table(cleaning_configurations);
  std::filesystem::remove_all(work_folder);
  return 0;
}
