#include "quota/demand.hpp"

#include <cmath>

namespace marblewharf::quota {

namespace {

// What is left of an old figure once `gone` has passed.
double kept(duration gone, duration fade) {
  return std::exp(-std::chrono::duration<double>(gone) / std::chrono::duration<double>(fade));
}

}  // namespace

use rate_demand::measure(time_point now) {
  // The first span is taken as one fading long: what came before it is not known.
  const duration gone = measured_ ? now - *measured_ : options_.fade;
  if (gone > duration{}) {
    const double keep = kept(gone, options_.fade);
    per_second_ = per_second_ * keep +
                  (1 - keep) * static_cast<double>(counted_) / std::chrono::duration<double>(gone).count();
    counted_ = 0;
    measured_ = now;
  }
  return {0, options_.headroom * per_second_ + options_.least};
}

use flight_demand::measure(time_point now, std::size_t in_flight, std::size_t waiting,
                           std::uint64_t turned_away) {
  const duration gone = measured_ ? now - *measured_ : options_.fade;
  turned_away_lately_ =
      turned_away_lately_ * kept(gone, options_.fade) + static_cast<double>(turned_away - turned_away_);
  turned_away_ = turned_away;
  measured_ = now;
  const double wanted = static_cast<double>(in_flight + waiting) + turned_away_lately_;
  return {static_cast<double>(in_flight), options_.headroom * wanted + options_.least};
}

}  // namespace marblewharf::quota
