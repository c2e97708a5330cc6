// What one component contributes to a gauge that several components add to.
#pragma once

#include <cstdint>

namespace marblewharf::telemetry {

// Adds its value to a gauge of telemetry::counters, and takes it away when it is destroyed. Not thread-safe:
// owned by the thread that owns the counters, which outlive this object.
class gauge_contribution {
 public:
  explicit gauge_contribution(std::uint64_t& total) : total_(total) {}
  ~gauge_contribution() { set(0); }
  gauge_contribution(const gauge_contribution&) = delete;
  gauge_contribution& operator=(const gauge_contribution&) = delete;

  // Replaces the previous value.
  void set(std::uint64_t value) {
    total_ += value - value_;
    value_ = value;
  }

 private:
  std::uint64_t& total_;
  std::uint64_t value_ = 0;
};

}  // namespace marblewharf::telemetry
