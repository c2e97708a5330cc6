// Which requests have an idempotency key, where it stands in the request, and where the results of a class
// are stored: properties of each class and front, derived from the configuration.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace marblewharf {

// Where the results of a class's keyed requests are stored.
enum class result_storage { none, memory, disk };

// The storage of the class with this index.
result_storage result_storage_of(const config& settings, std::size_t request_class);

// How one front reads the keys of one class.
struct key_rule {
  std::string source;         // name of the Thrift field or uwsgi var; empty: no request has a key
  std::size_t max_bytes = 0;  // maximum size of a key in bytes
  bool required = false;      // whether a request without a key is invalid
};

// The rules of one front by class. A class without an entry has no keys.
class key_rules {
 public:
  key_rules() = default;
  explicit key_rules(std::vector<key_rule> by_class) : by_class_(std::move(by_class)) {}

  // Returns null if no request of the class has a key.
  const key_rule* find(std::size_t request_class) const {
    const bool keyed = request_class < by_class_.size() && !by_class_[request_class].source.empty();
    return keyed ? &by_class_[request_class] : nullptr;
  }

 private:
  std::vector<key_rule> by_class_;
};

// On the Thrift front, keys of classes that the platform's settings call keyed stand in the field of the
// platform's protocol, unless the operator's file names another one for results on disk.
key_rules thrift_key_rules(const config& settings);

// On the uwsgi front, keys stand in the var that the operator's file names; without one no request has a key.
key_rules uwsgi_key_rules(const config& settings);

}  // namespace marblewharf
