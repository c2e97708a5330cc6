// Identifies what a request asks for, and for whom. Responses that are kept by content are kept under this
// key, so that one tenant never gets what was meant for another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace marblewharf {

class content_key {
 public:
  // `tenant`: the name of the tenant that asks. `content`: a fingerprint of the request's content, or the id
  // of the object that it asks for.
  content_key(std::string_view tenant, std::uint64_t content) : tenant_(tenant), content_(content) {}

  // The key under which all tenants share what is kept for this content.
  content_key for_all_tenants() const {
    content_key shared = *this;
    shared.tenant_.reset();
    return shared;
  }

  // The memory of the key beyond its own size, in bytes.
  std::size_t heap_bytes() const { return tenant_ ? tenant_->size() : 0; }
  std::size_t hash() const {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ull;  // spreads the contents over all bits
    const std::size_t tenant = tenant_ ? std::hash<std::string>()(*tenant_) : 0;
    return tenant ^ (content_ * golden_ratio);
  }
  bool operator==(const content_key&) const = default;

 private:
  std::optional<std::string> tenant_;  // none: shared by all tenants
  std::uint64_t content_;
};

}  // namespace marblewharf
