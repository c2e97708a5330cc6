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
  arrival = 16,
  instance_opened = 17,
  client_cancelled = 18,
  call_needed = 19,
  shutdown_notice = 20,
  call_ended = 21,
  timer_fired = 22,
  instance_crashed = 23,
  completion = 24,
};

enum class action_code : std::uint8_t {
  reject = 16,
  set_timer = 17,
  close_idle = 18,
  retain_key = 19,
  instance_fault = 20,
  start = 21,
  advertise = 22,
  skip_call = 23,
  set_health = 24,
  log_line = 25,
  place_call = 26,
  forget_key = 27,
  stop_run = 28,
  fail = 29,
  share_result = 30,
};

// Flags of an arrival record.
constexpr std::uint8_t retry_flag = 2;
constexpr std::uint8_t expected_work_flag = 1;
constexpr std::uint8_t write_flag = 4;
constexpr std::uint16_t last_outcome = 7;  // largest valid value of an outcome

// Reads little-endian fields in sequence. Throws bad_frame on a read past the end.
class field_reader {
 public:
  // `offset`: position of `bytes` in the batch; `context`: names the record in error texts.
  field_reader(std::string_view bytes, std::size_t offset, std::string context)
      : bytes_(bytes), offset_(offset), context_(std::move(context)) {}

  template <typename T>
  T read() {
    using raw = std::conditional_t<
        sizeof(T) == 8, std::uint64_t,
        std::conditional_t<sizeof(T) == 4, std::uint32_t,
                           std::conditional_t<sizeof(T) == 2, std::uint16_t, std::uint8_t>>>;
    const auto value = marblewharf::bytes::from_little_endian<raw>(read_bytes(sizeof(T)));
    return std::bit_cast<T>(value);
  }

  std::string_view read_bytes(std::size_t count) {
    const std::optional<std::string_view> field = bytes_.take(count);
    if (!field) {
      throw bad_frame(context_ + " at byte " + std::to_string(offset_) + ": the field at offset " +
                      std::to_string(bytes_.position()) + " in it needs " + std::to_string(count) +
                      " bytes, but only " + std::to_string(bytes_.left()) + " are left");
    }
    return *field;
  }

  // Larger values are clamped, so that sums of times cannot overflow.
  duration read_duration() {
    const auto raw = read<std::uint64_t>();
    constexpr auto max_duration = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);
    return duration{static_cast<std::int64_t>(std::min(raw, max_duration))};
  }

  outcome read_outcome() {
    const auto raw = read<std::uint16_t>();
    if (raw > last_outcome) fail("unknown outcome " + std::to_string(raw));
    return static_cast<outcome>(raw);
  }

  double read_number() {
    const double value = static_cast<double>(read<float>());
    if (!std::isfinite(value)) fail("number is not finite");
    return value;
  }

  void add_context(const std::string& details) { context_ += details; }
  [[noreturn]] void fail(const std::string& reason) const {
    throw bad_frame(context_ + " at byte " + std::to_string(offset_) + ": " + reason);
  }
  bool at_end() const { return bytes_.at_end(); }
  std::size_t position() const { return bytes_.position(); }

 private:
  marblewharf::bytes::byte_reader bytes_;
  std::size_t offset_;
  std::string context_;
};

event read_arrival(field_reader& in) {
  arrival decoded;
  decoded.id = in.read<std::uint32_t>();
  decoded.duplicate_of = in.read<std::uint32_t>();
  decoded.key = in.read<std::uint64_t>();
  decoded.reserved_kb = in.read_number();
  decoded.client_timeout = in.read_duration();
  decoded.expected_work = in.read_duration();
  decoded.read_delay = in.read_duration();
  decoded.tenant = in.read<std::uint16_t>();
  const auto flags = in.read<std::uint8_t>();
  decoded.request_class = in.read<std::uint16_t>();
  decoded.rank = in.read_number();
  decoded.caller = in.read<std::uint16_t>();
  if ((flags & expected_work_flag) == 0) decoded.expected_work = duration{};
  decoded.retry = (flags & retry_flag) != 0;
  decoded.write = (flags & write_flag) != 0;
  return decoded;
}

instance_opened read_instance_opened(field_reader& in) {
  instance_opened decoded;
  decoded.seed = in.read<std::uint64_t>();
  decoded.environment = in.read_bytes(in.read<std::uint32_t>());
  return decoded;
}

event read_call_ended(field_reader& in) {
  call_ended decoded;
  decoded.id = in.read<std::uint32_t>();
  decoded.elapsed = in.read_duration();
  decoded.result = in.read_outcome();
  return decoded;
}

event read_timer_fired(field_reader& in) {
  timer_fired decoded;
  in.read<std::uint64_t>();  // name of the timer, unused: the policy sets only one kind of timer
  const auto count = in.read<std::uint8_t>();
  for (unsigned i = 0; i < count; ++i) decoded.gauges.push_back(in.read_number());
  return decoded;
}

event read_completion(field_reader& in) {
  completion decoded;
  decoded.id = in.read<std::uint32_t>();
  decoded.result = in.read_outcome();
  decoded.elapsed = in.read_duration();
  return decoded;
}

record read_record(std::uint8_t code, field_reader& in) {
  record decoded;
  decoded.instance = in.read<std::uint16_t>();
  in.add_context(" for instance " + std::to_string(decoded.instance));
  switch (static_cast<event_code>(code)) {
    case event_code::arrival: decoded.content = read_arrival(in); break;
    case event_code::instance_opened: decoded.content = read_instance_opened(in); break;
    case event_code::client_cancelled:
      decoded.content = event{client_cancelled{in.read<std::uint32_t>()}};
      break;
    case event_code::call_needed: decoded.content = event{call_needed{in.read<std::uint32_t>()}}; break;
    case event_code::shutdown_notice: decoded.content = event{shutdown_notice{in.read_duration()}}; break;
    case event_code::call_ended: decoded.content = read_call_ended(in); break;
    case event_code::timer_fired: decoded.content = read_timer_fired(in); break;
    case event_code::instance_crashed: decoded.content = instance_crashed{}; break;
    case event_code::completion: decoded.content = read_completion(in); break;
    default: decoded.content = unknown_record{code};
  }
  return decoded;
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

// Nanoseconds on the wire; a negative duration is written as 0.
std::uint64_t raw_time(duration written) {
  return written.count() < 0 ? 0 : static_cast<std::uint64_t>(written.count());
}

// Appends one action record to `out`, with one overload of `write` per type of action.
struct action_writer {
  std::string& out;

  // `size`: bytes of the fields that follow the instance.
  void begin(action_code code, instance_id instance, std::uint32_t size) {
    out.push_back(static_cast<char>(code));
    put<std::uint32_t>(out, size + 2);
    put<std::uint16_t>(out, instance);
  }
  // Begins a record that refers to a request. `extra_size`: bytes of the fields that follow the id.
  void begin_for_request(action_code code, instance_id instance, request_id id,
                         std::uint32_t extra_size = 0) {
    begin(code, instance, 4 + extra_size);
    put<std::uint32_t>(out, id);
  }
  // Texts longer than 65535 bytes are truncated.
  void write_text(action_code code, instance_id instance, std::string_view body) {
    body = body.substr(0, std::numeric_limits<std::uint16_t>::max());
    begin(code, instance, static_cast<std::uint32_t>(2 + body.size()));
    put<std::uint16_t>(out, static_cast<std::uint16_t>(body.size()));
    out.append(body);
  }

  void write(instance_id instance, const start& written) {
    begin_for_request(action_code::start, instance, written.id);
  }
  void write(instance_id instance, const stop_run& written) {
    begin_for_request(action_code::stop_run, instance, written.id);
  }
  void write(instance_id instance, const reject& written) {
    begin_for_request(action_code::reject, instance, written.id, 9);
    put<std::uint64_t>(out, raw_time(written.retry_after));
    put<std::uint8_t>(out, written.no_retry_elsewhere ? 1 : 0);
  }
  void write(instance_id instance, const admission_policy::fail& written) {
    begin_for_request(action_code::fail, instance, written.id);
  }
  void write(instance_id instance, const place_call& written) {
    begin_for_request(action_code::place_call, instance, written.id, 8);
    put<std::uint64_t>(out, raw_time(written.limit));
  }
  void write(instance_id instance, const skip_call& written) {
    begin_for_request(action_code::skip_call, instance, written.id);
  }
  void write(instance_id instance, const retain_key& written) {
    begin_for_request(action_code::retain_key, instance, written.id, 8);
    put<std::uint64_t>(out, raw_time(written.ttl));
  }
  void write(instance_id instance, const forget_key& written) {
    begin_for_request(action_code::forget_key, instance, written.id);
  }
  void write(instance_id instance, const share_result& written) {
    begin_for_request(action_code::share_result, instance, written.id);
  }
  void write(instance_id instance, const set_health& written) {
    begin(action_code::set_health, instance, 2);
    put<std::uint8_t>(out, written.good ? 1 : 0);
    put<std::uint8_t>(out, written.from_store ? 1 : 0);
  }
  void write(instance_id instance, const advertise& written) {
    begin(action_code::advertise, instance, 4);
    put<float>(out, static_cast<float>(written.value));
  }
  void write(instance_id instance, const close_idle& written) {
    begin(action_code::close_idle, instance, 8);
    put<std::uint64_t>(out, raw_time(written.after));
  }
  void write(instance_id instance, const set_timer& written) {
    begin(action_code::set_timer, instance, 16);
    put<std::uint64_t>(out, 0);
    put<std::uint64_t>(out, raw_time(written.after));
  }
  void write(instance_id instance, const log_line& written) {
    write_text(action_code::log_line, instance, written.text);
  }
};

}  // namespace

batch_header decode_header(std::string_view bytes) {
  field_reader in(bytes, 0, "batch header");
  batch_header header;
  header.size = in.read<std::uint32_t>();
  header.now = in.read_duration();
  return header;
}

std::vector<record> decode_batch(std::string_view body) {
  std::vector<record> records;
  field_reader in(body, batch_header_size, "batch");
  while (!in.at_end()) {
    const std::size_t offset = batch_header_size + in.position();
    const auto code = in.read<std::uint8_t>();
    const auto size = in.read<std::uint32_t>();
    field_reader fields(in.read_bytes(size), offset, "record " + std::to_string(code));
    records.push_back(read_record(code, fields));
  }
  return records;
}

void encode(std::string& reply, instance_id instance, const action& encoded) {
  std::visit([&](const auto& written) { action_writer{reply}.write(instance, written); }, encoded);
}

void encode_fault(std::string& reply, instance_id instance, std::string_view text) {
  action_writer{reply}.write_text(action_code::instance_fault, instance, text);
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
