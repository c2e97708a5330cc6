#include "wire.hpp"

#include <bit>
#include <cmath>
#include <cstring>
#include <limits>
#include <optional>

#include "../bytes/byte_reader.hpp"
#include "../policy_settings/settings_reader.hpp"

namespace admission_policy::wire {
namespace {

enum class event_code : std::uint8_t {
  call = 16,
  open_instance = 17,
  hangup = 18,
  blocked = 19,
  notice = 20,
  returned = 21,
  alarm = 22,
  crash_now = 23,
  result = 24,
};

enum class action_code : std::uint8_t {
  refuse = 16,
  notify_me = 17,
  idle_limit = 18,
  retain = 19,
  fault = 20,
  start = 21,
  say = 22,
  fall_back = 23,
  status = 24,
  debug = 25,
  go_call = 26,
  erase = 27,
  interrupt = 28,
  give_up = 29,
  share = 30,
};

constexpr std::uint8_t retry_flag = 2;
constexpr std::uint8_t hint_flag = 1;
constexpr std::uint8_t write_flag = 4;
constexpr std::uint16_t last_outcome = 7;

// Reads little-endian fields in sequence and never past its end.
class reader {
 public:
  reader(std::string_view bytes, std::size_t offset, std::string what)
      : bytes_(bytes), offset_(offset), what_(std::move(what)) {}

  template <typename T>
  T take() {
    using raw = std::conditional_t<
        sizeof(T) == 8, std::uint64_t,
        std::conditional_t<sizeof(T) == 4, std::uint32_t,
                           std::conditional_t<sizeof(T) == 2, std::uint16_t, std::uint8_t>>>;
    const auto value = marblewharf::bytes::from_little_endian<raw>(take_bytes(sizeof(T)));
    return std::bit_cast<T>(value);
  }

  std::string_view take_bytes(std::size_t count) {
    const std::optional<std::string_view> taken = bytes_.take(count);
    if (!taken) {
      throw bad_frame(what_ + " at byte " + std::to_string(offset_) + ": " + std::to_string(count) +
                      " bytes wanted at position " + std::to_string(bytes_.position()) + ", " +
                      std::to_string(bytes_.left()) + " left");
    }
    return *taken;
  }

  duration take_duration() {
    const auto raw = take<std::uint64_t>();
    constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);
    return duration{static_cast<std::int64_t>(std::min(raw, most))};
  }

  outcome take_outcome() {
    const auto raw = take<std::uint16_t>();
    if (raw > last_outcome) fail("unknown outcome " + std::to_string(raw));
    return static_cast<outcome>(raw);
  }

  double take_number() {
    const double value = static_cast<double>(take<float>());
    if (!std::isfinite(value)) fail("a number that is not finite");
    return value;
  }

  void name(const std::string& more) { what_ += more; }
  [[noreturn]] void fail(const std::string& why) const {
    throw bad_frame(what_ + " at byte " + std::to_string(offset_) + ": " + why);
  }
  bool at_end() const { return bytes_.at_end(); }
  std::size_t position() const { return bytes_.position(); }

 private:
  marblewharf::bytes::byte_reader bytes_;
  std::size_t offset_;
  std::string what_;
};

event read_arrival(reader& in) {
  arrival read;
  read.id = in.take<std::uint32_t>();
  read.duplicate_of = in.take<std::uint32_t>();
  read.key = in.take<std::uint64_t>();
  read.reserved_kb = in.take_number();
  read.client_timeout = in.take_duration();
  read.expected_work = in.take_duration();
  read.read_delay = in.take_duration();
  read.tenant = in.take<std::uint16_t>();
  const auto flags = in.take<std::uint8_t>();
  read.request_class = in.take<std::uint16_t>();
  read.rank = in.take_number();
  read.caller = in.take<std::uint16_t>();
  if ((flags & hint_flag) == 0) read.expected_work = duration{};
  read.retry = (flags & retry_flag) != 0;
  read.write = (flags & write_flag) != 0;
  return read;
}

opened read_opened(reader& in) {
  opened read;
  read.seed = in.take<std::uint64_t>();
  read.environment = in.take_bytes(in.take<std::uint32_t>());
  return read;
}

event read_call_ended(reader& in) {
  call_ended read;
  read.id = in.take<std::uint32_t>();
  read.elapsed = in.take_duration();
  read.result = in.take_outcome();
  return read;
}

event read_timer_fired(reader& in) {
  timer_fired read;
  in.take<std::uint64_t>();  // its name: the policy sets only one kind of timer
  const auto count = in.take<std::uint8_t>();
  for (unsigned i = 0; i < count; ++i) read.gauges.push_back(in.take_number());
  return read;
}

event read_completion(reader& in) {
  completion read;
  read.id = in.take<std::uint32_t>();
  read.result = in.take_outcome();
  read.elapsed = in.take_duration();
  return read;
}

record read_record(std::uint8_t code, reader& in) {
  record read;
  read.instance = in.take<std::uint16_t>();
  in.name(" for instance " + std::to_string(read.instance));
  switch (static_cast<event_code>(code)) {
    case event_code::call: read.content = read_arrival(in); break;
    case event_code::open_instance: read.content = read_opened(in); break;
    case event_code::hangup: read.content = event{client_cancelled{in.take<std::uint32_t>()}}; break;
    case event_code::blocked: read.content = event{call_needed{in.take<std::uint32_t>()}}; break;
    case event_code::notice: read.content = event{shutdown_notice{in.take_duration()}}; break;
    case event_code::returned: read.content = read_call_ended(in); break;
    case event_code::alarm: read.content = read_timer_fired(in); break;
    case event_code::crash_now: read.content = crashed{}; break;
    case event_code::result: read.content = read_completion(in); break;
    default: read.content = unknown{code};
  }
  return read;
}

template <typename T>
void put(std::string& out, T value) {
  using raw = std::conditional_t<sizeof(T) == 8, std::uint64_t, std::uint32_t>;
  raw bits;
  if constexpr (std::is_floating_point_v<T>) {
    bits = std::bit_cast<raw>(value);
  } else {
    bits = static_cast<raw>(value);
  }
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>((bits >> (8 * i)) & 0xff));
}

std::uint64_t raw_time(duration d) {
  return d.count() < 0 ? 0 : static_cast<std::uint64_t>(d.count());
}

// Writes the fields of one action; `code` is set by the overload that knows it.
struct action_writer {
  std::string& out;

  void begin(action_code code, instance_id instance, std::uint32_t size) {
    out.push_back(static_cast<char>(code));
    put<std::uint32_t>(out, size + 2);
    put<std::uint16_t>(out, instance);
  }
  void about(action_code code, instance_id instance, request_id id, std::uint32_t more = 0) {
    begin(code, instance, 4 + more);
    put<std::uint32_t>(out, id);
  }
  void text(action_code code, instance_id instance, std::string_view body) {
    body = body.substr(0, std::numeric_limits<std::uint16_t>::max());
    begin(code, instance, static_cast<std::uint32_t>(2 + body.size()));
    put<std::uint16_t>(out, static_cast<std::uint16_t>(body.size()));
    out.append(body);
  }

  void write(instance_id instance, const start& written) { about(action_code::start, instance, written.id); }
  void write(instance_id instance, const stop_run& written) {
    about(action_code::interrupt, instance, written.id);
  }
  void write(instance_id instance, const reject& written) {
    about(action_code::refuse, instance, written.id, 9);
    put<std::uint64_t>(out, raw_time(written.retry_after));
    put<std::uint8_t>(out, written.no_retry_elsewhere ? 1 : 0);
  }
  void write(instance_id instance, const admission_policy::fail& written) {
    about(action_code::give_up, instance, written.id);
  }
  void write(instance_id instance, const place_call& written) {
    about(action_code::go_call, instance, written.id, 8);
    put<std::uint64_t>(out, raw_time(written.limit));
  }
  void write(instance_id instance, const skip_call& written) {
    about(action_code::fall_back, instance, written.id);
  }
  void write(instance_id instance, const retain_key& written) {
    about(action_code::retain, instance, written.id, 8);
    put<std::uint64_t>(out, raw_time(written.ttl));
  }
  void write(instance_id instance, const forget_key& written) {
    about(action_code::erase, instance, written.id);
  }
  void write(instance_id instance, const share_result& written) {
    about(action_code::share, instance, written.id);
  }
  void write(instance_id instance, const set_health& written) {
    begin(action_code::status, instance, 2);
    put<std::uint8_t>(out, written.good ? 1 : 0);
    put<std::uint8_t>(out, written.from_store ? 1 : 0);
  }
  void write(instance_id instance, const advertise& written) {
    begin(action_code::say, instance, 4);
    put<float>(out, static_cast<float>(written.value));
  }
  void write(instance_id instance, const close_idle& written) {
    begin(action_code::idle_limit, instance, 8);
    put<std::uint64_t>(out, raw_time(written.after));
  }
  void write(instance_id instance, const set_timer& written) {
    begin(action_code::notify_me, instance, 16);
    put<std::uint64_t>(out, 0);
    put<std::uint64_t>(out, raw_time(written.after));
  }
  void write(instance_id instance, const log_line& written) {
    text(action_code::debug, instance, written.text);
  }
};

}  // namespace

batch_header decode_header(std::string_view bytes) {
  reader in(bytes, 0, "batch header");
  batch_header header;
  header.size = in.take<std::uint32_t>();
  header.now = in.take_duration();
  return header;
}

std::vector<record> decode_batch(std::string_view body) {
  std::vector<record> records;
  reader in(body, batch_header_size, "batch");
  while (!in.at_end()) {
    const std::size_t offset = batch_header_size + in.position();
    const auto code = in.take<std::uint8_t>();
    const auto size = in.take<std::uint32_t>();
    reader fields(in.take_bytes(size), offset, "record " + std::to_string(code));
    records.push_back(read_record(code, fields));
  }
  return records;
}

void encode(std::string& reply, instance_id instance, const action& what) {
  std::visit([&](const auto& written) { action_writer{reply}.write(instance, written); }, what);
}

void encode_fault(std::string& reply, instance_id instance, std::string_view text) {
  action_writer{reply}.text(action_code::fault, instance, text);
}

std::string reply_header(std::size_t body_size) {
  std::string header;
  put<std::uint32_t>(header, static_cast<std::uint32_t>(body_size));
  return header;
}

settings parse_settings(std::string_view environment) {
  setting_paths paths;
  while (!environment.empty()) {
    const std::size_t end = std::min(environment.find('\n'), environment.size());
    const std::string_view line = environment.substr(0, end);
    environment.remove_prefix(std::min(end + 1, environment.size()));
    const std::size_t equals = line.find('=');
    if (equals != std::string_view::npos) paths.emplace(line.substr(0, equals), line.substr(equals + 1));
  }
  return settings_from(paths);
}

}  // namespace admission_policy::wire
