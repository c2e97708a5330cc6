// Capture files: the node records its front's connections, and marblewharf_pcap reads the file, even if
// packets are reordered, repeated, missing or invalid.
#include <map>

#include "harness.hpp"

using namespace harness;

namespace {

struct command_result {
  int status = -1;
  std::string out;  // standard output and error
};
command_result run_command(const std::string& arguments) {
  FILE* pipe = ::popen((std::string(MARBLEWHARF_PCAP) + " " + arguments + " 2>&1").c_str(), "r");
  CHECK(pipe != nullptr);
  command_result result;
  char chunk[4096];
  std::size_t n;
  while ((n = std::fread(chunk, 1, sizeof chunk, pipe)) > 0) result.out.append(chunk, n);
  result.status = WEXITSTATUS(::pclose(pipe));
  return result;
}

std::string read_all(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path, std::ios::binary).rdbuf();
  return text.str();
}

// Splits a capture file into its records. The first element is the file header.
std::vector<std::string> split_records(const std::string& bytes) {
  std::vector<std::string> found = {bytes.substr(0, 24)};
  for (std::size_t offset = 24; offset < bytes.size();) {
    const auto length_byte = [&](std::size_t i) {
      return static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[offset + 8 + i])) << (8 * i);
    };
    const std::size_t record_size = 16 + (length_byte(0) | length_byte(1) | length_byte(2) | length_byte(3));
    found.push_back(bytes.substr(offset, record_size));
    offset += record_size;
  }
  return found;
}
void write(const std::string& path, const std::vector<std::string>& parts) {
  std::ofstream out(path, std::ios::binary);
  for (const std::string& p : parts) out << p;
}
bool has_data(const std::string& record) {
  return record.size() > 16 + 40;
}

// A capture file with four requests on two connections, recorded by a node.
struct recording {
  recording() {
    char name[] = "/tmp/marblewharf-pcap-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    dir = name;
    path = dir + "/front.pcap";
    runtime r;
    node_options o;
    o.record = path;
    node n(r, o);
    r.up();
    port = n.port;
    connection first = connection::to(n.port);
    connection second = connection::to(n.port);
    for (int i = 1; i <= 3; ++i) {
      first.send(execute(i, usual(i, i == 2 ? "kurs-meldung" : "kurs-abfrage"), std::string(1800, 'x')));
      r.end(r.expect("start"), "fine", "YQ==");
      CHECK(read_reply(first).kind == "served");
    }
    second.send(execute(1, usual(9), "y"));
    r.end(r.expect("start"), "fine", "YQ==");
    CHECK(read_reply(second).kind == "served");
    first.close();
    second.close();
    n.signal(SIGTERM);
    CHECK(n.wait() == 0);
  }
  ~recording() {
    for (const char* file : {"/front.pcap", "/other.pcap"}) ::unlink((dir + file).c_str());
    ::rmdir(dir.c_str());
  }
  command_result run(const std::string& action, const std::string& file,
                     const std::string& options = "") const {
    return run_command(action + " " + dir + "/" + file + " --thrift-port " + std::to_string(port) + " " +
                       options);
  }
  std::string dir, path;
  int port = 0;
};

int line_count(const std::string& text) {
  return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
}

void lists_recorded_requests() {
  const recording capture;
  const command_result listed = capture.run("list", "front.pcap");
  CHECK(listed.status == 0 && line_count(listed.out) == 4);
  for (int i : {1, 2, 3, 9}) CHECK(listed.out.find(label(i)) != std::string::npos);
  CHECK(listed.out.find(" kurs-meldung isar-invest work_ms=12.50 held_kb=24.5 ") != std::string::npos);
  const command_result summary = capture.run("summary", "front.pcap");
  CHECK(summary.out.find("thrift kurs-abfrage isar-invest requests=3 work_ms=37.5 ") != std::string::npos);
  CHECK(summary.out.find(" gaps=0 malformed=0 undecodable=0") != std::string::npos);
}

void filters_to_another_file() {
  const recording capture;
  const command_result filtered =
      capture.run("filter", "front.pcap", "--class kurs-meldung --out " + capture.dir + "/other.pcap");
  CHECK(filtered.status == 0 && filtered.out.empty());
  const command_result listed = capture.run("list", "other.pcap");
  CHECK(listed.status == 0 && line_count(listed.out) == 1 && listed.out.find(label(2)) != std::string::npos);
  CHECK(capture.run("list", "front.pcap", "--tenant lech-vermoegen").out.empty());
}

// Guards against requests that are lost or read twice when segments are reordered, repeated or missing.
void reassembles_segments() {
  const recording capture;
  const std::vector<std::string> packets = split_records(read_all(capture.path));
  std::vector<std::string> mixed = packets;
  int swapped = 0;
  for (std::size_t i = 1; i + 1 < mixed.size(); ++i) {
    if (!has_data(mixed[i]) || !has_data(mixed[i + 1])) continue;
    std::swap(mixed[i], mixed[i + 1]);
    mixed.insert(mixed.begin() + static_cast<std::ptrdiff_t>(i + 2),
                 std::string(mixed[i]));  // one segment is recorded twice
    ++swapped;
    i += 2;
  }
  CHECK(swapped >= 3);
  write(capture.dir + "/other.pcap", mixed);
  const command_result listed = capture.run("list", "other.pcap");
  CHECK(listed.status == 0 && line_count(listed.out) == 4);
  const command_result summary = capture.run("summary", "other.pcap");
  CHECK(summary.out.find(" reordered=0") == std::string::npos &&
        summary.out.find(" repeated=0") == std::string::npos);

  // With a segment missing, the complete requests before it and the requests of the other connection are
  // listed.
  std::vector<std::string> incomplete = packets;
  int large = 0;
  for (std::size_t i = 1; i < incomplete.size(); ++i) {
    if (incomplete[i].size() < 1400 || ++large < 2) continue;
    incomplete.erase(incomplete.begin() + static_cast<std::ptrdiff_t>(i));
    break;
  }
  write(capture.dir + "/other.pcap", incomplete);
  const command_result remaining = capture.run("list", "other.pcap");
  CHECK(line_count(remaining.out) == 2 && remaining.out.find(label(1)) != std::string::npos &&
        remaining.out.find(label(9)) != std::string::npos);
  CHECK(capture.run("summary", "other.pcap").out.find(" gaps=1 ") != std::string::npos);
}

void error_names_the_invalid_packet() {
  const recording capture;
  const std::vector<std::string> packets = split_records(read_all(capture.path));
  std::string whole;
  for (std::size_t i = 0; i < 4; ++i) whole += packets[i];
  write(capture.dir + "/other.pcap",
        {whole, packets[4].substr(0, 20)});  // truncated within the fourth packet
  const command_result truncated = capture.run("list", "other.pcap");
  CHECK(truncated.status != 0 && truncated.out.find("packet 4") != std::string::npos &&
        line_count(truncated.out) == 1);
  write(capture.dir + "/other.pcap", {"no capture file at all, only text"});
  const command_result not_a_capture = capture.run("list", "other.pcap");
  CHECK(not_a_capture.status != 0 && not_a_capture.out.find("packet 1") != std::string::npos);
  std::vector<std::string> with_invalid_header = packets;
  with_invalid_header[2][16] = '\x4f';  // an IPv4 header longer than its packet
  write(capture.dir + "/other.pcap", with_invalid_header);
  const command_result skipped = capture.run("list", "other.pcap");
  CHECK(skipped.status != 0 && skipped.out.find("packet 2: ") != std::string::npos);
  CHECK(skipped.out.find(label(3)) != std::string::npos);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"list", lists_recorded_requests},
      {"filter", filters_to_another_file},
      {"order", reassembles_segments},
      {"bad_packet", error_names_the_invalid_packet},
  };
  tests.at(argv[1])();
  return 0;
}
