// Guards against parsers that crash or read out of bounds on malformed input. Each parser gets every prefix
// of a valid input, and the input with single bytes replaced; it has to accept the input or throw its error.
// pcap::reassembly is tested with out-of-order segments.
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

// Calls `parse` with a valid input, each of its prefixes, and copies in which one byte has another value.
void check_malformed_variants(const std::string& valid,
                              const std::function<void(const std::string&)>& parse) {
  const auto accepts_or_throws = [&](const std::string& bytes) {
    try {
      parse(bytes);
    } catch (const std::runtime_error&) {  // rejecting the input is correct, too
    }
  };
  parse(valid);
  for (std::size_t size = 0; size < valid.size(); ++size) accepts_or_throws(valid.substr(0, size));
  for (std::size_t position = 0; position < valid.size(); ++position) {
    for (const int value : {0, 1, 0x22, 0x7b, 0x7f, 0x80, 0xff}) {
      std::string bytes = valid;
      bytes[position] = static_cast<char>(value);
      accepts_or_throws(bytes);
    }
  }
}

const limits bounds;

void thrift_messages() {
  const std::int64_t now_ms = std::stoll(harness::usual(1)[2].second);
  const auto parse = [now_ms](const std::string& bytes) {
    const auto frame = thrift::next_frame(bytes, bounds);
    if (!frame) return;
    const thrift::message message = thrift::decode(frame->payload, bounds);
    request_name_index names;
    if (const auto* execute = std::get_if<thrift::execute>(&message.content))
      thrift::to_request(*execute, names, now_ms);
  };
  check_malformed_variants(harness::execute(7, harness::usual(1), "body"), parse);
  check_malformed_variants(harness::interrupt(8, 7), parse);
  check_malformed_variants(harness::check(9), parse);
  // Unknown fields are skipped, including nested ones, up to a limited depth.
  const std::string lists = harness::frame(
      harness::head(1, "check", 1) +
      std::string("\x0f\x00\x09\x0b\x00\x00\x00\x01\x00\x00\x00\x01x\x0c\x00\x0a\x06\x00\x01\x00\x05\x00\x00",
                  23));
  check_malformed_variants(lists, parse);
  std::string deep = harness::head(1, "check", 1);
  for (int i = 0; i < 1000; ++i) deep += std::string("\x0c\x00\x09", 3);
  const thrift::message message = thrift::decode(deep, bounds);
  CHECK(std::get<thrift::undecodable>(message.content).text == "nested too deeply");
  // An element count larger than the frame ends at the end of the frame.
  const std::string oversized_count =
      harness::head(1, "check", 1) + std::string("\x0f\x00\x09\x02\x7f\xff\xff\xff", 8);
  CHECK(std::holds_alternative<thrift::undecodable>(thrift::decode(oversized_count, bounds).content));
}

void uwsgi_packets() {
  const std::string valid =
      uwsgi::encode_packet({{"PATH_INFO", "/kurs"}, {"EMPTY", ""}, {"CONTENT_LENGTH", "3"}}, "abc");
  check_malformed_variants(valid, [](const std::string& bytes) { uwsgi::next_packet(bytes, bounds); });
  const std::string with_trailing_bytes = valid + "more";
  const auto packet = uwsgi::next_packet(with_trailing_bytes, bounds);
  CHECK(packet && packet->bytes == valid && packet->body == "abc" && *packet->find("PATH_INFO") == "/kurs" &&
        !packet->find("path_info"));
  const std::string response = "HTTP/1.1 200 OK\r\nA: b\r\ncontent-LENGTH: 12\r\n\r\n";
  check_malformed_variants(response,
                           [](const std::string& bytes) { uwsgi::decode_response_head(bytes, bounds); });
  CHECK(uwsgi::decode_response_head(response, bounds)->content_length == 12u);
  CHECK(!uwsgi::decode_response_head("HTTP/1.0 204 No Content\r\n\r\n", bounds)->content_length);
}

void json_documents() {
  const std::string valid = R"( {"a":[1,-2.5e3,true,null,"x\"\u00e9\ud83d\ude00\n"],"b":{}} )";
  check_malformed_variants(valid, [](const std::string& bytes) { json::parse(bytes); });
  CHECK(json::parse(valid).find("a")->items[4].text == "x\"\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* malformed :
       {"", "{", "[1,]", "01", "1.", "1e", "nul", "\"\x01\"", "{\"a\" 1}", "[1] 2", "\"\\ud800\""}) {
    bool rejected = false;
    try {
      json::parse(malformed);
    } catch (const json::bad_json&) {
      rejected = true;
    }
    CHECK(rejected);
  }
  bool rejected = false;
  try {
    json::parse(std::string(100000, '['));
  } catch (const json::bad_json&) {
    rejected = true;
  }
  CHECK(rejected);
}

void runtime_messages() {
  for (const char* line :
       {R"({"msg":"ready","how":"starting","duration":12.5})",
        R"({"msg":"end","serial":18446744073709551615,"call":"00","how":"fine","duration":1,"blob":"AP8="})",
        R"({"msg":"load","cookie":"1","stats":[0.5,1,2,3]})", R"({"msg":"nack","how":"stop","call":"00"})",
        R"({"msg":"info","serial":2,"how":"hello"})", R"({"msg":"unknown kind"})"}) {
    check_malformed_variants(line, [](const std::string& text) { runtime::decode(text); });
  }
  for (std::size_t size = 0; size < 70; ++size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) bytes.push_back(static_cast<char>(i * 37 + size));
    CHECK(runtime::from_base64(runtime::to_base64(bytes)) == bytes);
  }
}

// Guards against segments reassembled in the wrong order when the sequence numbers wrap around, and against
// unbounded buffering behind a missing segment.
void tcp_reassembly() {
  std::string stream;
  const auto sink = [&stream](std::string_view bytes) { stream += bytes; };
  pcap::reassembly reassembly(100);
  reassembly.begin(0xfffffffe);
  reassembly.add(2, "efg", sink);
  reassembly.add(0xfffffffe, "abcd", sink);
  reassembly.add(0xfffffffe, "ab", sink);  // repeated
  reassembly.add(3, "fghi", sink);         // partly repeated
  CHECK(stream == "abcdefghi" && reassembly.repeated() == 1 && reassembly.reordered() == 1 &&
        !reassembly.broken());
  reassembly.add(1000, std::string(101, 'x'), sink);
  CHECK(reassembly.broken() && stream == "abcdefghi");
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {{"thrift", thrift_messages},
                                                   {"uwsgi", uwsgi_packets},
                                                   {"json", json_documents},
                                                   {"runtime", runtime_messages},
                                                   {"reassembly", tcp_reassembly}};
  tests.at(argv[1])();
  return 0;
}
