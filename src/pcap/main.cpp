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

constexpr int usage_error = 2;
constexpr int skipped_some = 3;
constexpr double us_each_s = 1e6;

struct usage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct selection {
  std::optional<std::string> request_class, tenant, protocol;
  double from_s = 0, to_s = 1e18;
};

struct command {
  std::string what, file, out;
  std::optional<std::string> config, operators;
  selection select;
  pcap::read_options read;
};

double to_number(const std::string& text, const std::string& option, double most) {
  double value = 0;
  const char* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, value).ptr != end || !(value >= 0 && value <= most))
    throw usage(option + " is no usable number");
  return value;
}

command read_arguments(int argc, char** argv) {
  if (argc < 3) throw usage("a command and a file are needed");
  command c;
  c.what = argv[1];
  c.file = argv[2];
  if (c.what != "list" && c.what != "summary" && c.what != "filter") throw usage("no command: " + c.what);
  for (int i = 3; i < argc; i += 2) {
    const std::string option = argv[i];
    if (i + 1 == argc) throw usage(option + " wants a value");
    const std::string value = argv[i + 1];
    if (option == "--class")
      c.select.request_class = value;
    else if (option == "--tenant")
      c.select.tenant = value;
    else if (option == "--protocol")
      c.select.protocol = value;
    else if (option == "--from")
      c.select.from_s = to_number(value, option, 1e12);
    else if (option == "--to")
      c.select.to_s = to_number(value, option, 1e12);
    else if (option == "--out")
      c.out = value;
    else if (option == "--config")
      c.config = value;
    else if (option == "--settings")
      c.operators = value;
    else if (option == "--thrift-port")
      c.read.thrift_port = static_cast<std::uint16_t>(to_number(value, option, 65535));
    else if (option == "--uwsgi-port")
      c.read.uwsgi_port = static_cast<std::uint16_t>(to_number(value, option, 65535));
    else
      throw usage("no option: " + option);
  }
  if (c.what == "filter" && c.out.empty()) throw usage("filter wants --out FILE");
  if (c.operators && !c.config) throw usage("--settings names classes of a --config FILE");
  return c;
}

const char* name_of(pcap::protocol p) {
  return p == pcap::protocol::thrift ? "thrift" : "uwsgi";
}

bool selected(const selection& s, const pcap::captured& c, const vocabulary& names) {
  const double at_s = static_cast<double>(c.unix_us) / us_each_s;
  return (!s.request_class || names.classes[c.what.request_class] == *s.request_class) &&
         (!s.tenant || (c.what.tenant < names.tenants.size() && names.tenants[c.what.tenant] == *s.tenant)) &&
         (!s.protocol || name_of(c.from) == *s.protocol) && at_s >= s.from_s && at_s <= s.to_s;
}

std::string tenant_name(const pcap::captured& c, const vocabulary& names) {
  return c.what.tenant < names.tenants.size() ? names.tenants[c.what.tenant] : "-";
}

double work_ms(const request& r) {
  return std::chrono::duration<double, std::milli>(r.expected_work).count();
}

void list(const pcap::captured& c, const vocabulary& names) {
  std::printf("%" PRIu64 " %" PRId64 ".%06d %s %s %s %s work_ms=%.2f held_kb=%.1f bytes=%zu %s\n", c.packet,
              c.unix_us / 1000000, static_cast<int>(c.unix_us % 1000000), name_of(c.from), c.caller.c_str(),
              names.classes[c.what.request_class].c_str(), tenant_name(c, names).c_str(), work_ms(c.what),
              c.what.reserved_kb, c.bytes.size(), c.what.label.empty() ? "-" : c.what.label.c_str());
}

struct totals {
  std::uint64_t requests = 0;
  double work_ms = 0;
  std::uint64_t bytes = 0;
};

// Writes what was selected, each caller's requests on a connection of its own.
class filtered {
 public:
  filtered(const std::string& path, const limits& bounds) : out_(path, bounds.record) {}
  void add(const pcap::captured& c) {
    const auto [at, added] = open_.try_emplace(c.caller + ">" + c.server);
    if (added) at->second = out_.open(pcap::to_address(c.caller), pcap::to_address(c.server), c.unix_us);
    out_.sent(at->second, c.bytes, c.unix_us);
    last_us_ = std::max(last_us_, c.unix_us);
    if (c.from != pcap::protocol::uwsgi) return;
    out_.close(at->second, c.unix_us);
    open_.erase(at);
  }
  void finish() {
    for (auto& [key, c] : open_) out_.close(c, last_us_);
    if (out_.full()) throw pcap::write_failed("the file has reached its bound");
  }

 private:
  pcap::writer out_;
  std::map<std::string, pcap::conversation> open_;
  std::int64_t last_us_ = 0;
};

int run(command c) {
  vocabulary names;
  if (c.config) {
    config all = read_config(read_file(c.config->c_str(), "--config"));
    names = vocabulary(all.settings);
    if (c.operators) apply_operator_file(all, *c.operators);
    if (all.uwsgi) c.read.mapping = *all.uwsgi;
  }
  if (c.read.mapping.request_class.var.empty()) {
    c.read.mapping.request_class.var = "PATH_INFO";
    c.read.mapping.tenant.var = "REMOTE_USER";
  }
  std::map<std::string, totals> sums;
  std::int64_t first_us = 0, last_us = 0;
  std::optional<filtered> out;
  if (c.what == "filter") out.emplace(c.out, c.read.bounds);
  const pcap::read_counts counts = pcap::read_capture(
      c.file, c.read, names,
      [&](const pcap::captured& found) {
        if (!selected(c.select, found, names)) return;
        if (c.what == "list") list(found, names);
        if (out) out->add(found);
        totals& t = sums[std::string(name_of(found.from)) + " " + names.classes[found.what.request_class] +
                         " " + tenant_name(found, names)];
        ++t.requests;
        t.work_ms += work_ms(found.what);
        t.bytes += found.bytes.size();
        if (first_us == 0) first_us = found.unix_us;
        last_us = found.unix_us;
      },
      [](const std::string& trouble) { std::fprintf(stderr, "%s\n", trouble.c_str()); });
  if (out) out->finish();
  if (c.what == "summary") {
    for (const auto& [key, t] : sums)
      std::printf("%s requests=%" PRIu64 " work_ms=%.1f bytes=%" PRIu64 "\n", key.c_str(), t.requests,
                  t.work_ms, t.bytes);
    std::printf("span_s=%.3f packets=%" PRIu64 " other=%" PRIu64 " repeated=%" PRIu64 " reordered=%" PRIu64
                " gaps=%" PRIu64 " malformed=%" PRIu64 " undecodable=%" PRIu64 "\n",
                static_cast<double>(last_us - first_us) / us_each_s, counts.packets, counts.other,
                counts.repeated, counts.reordered, counts.gaps, counts.malformed, counts.undecodable);
  }
  return counts.malformed + counts.undecodable > 0 ? skipped_some : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(read_arguments(argc, argv));
  } catch (const usage& e) {
    std::fprintf(
        stderr,
        "marblewharf_pcap: %s\n"
        "usage: marblewharf_pcap list|summary|filter FILE [--class NAME] [--tenant NAME]\n"
        "       [--protocol thrift|uwsgi] [--from UNIX_S] [--to UNIX_S] [--thrift-port N] [--uwsgi-port N]\n"
        "       [--config FILE [--settings FILE]] [--out FILE]\n",
        e.what());
    return usage_error;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "marblewharf_pcap: %s\n", e.what());
    return 1;
  }
}
