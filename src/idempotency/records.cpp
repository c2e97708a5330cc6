#include "idempotency/records.hpp"

#include <xxhash.h>

#include <cstring>

namespace marblewharf::idempotency {
namespace {

constexpr std::size_t fixed_size = 48;

template <typename T>
void put(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
T take(std::string_view& bytes) {
  T value{};
  std::memcpy(&value, bytes.data(), sizeof value);
  bytes.remove_prefix(sizeof value);
  return value;
}

void put_text(std::string& out, std::string_view text) {
  put(out, static_cast<std::uint16_t>(text.size()));
  out += text;
}
bool take_text(std::string_view& bytes, std::string_view& text) {
  if (bytes.size() < 2) return false;
  const auto size = take<std::uint16_t>(bytes);
  if (size > bytes.size()) return false;
  text = bytes.substr(0, size);
  bytes.remove_prefix(size);
  return true;
}

}  // namespace

store::record encode(const kept& k) {
  store::record r;
  r.type = static_cast<std::uint32_t>(k.what);
  put(r.body, k.key.low);
  put(r.body, k.key.high);
  put(r.body, k.content);
  put(r.body, k.expiry);
  put(r.body, k.at);
  put(r.body, std::uint64_t{k.served});
  if (k.what == record_type::intent) {
    put_text(r.body, k.tenant);
    put_text(r.body, k.request_class);
    put_text(r.body, k.name);
  }
  if (k.what == record_type::result) r.body += k.bytes;
  return r;
}

std::optional<kept> decode(std::uint32_t type, std::string_view body) {
  if (type < 1 || type > 3 || body.size() < fixed_size) return std::nullopt;
  kept k;
  k.what = static_cast<record_type>(type);
  k.key.low = take<std::uint64_t>(body);
  k.key.high = take<std::uint64_t>(body);
  k.content = take<std::uint64_t>(body);
  k.expiry = take<moment>(body);
  k.at = take<moment>(body);
  k.served = take<std::uint64_t>(body) != 0;
  if (k.what == record_type::intent &&
      !(take_text(body, k.tenant) && take_text(body, k.request_class) && take_text(body, k.name)))
    return std::nullopt;
  if (k.what == record_type::result) k.bytes = body;
  return k;
}

key_id hash_of(std::string_view tenant, std::string_view request_class, std::string_view name,
               std::uint64_t salt) {
  std::string scoped;
  put_text(scoped, tenant);
  put_text(scoped, request_class);
  put_text(scoped, name);
  const XXH128_hash_t h = XXH3_128bits_withSeed(scoped.data(), scoped.size(), salt);
  return {h.low64, h.high64};
}

std::uint64_t intent_room(std::size_t longest_key, std::size_t longest_tenant, std::size_t longest_class) {
  return store::room_for(fixed_size + 6 + longest_key + longest_tenant + longest_class);
}

std::uint64_t result_room(std::size_t largest_result) {
  return store::room_for(fixed_size + largest_result);
}

}  // namespace marblewharf::idempotency
