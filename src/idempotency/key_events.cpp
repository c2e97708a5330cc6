#include "idempotency/key_events.hpp"

#include "store/bytes.hpp"

namespace marblewharf::idempotency {
namespace {

// Offsets in an encoded event.
constexpr std::size_t type_at = 0;
constexpr std::size_t succeeded_at = 1;
constexpr std::size_t low_at = 2;
constexpr std::size_t high_at = 10;
constexpr std::size_t result_at = 18;

}  // namespace

std::string encode(const key_event& event) {
  std::string out;
  store::put(out, static_cast<std::uint8_t>(event.type));
  store::put(out, static_cast<std::uint8_t>(event.succeeded));
  store::put(out, event.key.low);
  store::put(out, event.key.high);
  out += event.result;
  return out;
}

std::optional<key_event> decode_key_event(std::string_view body) {
  if (body.size() < result_at) return std::nullopt;
  const auto type = store::get<std::uint8_t>(body, type_at);
  if (type < static_cast<std::uint8_t>(key_event_type::intent) ||
      type > static_cast<std::uint8_t>(key_event_type::outcome_unknown))
    return std::nullopt;
  const key_id key{store::get<std::uint64_t>(body, low_at), store::get<std::uint64_t>(body, high_at)};
  const bool succeeded = store::get<std::uint8_t>(body, succeeded_at) != 0;
  return key_event{static_cast<key_event_type>(type), key, succeeded, body.substr(result_at)};
}

}  // namespace marblewharf::idempotency
