// Keyed classes whose results are stored in different places (ctest -L keyed). In the real program: the
// operator's file stores the results of one class on disk, and the platform's settings call another one
// keyed.
#include <map>
#include <string>

#include "keyed_site.hpp"
#include "keyed_writes.hpp"

using namespace harness;

namespace {

constexpr int window_ms = 60000;
const std::string memory_class = "kurs-abfrage", disk_class = "kurs-meldung";

// kurs-meldung has results on disk, as the operator's file says; kurs-abfrage is keyed by the platform's
// settings alone.
struct mixed_site : site {
  mixed_site() : site(keyed_reads(window_ms)) {}
};

std::string read_packet(const std::string& key) {
  return uwsgi_write(key, "price", "/kurs/abfrage");
}

// Runs a request that the node passes to its runtime.
void run_to_end(site& s, connection& client, const std::string& attempt) {
  client.send(attempt);
  s.fake_runtime->end(s.fake_runtime->expect("start"), "fine", "YQ==");
  CHECK(result(read_reply(client)) == "a");
}

void expect_stored_result(site& s, connection& client, const std::string& repeat) {
  client.send(repeat);
  CHECK(result(read_reply(client)) == "a");
  expect_no_start(*s.fake_runtime);
}

// Guards against keyed writes that run twice because the operator's file has results of another class on disk
// (review/6).
void class_in_memory_beside_one_on_disk() {
  mixed_site s;
  connection client = s.thrift();
  run_to_end(s, client, keyed_attempt(1, "a", 0, memory_class));
  run_to_end(s, client, write_of(2, 1002, "a"));
  expect_stored_result(s, client, keyed_attempt(3, "a", 0, memory_class));
  expect_stored_result(s, client, write_of(4, 1004, "a"));
  s.price_node->reload(*s.fake_runtime, s.options);
  s.price_node->logged("reload: runtime at");
  expect_stored_result(s, client, keyed_attempt(5, "a", 0, memory_class));
  expect_stored_result(s, client, write_of(6, 1006, "a"));
}

// Guards against a key of the class in memory that the uwsgi front does not read. A request without the var
// has no key and runs.
void class_in_memory_on_the_uwsgi_front() {
  mixed_site s;
  const auto run = [&s](const std::string& packet) {
    connection caller = s.uwsgi(packet);
    connection attempt = s.server.accept();
    attempt.take(10);
    attempt.send(whole_response());
    CHECK(caller.rest() == whole_response());
  };
  run(read_packet("a"));
  CHECK(s.uwsgi(read_packet("a")).rest() == whole_response());
  CHECK(!s.server.waiting(50));
  run(read_packet("b"));
  run(read_packet(""));
  run(read_packet(""));
}

// Guards against a failed connect of a class in memory that loses the key: the run begins anew at the other
// server, once.
void class_in_memory_at_an_unreachable_server() {
  site s(keyed_reads(window_ms), "", "", true);
  s.server.close();
  const auto serve = [&s](const std::string& packet) {
    connection caller = s.uwsgi(packet);
    connection attempt = s.second_server.accept();
    attempt.take(10);
    attempt.send(whole_response());
    CHECK(caller.rest() == whole_response());
  };
  serve(read_packet("a"));
  serve(read_packet("b"));
  CHECK(s.uwsgi(read_packet("a")).rest() == whole_response());
  CHECK(s.uwsgi(read_packet("b")).rest() == whole_response());
  CHECK(!s.second_server.waiting(50));
}

// Guards against an operator's file that takes the key of the platform's protocol away from a class, because
// it names a var for the other front only. The results are on disk, so a restart knows them.
void platform_field_without_one_in_the_file() {
  site s(keyed_writes(window_ms));
  s.kill();
  s.replace_setting(" thrift_field = key\n", "");
  s.start();
  connection client = s.thrift();
  run_to_end(s, client, keyed_attempt(1, "a"));
  expect_stored_result(s, client, keyed_attempt(2, "a"));
  s.kill();
  s.start();
  connection after = s.thrift();
  expect_stored_result(s, after, keyed_attempt(1, "a"));
}

// Guards against statistics in which one store hides the other, and against a start that does not say where
// the repeats of a class are known.
void statistics_and_log_name_both_stores() {
  mixed_site s;
  s.price_node->logged(
      "results: kurs-abfrage: in memory for 60050 ms, Thrift field unique, uwsgi var KEY; "
      "kurs-meldung: on disk for 600000 ms, Thrift field key, uwsgi var KEY");
  connection client = s.thrift();
  for (const char* key : {"a", "b"}) run_to_end(s, client, keyed_attempt(1, key, 0, memory_class));
  run_to_end(s, client, write_of(2, 1002, "a"));
  s.price_node->wait_for_counter("results_known", 3);
  const std::string log = s.price_node->log();
  CHECK(log.find(" results_known=3 ") != std::string::npos);
  CHECK(log.find(" keys_in_memory=2 ") != std::string::npos);
}

// Guards against an operator's file whose window is shorter than the one that the platform's settings
// promise.
void window_is_at_least_that_of_the_platform() {
  constexpr int longer_window_ms = 1200000;  // the file has ten minutes
  site s(keyed_writes(longer_window_ms));
  s.price_node->logged("kurs-meldung: on disk for 1200050 ms");
}

// The settings list no tenants; requests may name none.
node_options without_tenants(node_options options) {
  options.tenants = false;
  return options;
}

std::string attempt_without_team(int seqid, const std::string& key) {
  fields f = without_field(usual(2000 + seqid, "kurs-meldung"), "team");
  f.emplace_back("unique", key);
  return execute(seqid, f, "price");
}

// Guards against keyed requests that are never answered at a site without tenants (review/9), whatever their
// field `team` says.
void keyed_writes_in_memory_without_tenants() {
  runtime at;
  const node price_node(at, without_tenants(keyed_writes(window_ms)));
  at.up();
  connection client = connection::to(price_node.port);
  const auto run_once = [&](const std::string& attempt, const std::string& repeat) {
    client.send(attempt);
    at.end(at.expect("start"), "fine", "YQ==");
    CHECK(result(read_reply(client)) == "a");
    client.send(repeat);
    CHECK(result(read_reply(client)) == "a");
    expect_no_start(at);
  };
  run_once(attempt_without_team(1, "a"), keyed_attempt(2, "a"));
  fields empty_team = with_field(usual(3003, "kurs-meldung"), "team", "");
  empty_team.emplace_back("unique", "b");
  run_once(execute(3, empty_team, "price"), attempt_without_team(4, "b"));
  client.send(execute(5, without_field(usual(3005), "team"), "price"));
  at.end(at.expect("start"), "fine", "YQ==");
  CHECK(result(read_reply(client)) == "a");
  CHECK(price_node.log().find("internal: ") == std::string::npos);
}

// Guards against results on disk that a site without tenants cannot find again, and against a uwsgi front
// that needs a tenant there.
void keyed_writes_on_disk_without_tenants() {
  site s(without_tenants({}));
  s.kill();
  s.replace_setting(" tenant_var = REMOTE_USER\n", "");
  s.start();
  connection client = s.thrift();
  run_to_end(s, client, write_of(1, 1001, "a"));
  const std::string packet =
      uwsgi_peer::packet({{"PATH_INFO", "/kurs/meldung"}, {"KEY", "b"}, {"CONTENT_LENGTH", "5"}}, "price");
  connection caller = s.uwsgi(packet);
  connection attempt = s.server.accept();
  attempt.take(10);
  attempt.send(whole_response());
  CHECK(caller.rest() == whole_response());
  s.kill();
  s.start();
  connection after = s.thrift();
  expect_stored_result(s, after, write_of(1, 1002, "a"));
  CHECK(s.uwsgi(packet).rest() == whole_response());
  s.kill();
  const auto [stored, status] = harness::run("results show " + s.folder + "/results '' kurs-meldung a");
  CHECK(stored == "a" && status == 0);
  const auto [list, list_status] = harness::run("results list " + s.folder + "/results");
  CHECK(list.find("tenant=- class=kurs-meldung key=a") != std::string::npos && list_status == 0);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"memory_beside_disk", class_in_memory_beside_one_on_disk},
      {"memory_on_uwsgi", class_in_memory_on_the_uwsgi_front},
      {"unreachable_server", class_in_memory_at_an_unreachable_server},
      {"platform_field", platform_field_without_one_in_the_file},
      {"statistics", statistics_and_log_name_both_stores},
      {"no_tenants", keyed_writes_in_memory_without_tenants},
      {"no_tenants_on_disk", keyed_writes_on_disk_without_tenants},
      {"longer_window", window_is_at_least_that_of_the_platform},
  };
  const auto found = tests.find(argv[1] != nullptr ? argv[1] : "");
  CHECK(found != tests.end());
  found->second();
  return 0;
}
