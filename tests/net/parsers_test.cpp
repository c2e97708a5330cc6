// The parsers against every cut and against bytes changed one by one: each input is read or refused, never
// more.
#include <functional>
#include <map>

#include "harness.hpp"
#include "json/json.hpp"
#include "pcap/reassembly.hpp"
#include "runtime/base64.hpp"
#include "runtime/messages.hpp"
#include "thrift/request.hpp"
#include "uwsgi/packet.hpp"

using namespace marblewharf;

namespace {

// Calls `read` with each prefix of a good input and with each byte set to a few values in turn.
void batter(const std::string& good, const std::function<void(const std::string&)>& read) {
  const auto survives = [&](const std::string& bytes) {
    try {
      read(bytes);
    } catch (const std::runtime_error&) {  // refused, which is as good
    }
  };
  read(good);
  for (std::size_t size = 0; size < good.size(); ++size) survives(good.substr(0, size));
  for (std::size_t at = 0; at < good.size(); ++at) {
    for (const int value : {0, 1, 0x22, 0x7b, 0x7f, 0x80, 0xff}) {
      std::string bytes = good;
      bytes[at] = static_cast<char>(value);
      survives(bytes);
    }
  }
}

const limits bounds;

void thrift_messages() {
  const std::int64_t now_ms = std::stoll(harness::usual(1)[2].second);
  const auto read = [now_ms](const std::string& bytes) {
    const auto f = thrift::next_frame(bytes, bounds);
    if (!f) return;
    const thrift::message m = thrift::decode(f->payload, bounds);
    vocabulary names;
    if (const auto* e = std::get_if<thrift::execute>(&m.content)) thrift::to_request(*e, names, now_ms);
  };
  batter(harness::execute(7, harness::usual(1), "body"), read);
  batter(harness::interrupt(8, 7), read);
  batter(harness::check(9), read);
  // Fields of other types and numbers are skipped, whatever is in them; depth has a bound.
  const std::string lists = harness::frame(
      harness::head(1, "check", 1) +
      std::string("\x0f\x00\x09\x0b\x00\x00\x00\x01\x00\x00\x00\x01x\x0c\x00\x0a\x06\x00\x01\x00\x05\x00\x00",
                  23));
  batter(lists, read);
  std::string deep = harness::head(1, "check", 1);
  for (int i = 0; i < 1000; ++i) deep += std::string("\x0c\x00\x09", 3);
  const thrift::message m = thrift::decode(deep, bounds);
  CHECK(std::get<thrift::undecodable>(m.content).text == "nested too deeply");
  // A count of elements that are not there ends at the end of the frame.
  const std::string many = harness::head(1, "check", 1) + std::string("\x0f\x00\x09\x02\x7f\xff\xff\xff", 8);
  CHECK(std::holds_alternative<thrift::undecodable>(thrift::decode(many, bounds).content));
}

void uwsgi_packets() {
  const std::string good =
      uwsgi::encode_packet({{"PATH_INFO", "/kurs"}, {"EMPTY", ""}, {"CONTENT_LENGTH", "3"}}, "abc");
  batter(good, [](const std::string& bytes) { uwsgi::next_packet(bytes, bounds); });
  const std::string followed = good + "more";
  const auto p = uwsgi::next_packet(followed, bounds);
  CHECK(p && p->whole == good && p->body == "abc" && *p->find("PATH_INFO") == "/kurs" &&
        !p->find("path_info"));
  const std::string response = "HTTP/1.1 200 OK\r\nA: b\r\ncontent-LENGTH: 12\r\n\r\n";
  batter(response, [](const std::string& bytes) { uwsgi::read_head(bytes, bounds); });
  CHECK(uwsgi::read_head(response, bounds)->content == 12u);
  CHECK(!uwsgi::read_head("HTTP/1.0 204 No Content\r\n\r\n", bounds)->content);
}

void json_documents() {
  const std::string good = R"( {"a":[1,-2.5e3,true,null,"x\"\u00e9\ud83d\ude00\n"],"b":{}} )";
  batter(good, [](const std::string& bytes) { json::parse(bytes); });
  CHECK(json::parse(good).find("a")->items[4].text == "x\"\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* bad :
       {"", "{", "[1,]", "01", "1.", "1e", "nul", "\"\x01\"", "{\"a\" 1}", "[1] 2", "\"\\ud800\""}) {
    bool refused = false;
    try {
      json::parse(bad);
    } catch (const json::bad_json&) {
      refused = true;
    }
    CHECK(refused);
  }
  bool refused = false;
  try {
    json::parse(std::string(100000, '['));
  } catch (const json::bad_json&) {
    refused = true;
  }
  CHECK(refused);
}

void runtime_lines() {
  for (const char* line :
       {R"({"msg":"ready","how":"starting","duration":12.5})",
        R"({"msg":"end","serial":18446744073709551615,"call":"00","how":"fine","duration":1,"blob":"AP8="})",
        R"({"msg":"load","cookie":"1","stats":[0.5,1,2,3]})", R"({"msg":"nack","how":"stop","call":"00"})",
        R"({"msg":"info","serial":2,"how":"hello"})", R"({"msg":"later invention"})"}) {
    batter(line, [](const std::string& text) { runtime::decode(text); });
  }
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) bytes.push_back(static_cast<char>(i * 37 + size));
    CHECK(runtime::from_base64(runtime::to_base64(bytes)) == bytes);
  }
}

// Guards against order lost where sequence numbers wrap, and against a hole that fills the memory.
void segments() {
  std::string got;
  const auto sink = [&got](std::string_view bytes) { got += bytes; };
  pcap::reassembly r(100);
  r.begin(0xfffffffe);
  r.add(2, "efg", sink);
  r.add(0xfffffffe, "abcd", sink);
  r.add(0xfffffffe, "ab", sink);  // again
  r.add(3, "fghi", sink);         // partly again
  CHECK(got == "abcdefghi" && r.repeated() == 1 && r.reordered() == 1 && !r.broken());
  r.add(1000, std::string(101, 'x'), sink);
  CHECK(r.broken() && got == "abcdefghi");
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"thrift", thrift_messages},
                                                   {"uwsgi", uwsgi_packets},
                                                   {"json", json_documents},
                                                   {"runtime", runtime_lines},
                                                   {"segments", segments}};
  tests.at(argv[1])();
  return 0;
}
