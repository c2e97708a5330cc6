// Inquiries of the real program: how it finds the outcome of a write that it sent to a uwsgi server and whose
// end it did not see.
#include <map>

#include "idempotency/fingerprint.hpp"
#include "idempotency/records.hpp"
#include "keyed_site.hpp"
#include "store/log.hpp"

using namespace harness;

namespace {

// After an unknown outcome a duplicate makes the node ask the uwsgi server for it: a definite reply is
// recorded, a 404 releases the key, and the node gives up after `inquiry_tries` inquiries.
void inquiries_find_the_outcome() {
  site s({}, "inquiry_var = INQUIRY\n inquiry_value = yes\n inquiry_tries = 2\n inquiry_pause = 20ms");
  const auto leave_outcome_unknown = [&](const std::string& key) {
    connection u = s.uwsgi(uwsgi_write(key));
    s.server.accept().take(10);
    CHECK(starts_with(u.rest(), "HTTP/1.1 409 "));
  };
  const auto accept_inquiry = [&] {
    connection a = s.server.accept();
    const std::string head = a.take(4);
    const std::string vars =
        a.take(static_cast<std::uint8_t>(head[1]) | static_cast<std::size_t>(head[2]) << 8);
    CHECK(vars.find("INQUIRY") != std::string::npos);
    return a;
  };
  leave_outcome_unknown("known");
  connection u = s.uwsgi(uwsgi_write("known"));
  accept_inquiry().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  accept_inquiry().send(whole_response());
  CHECK(u.rest() == whole_response());
  CHECK(s.uwsgi(uwsgi_write("known")).rest() == whole_response());
  leave_outcome_unknown("never");
  connection v = s.uwsgi(uwsgi_write("never"));
  accept_inquiry().send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts_with(v.rest(), "HTTP/1.1 503 "));
  connection w = s.uwsgi(uwsgi_write("never"));
  s.server.accept().send(whole_response());
  CHECK(w.rest() == whole_response());
  leave_outcome_unknown("unknown");
  connection x = s.uwsgi(uwsgi_write("unknown"));
  connection y = s.uwsgi(uwsgi_write("unknown"));
  accept_inquiry().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  accept_inquiry().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  CHECK(starts_with(x.rest(), "HTTP/1.1 409 "));
  CHECK(starts_with(y.rest(), "HTTP/1.1 409 "));
  CHECK(!s.server.waiting(100));
}

// Appends one record to a new folder of stored results.
void write_record(const std::string& folder, const marblewharf::store::record& content) {
  namespace store = marblewharf::store;
  constexpr std::uint64_t segment_bytes = 64 << 10;
  constexpr std::uint64_t folder_bytes = 1 << 20;
  store::posix_file_system files;
  store::log_options options;
  options.folder = folder;
  options.segment_bytes = segment_bytes;
  options.space_bytes = folder_bytes;
  const std::int64_t now =
      std::chrono::nanoseconds(std::chrono::system_clock::now().time_since_epoch()).count();
  const std::int64_t expiry = now + std::chrono::nanoseconds(10min).count();
  store::log log(
      files, options, [](std::uint32_t, std::string_view) { return std::int64_t{0}; },
      [](std::uint32_t, std::string_view, const store::position&) {});
  log.open(now);
  log.append(std::vector<store::entry>{{content, expiry}}, now);
}

// The intent of uwsgi_write(key) as versions wrote it that did not know the server.
marblewharf::store::record intent_without_server(const std::string& key) {
  namespace idempotency = marblewharf::idempotency;
  constexpr std::uint64_t salt = 0;
  const std::array<std::string_view, 5> content = {"uwsgi", "POST", "/kurs/meldung", "", "price"};
  idempotency::key_record intent;
  intent.type = idempotency::record_type::intent;
  intent.key = idempotency::key_id_of("isar-invest", "kurs-meldung", key, salt);
  intent.fingerprint = idempotency::fingerprint_of(content);
  intent.written_at = std::chrono::nanoseconds(std::chrono::system_clock::now().time_since_epoch()).count();
  intent.expiry = intent.written_at + std::chrono::nanoseconds(10min).count();
  intent.tenant = "isar-invest";
  intent.request_class = "kurs-meldung";
  intent.client_key = key;
  return idempotency::encode(intent);
}

constexpr const char* inquiry_settings =
    "inquiry_var = INQUIRY\n inquiry_value = yes\n inquiry_tries = 1\n inquiry_pause = 20ms";
constexpr const char* never_saw_it = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr auto beyond_inquiry_pause = 50ms;

// A site with two uwsgi servers that can be asked for the outcome of a write.
struct two_server_site : site {
  two_server_site() : site({}, inquiry_settings, "", true) {}

  struct receivers {
    listener& receiver;  // got the write
    listener& other;
  };
  // Accepts a write at the server that the node has chosen.
  std::pair<receivers, connection> accept_write() {
    while (!server.waiting(5) && !second_server.waiting(5)) {
    }
    const bool at_second = second_server.waiting(0);
    const receivers found{at_second ? second_server : server, at_second ? server : second_server};
    connection accepted = found.receiver.accept();
    accepted.take(10);
    return {found, std::move(accepted)};
  }
  // Leaves the outcome of a write unknown: its server closes the connection without a response.
  receivers leave_outcome_unknown(const std::string& key) {
    connection write = uwsgi(uwsgi_write(key));
    const receivers found = accept_write().first;
    CHECK(starts_with(write.rest(), "HTTP/1.1 409 "));
    return found;
  }
  // Repeats a write whose server cannot be asked: the outcome stays unknown, and the other server is not
  // asked.
  void expect_no_answer_about(const std::string& key, const listener& other) {
    constexpr int repeats = 2;
    for (int repeat = 0; repeat < repeats; ++repeat) {
      CHECK(starts_with(uwsgi(uwsgi_write(key)).rest(), "HTTP/1.1 409 "));
      std::this_thread::sleep_for(beyond_inquiry_pause);
    }
    CHECK(!other.waiting(50));
    price_node->signal(SIGUSR1);
    price_node->logged("inquiries_without_server=" + std::to_string(repeats));
  }
  static void reply_to_inquiry(listener& server, const std::string& response) {
    connection inquiry = server.accept();
    inquiry.take(4);
    inquiry.send(response);
  }
  static std::string name_of(const listener& server) {
    return own_host() + ":" + std::to_string(server.port);
  }
  std::string list_results() const { return run("results list " + folder + "/results").first; }
};

// The outcome of a write whose response was cut by a reset is unknown, and its server is asked.
void cut_response_leaves_the_outcome_unknown() {
  two_server_site s;
  connection write = s.uwsgi(uwsgi_write("cut"));
  auto [servers, accepted] = s.accept_write();
  accepted.send("HTTP/1.1 200 OK\r\n\r\nhalf of the res");
  std::this_thread::sleep_for(20ms);  // the node reads the first part before the reset
  accepted.reset();
  CHECK(starts_with(write.rest(), "HTTP/1.1 409 "));
  connection repeat = s.uwsgi(uwsgi_write("cut"));
  s.reply_to_inquiry(servers.receiver, whole_response());
  CHECK(repeat.rest() == whole_response());
}

// Guards against a second run of a write that one server has applied, because another server never saw it:
// the node asks only the server that got the write.
void inquiries_ask_the_server_of_the_write() {
  two_server_site s;
  {
    const auto [receiver, other] = s.leave_outcome_unknown("applied");
    connection repeat = s.uwsgi(uwsgi_write("applied"));
    s.reply_to_inquiry(receiver, whole_response());
    CHECK(repeat.rest() == whole_response());
    CHECK(!other.waiting(50));
  }
  const auto [receiver, other] = s.leave_outcome_unknown("unanswered");
  connection repeat = s.uwsgi(uwsgi_write("unanswered"));
  s.reply_to_inquiry(receiver, "");  // closes the connection without a response
  CHECK(starts_with(repeat.rest(), "HTTP/1.1 409 "));
  std::this_thread::sleep_for(beyond_inquiry_pause);
  connection again = s.uwsgi(uwsgi_write("unanswered"));
  s.reply_to_inquiry(receiver, never_saw_it);
  CHECK(starts_with(again.rest(), "HTTP/1.1 503 "));
  CHECK(!other.waiting(50));
}

// The node is killed during a write. After the restart, with the servers in another order, it asks the server
// that the intent on disk names. While this server is not in the settings, the outcome stays unknown.
void inquiries_after_a_crash_ask_the_server_of_the_write() {
  two_server_site s;
  connection write = s.uwsgi(uwsgi_write("crashed"));
  const auto [servers, accepted] = s.accept_write();
  const auto [receiver, other] = servers;
  s.kill();
  CHECK(s.list_results().find("in-doubt") != std::string::npos);
  CHECK(s.list_results().find(" server=" + s.name_of(receiver)) != std::string::npos);

  const std::string in_order = "{\"" + s.name_of(s.server) + "\", \"" + s.name_of(s.second_server) + "\"}";
  const std::string other_only = "{\"" + s.name_of(other) + "\"}";
  s.replace_setting(in_order, other_only);
  s.start();
  s.expect_no_answer_about("crashed", other);
  s.kill();

  s.replace_setting(other_only, "{\"" + s.name_of(s.second_server) + "\", \"" + s.name_of(s.server) + "\"}");
  s.start();
  connection repeat = s.uwsgi(uwsgi_write("crashed"));
  s.reply_to_inquiry(receiver, whole_response());
  CHECK(repeat.rest() == whole_response());
  CHECK(!other.waiting(50));
}

// While the server that got a write is away, no other server is asked, and the outcome stays unknown.
void server_that_is_away_keeps_the_outcome_unknown() {
  two_server_site s;
  const auto [receiver, other] = s.leave_outcome_unknown("away");
  receiver.close();
  s.expect_no_answer_about("away", other);
}

// A write whose chosen server cannot be reached runs at the other server, and its intent names that one.
void writes_pass_over_an_unreachable_server() {
  two_server_site s;
  s.server.close();
  for (const std::string key : {"a", "b", "c"}) {
    connection write = s.uwsgi(uwsgi_write(key));
    connection accepted = s.second_server.accept();
    accepted.take(10);
    accepted.send(whole_response());
    CHECK(write.rest() == whole_response());
  }
  connection write = s.uwsgi(uwsgi_write("d"));
  connection accepted = s.second_server.accept();
  accepted.take(10);
  s.kill();
  CHECK(s.list_results().find(" server=" + s.name_of(s.second_server)) != std::string::npos);
  s.second_server.close();
  s.start();
  // No server is left: the write never started, and its key is free.
  for (int attempt = 0; attempt < 2; ++attempt)
    CHECK(starts_with(s.uwsgi(uwsgi_write("e")).rest(), "HTTP/1.1 502 "));
}

// An intent that an earlier version wrote names no server, so that no 404 proves that the write never ran; a
// server that has the result still ends the doubt.
void intent_without_a_server_is_never_freed() {
  two_server_site s;
  s.kill();
  std::filesystem::remove_all(s.folder + "/results");
  write_record(s.folder + "/results", intent_without_server("old"));
  s.start();
  connection repeat = s.uwsgi(uwsgi_write("old"));
  std::vector<connection> inquiries;
  for (int server = 0; server < 2; ++server) {
    auto [servers, inquiry] = s.accept_write();
    inquiry.send(never_saw_it);
  }
  CHECK(starts_with(repeat.rest(), "HTTP/1.1 409 "));
  std::this_thread::sleep_for(beyond_inquiry_pause);
  connection again = s.uwsgi(uwsgi_write("old"));
  {
    auto [servers, inquiry] = s.accept_write();
    inquiry.send(never_saw_it);
  }
  auto [servers, inquiry] = s.accept_write();
  inquiry.send(whole_response());
  CHECK(again.rest() == whole_response());
}

// A record that a later version wrote stops the start with one line, and the folder stays as it is.
void unknown_record_stops_the_start() {
  constexpr std::uint32_t later_type = 9;
  two_server_site s;
  s.kill();
  const std::string folder = s.folder + "/results";
  std::filesystem::remove_all(folder);
  write_record(folder, {later_type, "later"});
  node refused(*s.fake_runtime, s.options);
  CHECK(refused.wait() == 1);
  const std::string line =
      folder +
      ": a record of type 9 is of a later version, and keys would be forgotten without it; start that";
  CHECK(refused.log().find(line) != std::string::npos);
  CHECK(run("results verify " + folder).first.find("records=1") != std::string::npos);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"outcome", inquiries_find_the_outcome},
      {"servers", inquiries_ask_the_server_of_the_write},
      {"cut_response", cut_response_leaves_the_outcome_unknown},
      {"after_crash", inquiries_after_a_crash_ask_the_server_of_the_write},
      {"server_away", server_that_is_away_keeps_the_outcome_unknown},
      {"unreachable_server", writes_pass_over_an_unreachable_server},
      {"intent_without_server", intent_without_a_server_is_never_freed},
      {"unknown_record", unknown_record_stops_the_start}};
  tests.at(argv[1])();
  return 0;
}
