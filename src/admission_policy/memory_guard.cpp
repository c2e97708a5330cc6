#include "admission_policy/memory_guard.hpp"

namespace admission_policy {
namespace {

// Fraction of the memory beyond which queued requests are rejected, so that unread arrivals find room.
constexpr double queue_limit_fraction = 0.85;
// Fraction of the memory up to which runs start, so that arrivals can be queued beside them.
constexpr double run_limit_fraction = 0.75;
// Fraction of the memory up to which keys are retained; the rest is for requests.
constexpr double key_limit_fraction = 0.5;

}  // namespace

memory_guard::memory_guard(const settings& given)
    : limit_kb_(given.memory_kb),
      running_factor_(given.running_memory_factor),
      key_kb_(given.idempotency_key_kb) {}

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
