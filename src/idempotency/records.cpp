#include "idempotency/records.hpp"

#include <xxhash.h>

#include <cstring>

namespace marblewharf::idempotency {
namespace {

using text_size = std::uint16_t;

constexpr std::size_t fixed_size = 48;  // bytes before the texts of an intent, or before the result
constexpr std::size_t texts_per_intent = 4;

template <typename T>
void append_value(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <typename T>
T take_value(std::string_view& bytes) {
  T value{};
  std::memcpy(&value, bytes.data(), sizeof value);
  bytes.remove_prefix(sizeof value);
  return value;
}

void append_text(std::string& out, std::string_view text) {
  append_value(out, static_cast<text_size>(text.size()));
  out += text;
}

std::optional<std::string_view> take_text(std::string_view& bytes) {
  if (bytes.size() < sizeof(text_size)) return std::nullopt;
  const auto size = take_value<text_size>(bytes);
  if (size > bytes.size()) return std::nullopt;
  const std::string_view text = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return text;
}

bool is_record_type(std::uint32_t type) {
  return type >= static_cast<std::uint32_t>(record_type::intent) &&
         type <= static_cast<std::uint32_t>(record_type::release);
}

}  // namespace

store::record encode(const key_record& written) {
  store::record encoded;
  encoded.type = static_cast<std::uint32_t>(written.type);
  append_value(encoded.body, written.key.low);
  append_value(encoded.body, written.key.high);
  append_value(encoded.body, written.fingerprint);
  append_value(encoded.body, written.expiry);
  append_value(encoded.body, written.written_at);
  append_value(encoded.body, std::uint64_t{written.succeeded});
  if (written.type == record_type::intent) {
    append_text(encoded.body, written.tenant);
    append_text(encoded.body, written.request_class);
    append_text(encoded.body, written.client_key);
    if (!written.server.empty()) append_text(encoded.body, written.server);
  }
  if (written.type == record_type::result) encoded.body += written.result;
  return encoded;
}

std::optional<key_record> decode(std::uint32_t type, std::string_view body) {
  if (!is_record_type(type) || body.size() < fixed_size) return std::nullopt;
  key_record read;
  read.type = static_cast<record_type>(type);
  read.key.low = take_value<std::uint64_t>(body);
  read.key.high = take_value<std::uint64_t>(body);
  read.fingerprint = take_value<std::uint64_t>(body);
  read.expiry = take_value<aging_time>(body);
  read.written_at = take_value<aging_time>(body);
  read.succeeded = take_value<std::uint64_t>(body) != 0;
  if (read.type == record_type::intent) {
    const auto tenant = take_text(body);
    const auto request_class = tenant ? take_text(body) : std::nullopt;
    const auto client_key = request_class ? take_text(body) : std::nullopt;
    if (!client_key) return std::nullopt;
    const auto server = body.empty() ? std::string_view() : take_text(body);
    if (!server || !body.empty()) return std::nullopt;
    read.tenant = *tenant;
    read.request_class = *request_class;
    read.client_key = *client_key;
    read.server = *server;
  }
  if (read.type == record_type::result) read.result = body;
  return read;
}

key_id key_id_of(std::string_view tenant, std::string_view request_class, std::string_view client_key,
                 std::uint64_t salt) {
  std::string scoped;
  append_text(scoped, tenant);
  append_text(scoped, request_class);
  append_text(scoped, client_key);
  const XXH128_hash_t hash = XXH3_128bits_withSeed(scoped.data(), scoped.size(), salt);
  return {hash.low64, hash.high64};
}

std::uint64_t max_intent_bytes(const intent_text_bytes& longest) {
  return store::max_bytes_on_disk(fixed_size + texts_per_intent * sizeof(text_size) + longest.key +
                                  longest.tenant + longest.request_class + longest.server);
}

std::uint64_t max_result_bytes(std::size_t largest_result) {
  return store::max_bytes_on_disk(fixed_size + largest_result);
}

}  // namespace marblewharf::idempotency
