#include "admission_policy/memory_guard.hpp"

namespace admission_policy {
namespace {

// Share of the memory beyond which the queue is cut: unread arrivals and the growth of one batch come on top.
constexpr double queue_share = 0.85;
// Share of the memory up to which runs start: what is read next needs room.
constexpr double run_share = 0.75;
// Share of the memory up to which keys are retained: more would displace the work itself.
constexpr double key_share = 0.5;

}  // namespace

memory_guard::memory_guard(const settings& given)
    : limit_kb_(given.memory_kb),
      running_factor_(given.running_memory_factor),
      key_kb_(given.idempotency_key_kb) {}

bool memory_guard::fits_as_run(double reserved_kb) const {
  return !limited() || booked_kb_ + reserved_kb * (running_factor_ - 1) <= run_share * limit_kb_;
}

bool memory_guard::fits_another_key(std::size_t retained) const {
  return !limited() || key_kb_ * static_cast<double>(retained + 1) <= key_share * limit_kb_;
}

bool memory_guard::exceeded() const {
  return limited() && booked_kb_ > queue_share * limit_kb_;
}

}  // namespace admission_policy
