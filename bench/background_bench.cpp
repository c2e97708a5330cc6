// Measures what background work costs requests: the node under a steady load of reads while the folder of its
// keyed results is scrubbed again and again, with the budgets as wide as they go, with the usual ones, and
// not at all. The node and its workers share one core, the callers have the others. Then the same for writes
// over two participants, whose folder is a store of tables that is cleaned, with as good as no budget for it
// at first. A table each, one run; figures are ratios within it.
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

constexpr int rounds = 3, clients = 8, results = 60'000;
constexpr auto each = std::chrono::seconds(4);

// Results of an hour's window, in segments of 8 MiB.
void fill(const std::string& folder) {
  using namespace marblewharf;
  store::posix_file_system disk;
  store::log l(
      disk, {folder, std::uint64_t{8} << 20, std::uint64_t{1} << 30, 7},
      [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  const std::int64_t now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::nanoseconds(1);
  const std::int64_t hour = std::chrono::nanoseconds(std::chrono::hours(1)).count();
  l.open(now);
  const std::string bytes(1000, 'x');
  std::vector<store::entry> batch;
  for (std::uint64_t i = 1; i <= results; ++i) {
    idempotency::key_record k;
    k.type = idempotency::record_type::result;
    k.key = {i * 0x9e3779b97f4a7c15ull, i};
    k.fingerprint = i;
    k.expiry = now + hour;
    k.written_at = now;
    k.succeeded = true;
    k.result = bytes;
    batch.push_back({idempotency::encode(k), k.expiry});
    if (batch.size() == 500) {
      l.append(batch, now);
      batch.clear();
    }
  }
}

struct mode {
  const char* name;
  std::string keyed, background;
  std::vector<double> ms;
  double read = 0, seconds = 0;
  double used = 0;  // bytes on disk at the end
};

double at(std::vector<double>& v, double quantile) {
  std::sort(v.begin(), v.end());
  return v.empty()
             ? 0
             : v[std::min(v.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(v.size())))];
}

// This thread, and what it starts from now on, on the cores from `first` to before `last`.
void run_on(int first, int last) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  for (int i = first; i < last; ++i) CPU_SET(static_cast<std::size_t>(i), &cores);
  CHECK(::sched_setaffinity(0, sizeof cores, &cores) == 0);
}

node_options options_with(int console) {
  node_options o;
  o.quota = o.other_quota = 100000;
  o.cores = 64;
  o.edit_from = "\"seed\"";
  o.edit_to = "\"console\":\"" + own_host() + ":" + std::to_string(console) + "\",\"seed\"";
  return o;
}

// A figure of show-stat; 0: it has none such.
double figure_of(int console, const std::string& name) {
  connection c = connection::to(console);
  c.send("show-stat\n");
  const std::string text = c.rest();
  const std::size_t found = text.find(name + "=");
  return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size() + 1));
}

// Clients that ask one request after the other, each timed, for so long.
template <typename F>
void load(mode& m, std::chrono::seconds how_long, F&& ask) {
  std::vector<std::vector<double>> took(clients);
  std::vector<std::thread> all;
  const auto until = harness::clock::now() + how_long;
  for (int c = 0; c < clients; ++c)
    all.emplace_back([&, c] {
      auto one = ask(c);
      for (int i = 1; harness::clock::now() < until; ++i) {
        const auto begun = harness::clock::now();
        one(i);
        took[static_cast<std::size_t>(c)].push_back(
            std::chrono::duration<double, std::milli>(harness::clock::now() - begun).count());
        std::this_thread::sleep_for(1ms);
      }
    });
  for (std::thread& t : all) t.join();
  for (const auto& t : took) m.ms.insert(m.ms.end(), t.begin(), t.end());
  m.seconds += static_cast<double>(how_long.count());
}

// The node and its workers on one core, whoever calls it on the others.
std::unique_ptr<node> start_on_one_core(peers::quick_runtime& runtime, const node_options& o) {
  run_on(0, 1);
  auto n = std::make_unique<node>(runtime.r, o);
  run_on(1, static_cast<int>(std::thread::hardware_concurrency()));
  runtime.start();
  n->logged(" start: n0");
  std::this_thread::sleep_for(300ms);
  return n;
}

void play(mode& m, const std::string& folder) {
  const int console = free_port();
  node_options o = options_with(console);
  o.operators = "class kurs-meldung {\n keyed = yes\n window = 1h\n}\nkeyed {\n folder = \"" + folder +
                "\"\n thrift_field = key\n" + m.keyed + "}\n" + m.background;
  peers::quick_runtime runtime;
  const auto n = start_on_one_core(runtime, o);
  load(m, each, [&](int c) {
    return [c, to = connection::to(n->port)](int i) mutable {
      to.send(execute(i, usual(c * 1'000'000 + i), "kurs"));
      read_reply(to);
    };
  });
  m.read += figure_of(console, "background.scrub-results.read");
}

// Writes over two participants of which every other one is refused, so that most of the folder soon counts no
// more.
void play_writes(mode& m, const std::string& folder) {
  std::filesystem::remove_all(folder);
  const int console = free_port(), port = free_port();
  const auto answer = [](const peers::uwsgi_request& q) {
    const bool odd = q.vars.at("KEY").back() % 2 == 1;
    return peers::reaction{
        0us, odd && q.vars.at("STEP") == "prepare" ? peers::manner::refuse : peers::manner::whole,
        std::string(1000, 'r')};
  };
  node_options o = options_with(console);
  o.write_aim_ms = 300;
  peers::quick_runtime runtime;
  run_on(1, static_cast<int>(std::thread::hardware_concurrency()));
  peers::uwsgi_server konto(answer), buch(answer);
  o.operators =
      "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(port) + "\"\n servers = {\"" + own_host() +
      ":1\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\ndependency konto {\n endpoints = {\"" +
      konto.address() + "\"}\n}\ndependency buch {\n endpoints = {\"" + buch.address() +
      "\"}\n}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n"
      " participants = {konto, buch}\n}\nkeyed {\n folder = \"" +
      folder + "/results\"\n uwsgi_var = KEY\n}\nwrites {\n folder = \"" + folder +
      "/writes\"\n step_var = STEP\n id_var = WRITE_ID\n segment = 1MiB\n space = 1GiB\n}\n" + m.background;
  std::filesystem::create_directories(folder);
  const auto n = start_on_one_core(runtime, o);
  load(m, 2 * each, [&](int c) {
    return [c, port](int i) {
      connection to = connection::to(port);
      to.send(uwsgi_peer::packet({{"PATH_INFO", "/kurs/meldung"},
                                  {"REMOTE_USER", "isar-invest"},
                                  {"KEY", std::to_string(c) + "-" + std::to_string(i)},
                                  {"CONTENT_LENGTH", "1900"}},
                                 std::string(1900, 'x')));
      CHECK(to.rest().size() > 20);
    };
  });
  m.read += figure_of(console, "background.clean-writes.read");
  m.used = std::max(m.used, figure_of(console, "writes.disk_used"));
}

void print(std::vector<mode>& modes) {
  const double p50 = at(modes[0].ms, 0.5), p99 = at(modes[0].ms, 0.99);
  std::printf(
      "| background work | requests | p50 over the first | p99 over the first | MiB read a second | MiB on "
      "disk |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (mode& m : modes)
    std::printf("| %s | %zu | %.2f | %.2f | %.1f | %.1f |\n", m.name, m.ms.size(), at(m.ms, 0.5) / p50,
                at(m.ms, 0.99) / p99, m.read / m.seconds / (1 << 20), m.used / (1 << 20));
  std::printf("the first: p50 %.3f ms, p99 %.3f ms\n", p50, p99);
}

}  // namespace

int main() {
  char name[] = "/tmp/marblewharf-background-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = std::string(name) + "/results";
  fill(folder);
  const std::string wide =
      "background {\n cpu = 16\n read = \"1024GiB\"\n quiet = 1\n busy = 1\n calm = 0s\n}\n";
  std::vector<mode> modes = {
      {"off", "", "", {}, 0, 0, 0},
      {"scrubbing without a pause, budgets as wide as they go", " scrub = 1ms\n", wide, {}, 0, 0, 0},
      {"scrubbing without a pause, usual budgets", " scrub = 1ms\n", "", {}, 0, 0, 0}};
  for (int r = 0; r < rounds; ++r)
    for (mode& m : modes) play(m, folder);
  std::printf("%d results, %d rounds of %lld s each in turn, %d clients\n", results, rounds,
              static_cast<long long>(each.count()), clients);
  print(modes);
  std::vector<mode> cleaning = {{"writes, as good as no cleaning",
                                 "",
                                 "background {\n cpu = 0.001\n read = \"1KiB\"\n}\n",
                                 {},
                                 0,
                                 0,
                                 0},
                                {"writes, cleaned with budgets as wide as they go", "", wide, {}, 0, 0, 0},
                                {"writes, cleaned with usual budgets", "", "", {}, 0, 0, 0}};
  for (int r = 0; r < rounds; ++r)
    for (mode& m : cleaning) play_writes(m, std::string(name) + "/written");
  print(cleaning);
  std::filesystem::remove_all(name);
  return 0;
}
