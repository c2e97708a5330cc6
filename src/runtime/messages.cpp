#include "runtime/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "json/json.hpp"

namespace marblewharf::runtime {
namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

const json::value& member(const json::value& in, const char* name, json::kind what) {
  const json::value* found = in.find(name);
  if (found == nullptr || found->what != what)
    throw bad_line(std::string("the field ") + name + " is missing or of another type");
  return *found;
}

std::string text(const json::value& in, const char* name) {
  return member(in, name, json::kind::string).text;
}

double to_number(const json::value& v) {
  double parsed = 0;
  if (std::from_chars(v.text.data(), v.text.data() + v.text.size(), parsed).ec != std::errc{})
    throw bad_line("a number out of range");
  return parsed;
}

std::uint64_t serial(const json::value& in) {
  const std::string& digits = member(in, "serial", json::kind::number).text;
  std::uint64_t parsed = 0;
  const char* last = digits.data() + digits.size();
  if (std::from_chars(digits.data(), last, parsed).ptr != last)
    throw bad_line("the field serial is no count");
  return parsed;
}

duration elapsed(const json::value& in) {
  const double ms = to_number(member(in, "duration", json::kind::number));
  if (!(ms >= 0 && ms < 1e12)) throw bad_line("the field duration is out of range");
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

run_end how_of(const std::string& word) {
  if (word == "fine") return run_end::succeeded;
  if (word == "fault") return run_end::failed;
  if (word == "broken_off") return run_end::aborted;
  if (word == "late") return run_end::never_started;
  throw bad_line("an end that is not known: " + word);
}

std::string command(std::string_view msg, std::string_view call) {
  return "{\"msg\":\"" + std::string(msg) + "\",\"call\":" + json::quote(call) + "}\n";
}

}  // namespace

std::optional<notice> decode(std::string_view line) {
  json::value all;
  try {
    all = json::parse(line);
  } catch (const json::bad_json& e) {
    throw bad_line(e.what());
  }
  const std::string msg = text(all, "msg");
  if (msg == "ready") return ready{text(all, "how") == "starting", elapsed(all)};
  if (msg == "end") {
    end e{serial(all), text(all, "call"), how_of(text(all, "how")), elapsed(all), {}};
    if (const json::value* blob = all.find("blob"); blob != nullptr && blob->what == json::kind::string)
      e.result = from_base64(blob->text);
    return e;
  }
  if (msg == "load") {
    load l{text(all, "cookie"), {}};
    for (const json::value& v : member(all, "stats", json::kind::array).items)
      l.stats.push_back(to_number(v));
    return l;
  }
  if (msg == "nack") {
    const json::value* call = all.find("call");
    return nack{text(all, "how"), call != nullptr ? call->text : std::string()};
  }
  if (msg == "info") return info{serial(all), text(all, "how")};
  return std::nullopt;
}

std::string encode_sync(std::uint64_t serial) {
  return "{\"msg\":\"sync\",\"serial\":" + std::to_string(serial) + "}\n";
}

std::string encode_start(std::string_view call, std::string_view service, std::string_view body) {
  return "{\"msg\":\"start\",\"call\":" + json::quote(call) + ",\"service\":" + json::quote(service) +
         ",\"blob\":\"" + to_base64(body) + "\"}\n";
}

std::string encode_stop(std::string_view call) {
  return command("stop", call);
}

std::string encode_cont(std::string_view call) {
  return command("cont", call);
}

std::string encode_gauges(std::string_view cookie) {
  return "{\"msg\":\"gauges\",\"cookie\":" + json::quote(cookie) + "}\n";
}

std::string to_base64(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t have = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 | (j < have ? static_cast<std::uint8_t>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(j <= have ? alphabet[group >> (18 - 6 * j) & 0x3f] : '=');
  }
  return out;
}

std::string from_base64(std::string_view text) {
  static const std::array<int, 256> digits = [] {
    std::array<int, 256> table;
    table.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
      table[static_cast<std::uint8_t>(alphabet[i])] = static_cast<int>(i);
    return table;
  }();
  if (text.size() % 4 != 0) throw bad_line("base64 of a broken length");
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  std::string out;
  out.reserve(text.size() / 4 * 3);
  std::uint32_t group = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool pad = i >= text.size() - padding;
    const int digit = pad ? 0 : digits[static_cast<std::uint8_t>(text[i])];
    if (digit < 0) throw bad_line("no base64 at character " + std::to_string(i));
    group = group << 6 | static_cast<std::uint32_t>(digit);
    if (i % 4 != 3) continue;
    for (int shift = 16; shift >= 0; shift -= 8) out.push_back(static_cast<char>(group >> shift & 0xff));
    group = 0;
  }
  out.resize(out.size() - padding);
  return out;
}

}  // namespace marblewharf::runtime
