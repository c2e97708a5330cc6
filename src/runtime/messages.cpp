#include "runtime/messages.hpp"

#include <charconv>
#include <chrono>

#include "json/json.hpp"
#include "runtime/base64.hpp"

namespace marblewharf::runtime {
namespace {

constexpr double max_elapsed_ms = 1e12;

const json::value& member(const json::value& message, const char* name, json::kind kind) {
  const json::value* found = message.find(name);
  if (found == nullptr || found->type != kind)
    throw bad_line(std::string("the field ") + name + " is missing or has the wrong type");
  return *found;
}

std::string text(const json::value& message, const char* name) {
  return member(message, name, json::kind::string).text;
}

double to_number(const json::value& number) {
  double parsed = 0;
  const char* end = number.text.data() + number.text.size();
  if (std::from_chars(number.text.data(), end, parsed).ec != std::errc{})
    throw bad_line("a number is out of range");
  return parsed;
}

std::uint64_t serial(const json::value& message) {
  const std::string& digits = member(message, "serial", json::kind::number).text;
  std::uint64_t parsed = 0;
  const char* end = digits.data() + digits.size();
  if (std::from_chars(digits.data(), end, parsed).ptr != end)
    throw bad_line("the field serial is not an unsigned integer");
  return parsed;
}

duration elapsed(const json::value& message) {
  const double ms = to_number(member(message, "duration", json::kind::number));
  if (!(ms >= 0 && ms < max_elapsed_ms)) throw bad_line("the field duration is out of range");
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

outcome::event reported_event(const std::string& value) {
  if (value == "fine") return outcome::event::run_succeeded;
  if (value == "fault") return outcome::event::run_failed;
  if (value == "broken_off") return outcome::event::run_aborted;
  if (value == "late") return outcome::event::not_run;
  throw bad_line("the field how has an unknown value: " + value);
}

std::string decode_blob(const std::string& blob) {
  try {
    return from_base64(blob);
  } catch (const bad_base64& error) {
    throw bad_line(error.what());
  }
}

end_notice decode_end(const json::value& message) {
  end_notice decoded{
      serial(message), text(message, "call"), reported_event(text(message, "how")), elapsed(message), {}};
  const json::value* blob = message.find("blob");
  if (blob != nullptr && blob->type == json::kind::string) decoded.result = decode_blob(blob->text);
  return decoded;
}

gauges_notice decode_gauges(const json::value& message) {
  gauges_notice decoded{text(message, "cookie"), {}};
  for (const json::value& gauge : member(message, "stats", json::kind::array).items)
    decoded.gauges.push_back(to_number(gauge));
  return decoded;
}

nack_notice decode_nack(const json::value& message) {
  const json::value* label = message.find("call");
  return {text(message, "how"), label != nullptr ? label->text : std::string()};
}

json::value parse(std::string_view line) {
  try {
    return json::parse(line);
  } catch (const json::bad_json& error) {
    throw bad_line(error.what());
  }
}

std::string encode_about_run(std::string_view name, std::string_view label) {
  return "{\"msg\":\"" + std::string(name) + "\",\"call\":" + json::quote(label) + "}\n";
}

std::string encode_command(const sync_command& sync) {
  return "{\"msg\":\"sync\",\"serial\":" + std::to_string(sync.last_serial) + "}\n";
}

std::string encode_command(const start_command& start) {
  return "{\"msg\":\"" + std::string(start_command_name) + "\",\"call\":" + json::quote(start.label) +
         ",\"service\":" + json::quote(start.service) + ",\"blob\":\"" + to_base64(start.body) + "\"}\n";
}

std::string encode_command(const stop_command& stop) {
  return encode_about_run("stop", stop.label);
}

std::string encode_command(const continue_command& resumed) {
  return encode_about_run("cont", resumed.label);
}

std::string encode_command(const gauges_command& gauges) {
  return "{\"msg\":\"gauges\",\"cookie\":" + json::quote(gauges.cookie) + "}\n";
}

}  // namespace

std::optional<any_notice> decode(std::string_view line) {
  const json::value message = parse(line);
  const std::string kind = text(message, "msg");
  if (kind == "ready") return ready_notice{text(message, "how") == "starting", elapsed(message)};
  if (kind == "end") return decode_end(message);
  if (kind == "load") return decode_gauges(message);
  if (kind == "nack") return decode_nack(message);
  if (kind == "info") return info_notice{serial(message), text(message, "how")};
  return std::nullopt;
}

std::string encode(const any_command& command) {
  return std::visit([](const auto& typed_command) { return encode_command(typed_command); }, command);
}

}  // namespace marblewharf::runtime
