// Lists, summarises and filters the requests in a capture file.
#include <algorithm>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>

#include "config/operator_file.hpp"
#include "pcap/reader.hpp"
#include "pcap/writer.hpp"

namespace {

using namespace marblewharf;

constexpr int usage_exit_code = 2;
constexpr int skipped_exit_code = 3;  // packets or messages were skipped
constexpr double us_per_s = 1e6;

struct usage_error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct selection {
  std::optional<std::string> request_class, tenant, protocol;
  double from_s = 0, to_s = 1e18;
};

struct command {
  std::string action, file, output_file;
  std::optional<std::string> platform_file, operator_file;
  selection select;
  pcap::read_options read;
};

double to_number(const std::string& text, const std::string& option, double max) {
  double value = 0;
  const char* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, value).ptr != end || !(value >= 0 && value <= max))
    throw usage_error(option + " is not a number in the allowed range");
  return value;
}

command read_arguments(int argc, char** argv) {
  if (argc < 3) throw usage_error("a command and a file are required");
  command arguments;
  arguments.action = argv[1];
  arguments.file = argv[2];
  if (arguments.action != "list" && arguments.action != "summary" && arguments.action != "filter")
    throw usage_error("unknown command: " + arguments.action);
  for (int i = 3; i < argc; i += 2) {
    const std::string option = argv[i];
    if (i + 1 == argc) throw usage_error(option + " needs a value");
    const std::string value = argv[i + 1];
    if (option == "--class")
      arguments.select.request_class = value;
    else if (option == "--tenant")
      arguments.select.tenant = value;
    else if (option == "--protocol")
      arguments.select.protocol = value;
    else if (option == "--from")
      arguments.select.from_s = to_number(value, option, 1e12);
    else if (option == "--to")
      arguments.select.to_s = to_number(value, option, 1e12);
    else if (option == "--out")
      arguments.output_file = value;
    else if (option == "--config")
      arguments.platform_file = value;
    else if (option == "--settings")
      arguments.operator_file = value;
    else if (option == "--thrift-port")
      arguments.read.thrift_port = static_cast<std::uint16_t>(to_number(value, option, 65535));
    else if (option == "--uwsgi-port")
      arguments.read.uwsgi_port = static_cast<std::uint16_t>(to_number(value, option, 65535));
    else
      throw usage_error("unknown option: " + option);
  }
  if (arguments.action == "filter" && arguments.output_file.empty())
    throw usage_error("filter needs --out FILE");
  if (arguments.operator_file && !arguments.platform_file)
    throw usage_error("--settings needs --config FILE, which defines the classes");
  return arguments;
}

const char* name_of(pcap::protocol protocol) {
  return protocol == pcap::protocol::thrift ? "thrift" : "uwsgi";
}

bool is_selected(const selection& filter, const pcap::captured_request& found,
                 const request_name_index& names) {
  const double unix_s = static_cast<double>(found.unix_us) / us_per_s;
  return (!filter.request_class || names.classes[found.decoded.request_class] == *filter.request_class) &&
         (!filter.tenant || (found.decoded.tenant < names.tenants.size() &&
                             names.tenants[found.decoded.tenant] == *filter.tenant)) &&
         (!filter.protocol || name_of(found.wire_protocol) == *filter.protocol) && unix_s >= filter.from_s &&
         unix_s <= filter.to_s;
}

std::string tenant_name(const pcap::captured_request& found, const request_name_index& names) {
  return found.decoded.tenant < names.tenants.size() ? names.tenants[found.decoded.tenant] : "-";
}

double work_ms(const request& decoded) {
  return std::chrono::duration<double, std::milli>(decoded.expected_work).count();
}

void print_request(const pcap::captured_request& found, const request_name_index& names) {
  std::printf("%" PRIu64 " %" PRId64 ".%06d %s %s %s %s work_ms=%.2f held_kb=%.1f bytes=%zu %s\n",
              found.packet, found.unix_us / 1000000, static_cast<int>(found.unix_us % 1000000),
              name_of(found.wire_protocol), found.caller.c_str(),
              names.classes[found.decoded.request_class].c_str(), tenant_name(found, names).c_str(),
              work_ms(found.decoded), found.decoded.reserved_kb, found.bytes.size(),
              found.decoded.operation.empty() ? "-" : found.decoded.operation.c_str());
}

struct totals {
  std::uint64_t requests = 0;
  double work_ms = 0;
  std::uint64_t bytes = 0;
};

// Writes the selected requests to a capture file. The Thrift requests of a caller are written to one
// connection, and each uwsgi request is written to a connection of its own.
class filter_output {
 public:
  filter_output(const std::string& path, const limits& bounds) : out_(path, bounds.max_capture_file_bytes) {}
  void add(const pcap::captured_request& found) {
    const auto [entry, inserted] = open_.try_emplace(found.caller + ">" + found.server);
    if (inserted)
      entry->second =
          out_.open(pcap::parse_address(found.caller), pcap::parse_address(found.server), found.unix_us);
    out_.add_caller_bytes(entry->second, found.bytes, found.unix_us);
    last_us_ = std::max(last_us_, found.unix_us);
    if (found.wire_protocol != pcap::protocol::uwsgi) return;
    out_.close(entry->second, found.unix_us);
    open_.erase(entry);
  }
  // Closes all connections. Throws write_error if requests are missing in the file.
  void finish() {
    for (auto& [key, connection] : open_) out_.close(connection, last_us_);
    if (out_.full())
      throw pcap::write_error(
          "the output file has reached its maximum size or cannot be written, and is incomplete");
  }

 private:
  pcap::writer out_;
  std::map<std::string, pcap::recorded_connection> open_;
  std::int64_t last_us_ = 0;
};

int run(command arguments) {
  request_name_index names;
  if (arguments.platform_file) {
    config settings = read_config(read_file(arguments.platform_file->c_str(), "--config"));
    names = request_name_index(settings.policy_settings);
    if (arguments.operator_file) apply_operator_file(settings, *arguments.operator_file);
    if (settings.uwsgi) arguments.read.mapping = *settings.uwsgi;
  }
  if (arguments.read.mapping.request_class.var.empty()) {
    arguments.read.mapping.request_class.var = "PATH_INFO";
    arguments.read.mapping.tenant.var = "REMOTE_USER";
  }
  std::map<std::string, totals> sums;
  std::int64_t first_us = 0, last_us = 0;
  std::optional<filter_output> output;
  if (arguments.action == "filter") output.emplace(arguments.output_file, arguments.read.bounds);
  const pcap::read_counts counts = pcap::read_capture(
      arguments.file, arguments.read, names,
      [&](const pcap::captured_request& found) {
        if (!is_selected(arguments.select, found, names)) return;
        if (arguments.action == "list") print_request(found, names);
        if (output) output->add(found);
        totals& group = sums[std::string(name_of(found.wire_protocol)) + " " +
                             names.classes[found.decoded.request_class] + " " + tenant_name(found, names)];
        ++group.requests;
        group.work_ms += work_ms(found.decoded);
        group.bytes += found.bytes.size();
        if (first_us == 0) first_us = found.unix_us;
        last_us = found.unix_us;
      },
      [](const std::string& problem) { std::fprintf(stderr, "%s\n", problem.c_str()); });
  if (output) output->finish();
  if (arguments.action == "summary") {
    for (const auto& [key, group] : sums)
      std::printf("%s requests=%" PRIu64 " work_ms=%.1f bytes=%" PRIu64 "\n", key.c_str(), group.requests,
                  group.work_ms, group.bytes);
    std::printf("span_s=%.3f packets=%" PRIu64 " other=%" PRIu64 " repeated=%" PRIu64 " reordered=%" PRIu64
                " gaps=%" PRIu64 " malformed=%" PRIu64 " undecodable=%" PRIu64 "\n",
                static_cast<double>(last_us - first_us) / us_per_s, counts.packets, counts.other,
                counts.repeated, counts.reordered, counts.gaps, counts.malformed, counts.undecodable);
  }
  return counts.malformed + counts.undecodable > 0 ? skipped_exit_code : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(read_arguments(argc, argv));
  } catch (const usage_error& e) {
    std::fprintf(
        stderr,
        "marblewharf_pcap: %s\n"
        "usage: marblewharf_pcap list|summary|filter FILE [--class NAME] [--tenant NAME]\n"
        "       [--protocol thrift|uwsgi] [--from UNIX_S] [--to UNIX_S] [--thrift-port N] [--uwsgi-port N]\n"
        "       [--config FILE [--settings FILE]] [--out FILE]\n",
        e.what());
    return usage_exit_code;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf_pcap: %s\n", e.what());
    return 1;
  }
}
