#include "upstream/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marblewharf::upstream {
namespace {

constexpr double mean_memory = 8;  // calls over which latency is averaged
constexpr double tolerance = 2;    // times the best: slower than chance makes a healthy one
constexpr double cut = 0.7;        // factor a round trip: a jam is left in a few of them
constexpr double best_creep =
    1.0005;  // factor a call: the best is forgotten far more slowly than a stall lasts
constexpr double best_settle = 0.2;  // of a gain that is taken over a call: not the luck of one
constexpr double best_give_way =
    1.05;  // factor a call at the floor: with hardly any in flight it is not a crowd that is slow
constexpr double floor_is = 2;  // times the least: so few in flight are no crowd
constexpr double used = 0.5;    // share of the limit in flight: below it, more room tells nothing

}  // namespace

adaptive_limit::adaptive_limit(double least, double most, double start)
    : least_(least), most_(most), limit_(std::clamp(start, least, most)) {}

duration adaptive_limit::healthy() const {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(tolerance * best_));
}

void adaptive_limit::on_end(time_point now, duration took, unsigned in_flight, bool late) {
  const double s = std::max(1e-6, std::chrono::duration<double>(took).count());
  ++seen_;
  if (seen_ == 1) {
    mean_ = s;
    if (!late) best_ = s;
  }
  mean_ += (s - mean_) / std::min<double>(seen_, mean_memory);
  if (!late && best_ <= 0) best_ = s;
  if (!late && s < best_) {
    best_ += (s - best_) * best_settle;
  } else if (!late && mean_ <= tolerance * best_) {
    best_ *=
        best_creep;  // guards against one lucky call; not while it is jammed, or the jam becomes the rule
  }
  // A dependency that stays slow with hardly any call in flight has become slow: that is its best now, and
  // more calls may do it no harm. Guards against a limit that keeps at its floor for as long as a machine
  // runs at an eighth of its speed.
  if (!late && best_ > 0 && mean_ > tolerance * best_ && limit_ <= floor_is * least_) best_ *= best_give_way;
  const bool slow = best_ > 0 && mean_ > tolerance * best_;
  if (slow || late) {
    if (now < next_cut_) return;
    next_cut_ = now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean_));
    limit_ = std::max(least_, limit_ * cut);
    return;
  }
  // One more for each round of calls: a probe that costs little, and is cut again where it costs much.
  if (in_flight + 1 >= used * limit_) limit_ = std::min(most_, limit_ + 1 / limit_);
}

}  // namespace marblewharf::upstream
