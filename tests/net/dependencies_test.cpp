// Fan-out on the real program: one response assembled from the sub-responses (parts) of several dependencies,
// with fake dependencies that stall, fail and recover.
#include <map>
#include <set>

#include "../peers/uwsgi_server.hpp"
#include "harness.hpp"
#include "uwsgi_peer.hpp"

using namespace harness;
using peers::manner;
using peers::reaction;
using peers::uwsgi_request;
using peers::uwsgi_server;

namespace {

uwsgi_server::script responds(const std::string& body, std::chrono::microseconds delay = 0us) {
  return [body, delay](const uwsgi_request&) { return reaction{delay, manner::whole, body}; };
}
uwsgi_server::script behaves(manner behaviour, std::chrono::microseconds delay = 0us) {
  return [behaviour, delay](const uwsgi_request&) { return reaction{delay, behaviour, "late"}; };
}

// A node with a uwsgi front and three dependencies: `kurse` and `stamm` have two endpoints, `ersatz` has one.
struct site {
  explicit site(const std::string& parts, node_options o = {}) {
    o.aim_ms = o.aim_ms == 20000 ? 2900 : o.aim_ms;
    uwsgi_port = free_port();
    const auto dependency = [](const std::string& name, const std::string& endpoints,
                               const std::string& more) {
      return "dependency " + name + " {\n endpoints = {" + endpoints + "}\n budget = 400ms\n " + more +
             "\n}\n";
    };
    const auto quoted = [](const uwsgi_server& s) { return "\"" + s.address() + "\""; };
    o.operators = "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(uwsgi_port) +
                  "\"\n servers = {" + quoted(plain) +
                  "}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n" +
                  "dependencies {\n budget_var = BUDGET_MS\n}\n" +
                  dependency("kurse", quoted(kurse1) + ", " + quoted(kurse2), "out = 300ms") +
                  dependency("stamm", quoted(stamm1) + ", " + quoted(stamm2), "path = \"/stamm\"") +
                  dependency("ersatz", quoted(ersatz), "budget = 300ms") +
                  "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n"
                  "class kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n}\n" +
                  parts + o.operators;
    price_node = std::make_unique<node>(fake_runtime, o);
    fake_runtime.up();
  }
  connection ask(const std::string& query = "q=1", const std::string& path = "/kurs/liste",
                 const std::string& tenant = "isar-invest") {
    connection c = connection::to(uwsgi_port);
    c.send(uwsgi_peer::packet(
        {{"PATH_INFO", path}, {"REMOTE_USER", tenant}, {"QUERY_STRING", query}, {"CONTENT_LENGTH", "2"}},
        "in"));
    return c;
  }
  std::string answer(const std::string& query = "q=1") { return ask(query).rest(); }

  runtime fake_runtime;
  uwsgi_server plain{responds("plain")};
  uwsgi_server kurse1{responds("101.42")}, kurse2{responds("101.42")}, stamm1{responds("DAX")},
      stamm2{responds("DAX")}, ersatz{responds("90")};
  int uwsgi_port;
  std::unique_ptr<node> price_node;
};

const std::string two_parts =
    "part kurse {\n class = kurs-abfrage\n from = kurse\n}\n"
    "part stamm {\n class = kurs-abfrage\n from = stamm\n}\n";

// The state and the body of a part of the response, with a space between; "none" if the part is absent.
std::string part(const std::string& answer, const std::string& name) {
  const std::size_t at = answer.find("Part: " + name + "\r\n");
  if (at == std::string::npos) return "none";
  const std::size_t state = answer.find("Part-State: ", at) + 12;
  const std::size_t size_at = answer.find("Content-Length: ", at) + 16;
  const std::size_t body = answer.find("\r\n\r\n", at) + 4;
  return answer.substr(state, answer.find("\r\n", state) - state) + " " +
         answer.substr(body, static_cast<std::size_t>(std::stoi(answer.substr(size_at))));
}
bool contains(const std::string& text, const std::string& wanted) {
  return text.find(wanted) != std::string::npos;
}

// Guards against gathered reads that wait for their deadline at a site without tenants (beside review/9).
void fan_out_without_tenants() {
  node_options options;
  options.tenants = false;
  site s(two_parts, options);
  for (const char* query : {"q=1", "q=2"}) {
    const std::string response = s.answer(query);
    CHECK(part(response, "kurse") == "fresh 101.42" && part(response, "stamm") == "fresh DAX");
  }
  CHECK(s.price_node->log().find("internal: ") == std::string::npos);
}

// Each part is passed on byte for byte, even if it contains a multipart boundary. Each sub-request carries
// its time budget. Request classes without parts are forwarded unchanged.
void fan_out_assembles_the_parts() {
  site s(two_parts);
  std::atomic<int> budget_ms = 0;
  const uwsgi_server::script check_request = [&](const uwsgi_request& q) {
    budget_ms = std::stoi(q.vars.at("BUDGET_MS"));
    CHECK(q.body == "in" && q.vars.at("PATH_INFO") == "/kurs/liste");
    return reaction{0us, manner::whole, std::string("\0\r\n--part0\r\n", 12)};
  };
  s.kurse1.change(check_request);
  s.kurse2.change(check_request);
  std::atomic<bool> path_right = true;
  const uwsgi_server::script check_path = [&](const uwsgi_request& q) {
    path_right = path_right && q.vars.at("PATH_INFO") == "/stamm";
    return reaction{0us, manner::whole, "DAX"};
  };
  s.stamm1.change(check_path);
  s.stamm2.change(check_path);
  for (int i = 0; i < 10; ++i) {
    const std::string a = s.answer();
    CHECK(a.rfind("HTTP/1.1 200 ", 0) == 0 && contains(a, "Partial: no"));
    CHECK(part(a, "kurse") == std::string("fresh \0\r\n--part0\r\n", 18) && part(a, "stamm") == "fresh DAX");
    CHECK(!contains(a, "boundary=part0\r\n"));
  }
  CHECK(budget_ms > 0 && budget_ms <= 400 && path_right);
  CHECK(contains(s.ask("", "/kurs/meldung").rest(), "plain"));
}

// A stalled dependency: the response comes within the deadline, without its part and with the others, and the
// open sub-requests are cancelled.
void stalled_dependency_gives_a_partial_response() {
  site s(two_parts);
  s.kurse1.change(behaves(manner::whole, 10s));
  s.kurse2.change(behaves(manner::hang));
  const auto begin = clock::now();
  const std::string a = s.answer();
  CHECK(clock::now() - begin < 2900ms);
  CHECK(contains(a, "Partial: yes") && part(a, "kurse") == "missing " && part(a, "stamm") == "fresh DAX");
  // The open sub-requests are cancelled: the node closes their connections.
  const auto until = clock::now() + 5s;
  while (s.kurse1.hung_up + s.kurse2.hung_up == 0) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(10ms);
  }
}

// Whichever way an endpoint fails, the next attempt goes to the other endpoint.
void next_attempt_goes_to_another_endpoint() {
  for (const manner behaviour :
       {manner::error, manner::reset, manner::half, manner::garbage, manner::huge, manner::busy}) {
    site s(two_parts);
    s.kurse1.change(behaves(behaviour));
    int fresh = 0;
    for (int i = 0; i < 12; ++i) fresh += part(s.answer(), "kurse") == "fresh 101.42";
    CHECK(fresh >= 9);  // the retry budget allows enough further attempts for at least nine requests
  }
}

// Guards against a part that is cut off by a reset and passed on as whole.
void cut_part_is_missing() {
  site s(two_parts);
  for (uwsgi_server* endpoint : {&s.kurse1, &s.kurse2}) endpoint->change(behaves(manner::cut));
  const std::string a = s.answer();
  CHECK(contains(a, "Partial: yes") && part(a, "kurse") == "missing " && part(a, "stamm") == "fresh DAX");
}

// The fallbacks of a part are tried in their order: another dependency, a stale response, a fixed text.
void fallbacks_are_tried_in_order() {
  site s(
      "part kurse {\n class = kurs-abfrage\n from = kurse\n fallback = {\"dependency ersatz\", \"stale "
      "30s\", \"fixed -\"}\n}\n" +
      two_parts.substr(two_parts.find("part stamm")));
  CHECK(part(s.answer(), "kurse") == "fresh 101.42");
  s.kurse1.change(behaves(manner::error));
  s.kurse2.change(behaves(manner::error));
  CHECK(part(s.answer(), "kurse") == "stand-in 90");
  s.ersatz.change(behaves(manner::whole, 10s));  // the dependency of the first fallback is too slow
  std::string a = s.answer();
  CHECK(part(a, "kurse") == "stale 101.42" && contains(a, "Age: "));
  CHECK(part(s.answer("q=other"), "kurse") == "stand-in -");  // no stale response for this query
  s.price_node->signal(SIGUSR1);
  s.price_node->logged("dependencies: kurse ");
}

// Guards against a stale part of one member in the answer to another.
void stale_parts_stay_with_their_member() {
  site s("part kurse {\n class = kurs-abfrage\n from = kurse\n fallback = {\"stale 30s\", \"fixed -\"}\n}\n");
  CHECK(part(s.answer(), "kurse") == "fresh 101.42");
  s.kurse1.change(behaves(manner::error));
  s.kurse2.change(behaves(manner::error));
  CHECK(part(s.answer(), "kurse") == "stale 101.42");
  CHECK(part(s.ask("q=1", "/kurs/liste", "lech-vermoegen").rest(), "kurse") == "stand-in -");
}

// A part that the settings declare common to all members may be that of another member.
void shared_parts_are_common_to_all_members() {
  site s(
      "part kurse {\n class = kurs-abfrage\n from = kurse\n shared = yes\n fallback = {\"stale 30s\", "
      "\"fixed -\"}\n}\n");
  CHECK(part(s.answer(), "kurse") == "fresh 101.42");
  s.kurse1.change(behaves(manner::error));
  s.kurse2.change(behaves(manner::error));
  CHECK(part(s.ask("q=1", "/kurs/liste", "lech-vermoegen").rest(), "kurse") == "stale 101.42");
  CHECK(part(s.answer("q=other"), "kurse") == "stand-in -");
}

// When a required part fails, the request fails at once without waiting for the other parts.
void missing_required_part_fails_the_request() {
  site s("part kurse {\n class = kurs-abfrage\n from = kurse\n required = yes\n}\n" +
         two_parts.substr(two_parts.find("part stamm")));
  s.kurse1.change(behaves(manner::error));
  s.kurse2.change(behaves(manner::error));
  s.stamm1.change(responds("DAX", 350ms));
  s.stamm2.change(responds("DAX", 350ms));
  const auto begin = clock::now();
  CHECK(s.answer().rfind("HTTP/1.1 502 ", 0) == 0);
  CHECK(clock::now() - begin < 300ms || sanitized);
}

// All endpoints of a dependency fail: outlier ejection removes no more of them than its limit allows, and the
// endpoints get requests again after they have recovered.
void recovered_endpoints_are_used_again() {
  site s(two_parts);
  s.kurse1.change(behaves(manner::error));
  s.kurse2.change(behaves(manner::error));
  for (int i = 0; i < 40; ++i) CHECK(part(s.answer(), "kurse") == "missing ");
  s.price_node->logged("is ejected: too many consecutive failures");
  s.kurse1.change(responds("101.42"));
  s.kurse2.change(responds("101.42"));
  const auto until = clock::now() + 10s;
  while (part(s.answer(), "kurse") != "fresh 101.42") CHECK(clock::now() < until);
  for (int i = 0; i < 20; ++i) CHECK(part(s.answer(), "kurse") == "fresh 101.42");
}

// A client that disconnects cancels its sub-requests; at a shutdown notice a request with a stalled part is
// answered with the other parts before the process ends.
void client_disconnect_and_shutdown_during_fan_out() {
  site s(two_parts);
  s.kurse1.change(behaves(manner::whole, 10s));
  s.kurse2.change(behaves(manner::whole, 10s));
  {
    connection c = s.ask();
    const auto until = clock::now() + 5s;
    while (s.kurse1.requests + s.kurse2.requests == 0) CHECK(clock::now() < until);
  }
  const auto until = clock::now() + 5s;
  while (s.kurse1.hung_up + s.kurse2.hung_up == 0) CHECK(clock::now() < until);
  connection c = s.ask();
  while (s.kurse1.requests + s.kurse2.requests < 2) CHECK(clock::now() < until + 5s);
  s.price_node->signal(SIGTERM);
  const std::string a = c.rest();
  CHECK(contains(a, "Partial: yes") && part(a, "stamm") == "fresh DAX");
  CHECK(s.price_node->wait() == 0);
}

// An unusable plan in the operator's file stops the start with file, line and key.
void unusable_plans_stop_the_start() {
  const auto start_error = [](const std::string& parts) {
    runtime r;
    node_options o;
    o.aim_ms = 2900;
    const std::string endpoint = "\"" + own_host() + ":1\"";
    o.operators =
        "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(free_port()) + "\"\n servers = {" +
        endpoint + "}\n class_var = P\n tenant_var = T\n}\ndependency kurse {\n endpoints = {" + endpoint +
        "}\n budget = 2s\n}\ndependency ersatz {\n endpoints = {" + endpoint + "}\n budget = 2s\n}\n" + parts;
    node n(r, o);
    CHECK(n.wait() == 1);
    return n.log();
  };
  const std::string head = "part kurse {\n class = kurs-abfrage\n";
  CHECK(contains(start_error(head + " from = kurse\n fallback = {\"dependency ersatz\"}\n}\n"),
                 "operators.conf:17: part \"kurse\".from needs 4000ms for its dependencies in sequence"));
  CHECK(contains(start_error(head + " from = kurse\n fallback = {\"dependency kurse\"}\n}\n"),
                 "which the part already calls"));
  CHECK(contains(start_error(head + " from = none\n}\n"),
                 "operators.conf:17: part \"kurse\".from names an unknown dependency: \"none\""));
  CHECK(contains(start_error(head + " from = kurse\n fallback = {\"stale soon\"}\n}\n"),
                 "operators.conf:18: part \"kurse\".fallback is not one of"));
  CHECK(contains(start_error("part kurse {\n class = kurs-meldung\n from = kurse\n}\n"),
                 "names a class with effects, but only reads can be fan-outs"));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"assembles_parts", fan_out_assembles_the_parts},
      {"no_tenants", fan_out_without_tenants},
      {"stalled_dependency", stalled_dependency_gives_a_partial_response},
      {"next_endpoint", next_attempt_goes_to_another_endpoint},
      {"fallbacks", fallbacks_are_tried_in_order},
      {"stale_by_member", stale_parts_stay_with_their_member},
      {"shared_part", shared_parts_are_common_to_all_members},
      {"cut_part", cut_part_is_missing},
      {"required_part", missing_required_part_fails_the_request},
      {"recovered_endpoints", recovered_endpoints_are_used_again},
      {"disconnect_and_shutdown", client_disconnect_and_shutdown_during_fan_out},
      {"plans", unusable_plans_stop_the_start}};
  tests.at(argv[1])();
  return 0;
}
