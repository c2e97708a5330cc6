// Tracks the memory reserved by requests and retained keys, in KB, and decides whether runs and keys fit
// within their limits. A start multiplies the memory of a request and cannot always be undone.
#pragma once

#include <cstddef>

#include "admission_policy/policy.hpp"

namespace admission_policy {

class memory_guard {
 public:
  explicit memory_guard(const settings& policy_settings);

  // Memory of a request that reserved `reserved_kb` on arrival.
  double request_kb(double reserved_kb, bool started) const {
    return reserved_kb * (started ? running_factor_ : 1);
  }
  void reserve(double kb) { total_kb_ += kb; }
  void release(double kb) { total_kb_ -= kb; }
  void reserve_key() { total_kb_ += key_kb_; }
  void release_key() { total_kb_ -= key_kb_; }

  // Whether a queued request may start.
  bool fits_as_run(double reserved_kb) const;
  // Whether another key may be retained in addition to `retained` keys.
  bool fits_another_key(std::size_t retained) const;
  // Whether queued requests must be rejected to free memory.
  bool exceeded() const;

 private:
  bool limited() const { return limit_kb_ > 0; }

  double limit_kb_;  // 0 = not configured
  double running_factor_;
  double key_kb_;
  double total_kb_ = 0;
};

}  // namespace admission_policy
