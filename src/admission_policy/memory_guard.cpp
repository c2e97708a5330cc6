#include "admission_policy/memory_guard.hpp"

namespace admission_policy {
namespace {

// Queued requests are rejected above this fraction of the memory; the rest is for arrivals not yet read.
constexpr double queue_limit_fraction = 0.85;
// Runs start only up to this fraction of the memory; the rest is for queued requests.
constexpr double run_limit_fraction = 0.75;
// Keys are retained only up to this fraction of the memory; the rest is for requests.
constexpr double key_limit_fraction = 0.5;

}  // namespace

memory_guard::memory_guard(const settings& policy_settings)
    : limit_kb_(policy_settings.memory_kb),
      running_factor_(policy_settings.running_memory_factor),
      key_kb_(policy_settings.idempotency_key_kb) {}

bool memory_guard::fits_as_run(double reserved_kb) const {
  return !limited() || total_kb_ + reserved_kb * (running_factor_ - 1) <= run_limit_fraction * limit_kb_;
}

bool memory_guard::fits_another_key(std::size_t retained) const {
  return !limited() || key_kb_ * static_cast<double>(retained + 1) <= key_limit_fraction * limit_kb_;
}

bool memory_guard::exceeded() const {
  return limited() && total_kb_ > queue_limit_fraction * limit_kb_;
}

}  // namespace admission_policy
