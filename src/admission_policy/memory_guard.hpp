// Counts the reserved memory of requests and retained keys, in KB, and keeps runs and keys below their
// limits. A start multiplies the memory of a request and cannot be taken back everywhere.
#pragma once

#include <cstddef>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class memory_guard {
 public:
  explicit memory_guard(const settings& given);

  // Memory of a request that reserved so much when it arrived.
  double request_kb(double reserved_kb, bool started) const {
    return reserved_kb * (started ? running_factor_ : 1);
  }
  void reserve(double kb) { total_kb_ += kb; }
  void release(double kb) { total_kb_ -= kb; }
  void reserve_key() { total_kb_ += key_kb_; }
  void release_key() { total_kb_ -= key_kb_; }

  // Whether a queued request may start.
  bool fits_as_run(double reserved_kb) const;
  // Whether a key may be retained beside so many others.
  bool fits_another_key(std::size_t retained) const;
  // Whether queued requests are to be rejected until less is reserved.
  bool exceeded() const;

 private:
  bool limited() const { return limit_kb_ > 0; }

  double limit_kb_;  // 0 = no limit is stated
  double running_factor_;
  double key_kb_;
  double total_kb_ = 0;
};

}  // namespace admission_policy
