// Gathered answers on the real program, against stand-in dependencies that stall, break and come back.
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

uwsgi_server::script says(const std::string& body, std::chrono::microseconds after = 0us) {
  return [body, after](const uwsgi_request&) { return reaction{after, manner::whole, body}; };
}
uwsgi_server::script does(manner how, std::chrono::microseconds after = 0us) {
  return [how, after](const uwsgi_request&) { return reaction{after, how, "late"}; };
}

struct site {
  // `kurse` and `stamm` have two endpoints, `ersatz` one.
  explicit site(const std::string& parts, node_options o = {}) {
    o.aim_ms = o.aim_ms == 20000 ? 2900 : o.aim_ms;
    uwsgi_port = free_port();
    const auto dependency = [](const std::string& name, const std::string& at, const std::string& more) {
      return "dependency " + name + " {\n endpoints = {" + at + "}\n budget = 400ms\n " + more + "\n}\n";
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
    n = std::make_unique<node>(r, o);
    r.up();
  }
  connection ask(const std::string& query = "q=1", const std::string& path = "/kurs/liste") {
    connection c = connection::to(uwsgi_port);
    c.send(uwsgi_peer::packet({{"PATH_INFO", path},
                               {"REMOTE_USER", "isar-invest"},
                               {"QUERY_STRING", query},
                               {"CONTENT_LENGTH", "2"}},
                              "in"));
    return c;
  }
  std::string answer(const std::string& query = "q=1") { return ask(query).rest(); }

  runtime r;
  uwsgi_server plain{says("plain")};
  uwsgi_server kurse1{says("101.42")}, kurse2{says("101.42")}, stamm1{says("DAX")}, stamm2{says("DAX")},
      ersatz{says("90")};
  int uwsgi_port;
  std::unique_ptr<node> n;
};

const std::string two_parts =
    "part kurse {\n class = kurs-abfrage\n from = kurse\n}\n"
    "part stamm {\n class = kurs-abfrage\n from = stamm\n}\n";

std::string part(const std::string& answer, const std::string& name) {
  const std::size_t at = answer.find("Part: " + name + "\r\n");
  if (at == std::string::npos) return "none";
  const std::size_t state = answer.find("Part-State: ", at) + 12;
  const std::size_t size_at = answer.find("Content-Length: ", at) + 16;
  const std::size_t body = answer.find("\r\n\r\n", at) + 4;
  return answer.substr(state, answer.find("\r\n", state) - state) + " " +
         answer.substr(body, static_cast<std::size_t>(std::stoi(answer.substr(size_at))));
}
bool has(const std::string& text, const std::string& what) {
  return text.find(what) != std::string::npos;
}

// Any bytes of each, the budget told, other classes as ever.
void gathers_parts() {
  site s(two_parts);
  std::atomic<int> told = 0;
  const uwsgi_server::script checks = [&](const uwsgi_request& q) {
    told = std::stoi(q.vars.at("BUDGET_MS"));
    CHECK(q.body == "in" && q.vars.at("PATH_INFO") == "/kurs/liste");
    return reaction{0us, manner::whole, std::string("\0\r\n--part0\r\n", 12)};
  };
  s.kurse1.change(checks);
  s.kurse2.change(checks);
  std::atomic<bool> path_right = true;
  const uwsgi_server::script on_path = [&](const uwsgi_request& q) {
    path_right = path_right && q.vars.at("PATH_INFO") == "/stamm";
    return reaction{0us, manner::whole, "DAX"};
  };
  s.stamm1.change(on_path);
  s.stamm2.change(on_path);
  for (int i = 0; i < 10; ++i) {
    const std::string a = s.answer();
    CHECK(a.rfind("HTTP/1.1 200 ", 0) == 0 && has(a, "Partial: no"));
    CHECK(part(a, "kurse") == std::string("fresh \0\r\n--part0\r\n", 18) && part(a, "stamm") == "fresh DAX");
    CHECK(!has(a, "boundary=part0\r\n"));
  }
  CHECK(told > 0 && told <= 400 && path_right);
  CHECK(has(s.ask("", "/kurs/meldung").rest(), "plain"));
}

// One stalls: its part is missing, in time, and the others are there.
void one_stalls() {
  site s(two_parts);
  s.kurse1.change(does(manner::whole, 10s));
  s.kurse2.change(does(manner::hang));
  const auto begin = clock::now();
  const std::string a = s.answer();
  CHECK(clock::now() - begin < 2900ms);
  CHECK(has(a, "Partial: yes") && part(a, "kurse") == "missing " && part(a, "stamm") == "fresh DAX");
  // What was out is cancelled.
  const auto until = clock::now() + 5s;
  while (s.kurse1.hung_up + s.kurse2.hung_up == 0) {
    CHECK(clock::now() < until);
    std::this_thread::sleep_for(10ms);
  }
}

// Whatever is wrong with an answer, the other endpoint has the next attempt.
void tries_another_endpoint() {
  for (const manner how :
       {manner::error, manner::reset, manner::half, manner::garbage, manner::huge, manner::busy}) {
    site s(two_parts);
    s.kurse1.change(does(how));
    int fresh = 0;
    for (int i = 0; i < 12; ++i) fresh += part(s.answer(), "kurse") == "fresh 101.42";
    CHECK(fresh >= 9);  // within the budget of further attempts
  }
}

void falls_back() {
  site s(
      "part kurse {\n class = kurs-abfrage\n from = kurse\n fallback = {\"dependency ersatz\", \"stale "
      "30s\", \"fixed -\"}\n}\n" +
      two_parts.substr(two_parts.find("part stamm")));
  CHECK(part(s.answer(), "kurse") == "fresh 101.42");
  s.kurse1.change(does(manner::error));
  s.kurse2.change(does(manner::error));
  CHECK(part(s.answer(), "kurse") == "stand-in 90");
  s.ersatz.change(does(manner::whole, 10s));  // a fall-back that is itself slow
  std::string a = s.answer();
  CHECK(part(a, "kurse") == "stale 101.42" && has(a, "Age: "));
  CHECK(part(s.answer("q=other"), "kurse") == "stand-in -");  // nothing is known of that subject
  s.n->signal(SIGUSR1);
  s.n->logged("dependencies: kurse ");
}

// A required part that is missing ends it at once.
void a_required_part() {
  site s("part kurse {\n class = kurs-abfrage\n from = kurse\n required = yes\n}\n" +
         two_parts.substr(two_parts.find("part stamm")));
  s.kurse1.change(does(manner::error));
  s.kurse2.change(does(manner::error));
  s.stamm1.change(says("DAX", 350ms));
  s.stamm2.change(says("DAX", 350ms));
  const auto begin = clock::now();
  CHECK(s.answer().rfind("HTTP/1.1 502 ", 0) == 0);
  CHECK(clock::now() - begin < 300ms || sanitized);
}

// All endpoints fail: no more are held out than the bound says, and when they are back they are used again.
void comes_back() {
  site s(two_parts);
  s.kurse1.change(does(manner::error));
  s.kurse2.change(does(manner::error));
  for (int i = 0; i < 40; ++i) CHECK(part(s.answer(), "kurse") == "missing ");
  s.n->logged("is ejected: too many consecutive failures");
  s.kurse1.change(says("101.42"));
  s.kurse2.change(says("101.42"));
  const auto until = clock::now() + 10s;
  while (part(s.answer(), "kurse") != "fresh 101.42") CHECK(clock::now() < until);
  for (int i = 0; i < 20; ++i) CHECK(part(s.answer(), "kurse") == "fresh 101.42");
}

// A caller that leaves, and a drain in the middle.
void leaves_and_drains() {
  site s(two_parts);
  s.kurse1.change(does(manner::whole, 10s));
  s.kurse2.change(does(manner::whole, 10s));
  {
    connection c = s.ask();
    const auto until = clock::now() + 5s;
    while (s.kurse1.requests + s.kurse2.requests == 0) CHECK(clock::now() < until);
  }
  const auto until = clock::now() + 5s;
  while (s.kurse1.hung_up + s.kurse2.hung_up == 0) CHECK(clock::now() < until);
  connection c = s.ask();
  while (s.kurse1.requests + s.kurse2.requests < 2) CHECK(clock::now() < until + 5s);
  s.n->signal(SIGTERM);
  const std::string a = c.rest();
  CHECK(has(a, "Partial: yes") && part(a, "stamm") == "fresh DAX");
  CHECK(s.n->wait() == 0);
}

void plans_are_checked() {
  const auto fault = [](const std::string& parts) {
    runtime r;
    node_options o;
    o.aim_ms = 2900;
    const std::string at = "\"" + own_host() + ":1\"";
    o.operators =
        "uwsgi {\n listen = \"" + own_host() + ":" + std::to_string(free_port()) + "\"\n servers = {" + at +
        "}\n class_var = P\n tenant_var = T\n}\ndependency kurse {\n endpoints = {" + at +
        "}\n budget = 2s\n}\ndependency ersatz {\n endpoints = {" + at + "}\n budget = 2s\n}\n" + parts;
    node n(r, o);
    CHECK(n.wait() == 1);
    return n.log();
  };
  const std::string head = "part kurse {\n class = kurs-abfrage\n";
  CHECK(has(fault(head + " from = kurse\n fallback = {\"dependency ersatz\"}\n}\n"),
            "operators.conf:17: part \"kurse\".from needs 4000ms for its dependencies in sequence"));
  CHECK(has(fault(head + " from = kurse\n fallback = {\"dependency kurse\"}\n}\n"),
            "which the part already calls"));
  CHECK(has(fault(head + " from = none\n}\n"),
            "operators.conf:17: part \"kurse\".from names an unknown dependency: \"none\""));
  CHECK(has(fault(head + " from = kurse\n fallback = {\"stale soon\"}\n}\n"),
            "operators.conf:18: part \"kurse\".fallback is not one of"));
  CHECK(has(fault("part kurse {\n class = kurs-meldung\n from = kurse\n}\n"),
            "names a class with effects, but only reads can be fan-outs"));
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"gathers", gathers_parts},    {"stalls", one_stalls},        {"another", tries_another_endpoint},
      {"falls_back", falls_back},    {"required", a_required_part}, {"comes_back", comes_back},
      {"leaves", leaves_and_drains}, {"plans", plans_are_checked}};
  tests.at(argv[1])();
  return 0;
}
