#include "runtime/gauge_queries.hpp"

#include <charconv>
#include <string>

namespace marblewharf::runtime {

gauge_queries::gauge_queries(const limits& bounds) : bounds_(bounds) {}

gauges_command gauge_queries::next_query(time_point now) {
  next_due_ = now + bounds_.gauge_interval;
  ++last_number_;
  return {std::to_string(last_number_)};
}

std::uint64_t gauge_queries::on_answer(const gauges_notice& answer, time_point now) {
  gauges_ = answer.gauges;
  answered_at_ = now;
  std::uint64_t number = 0;
  const std::string& cookie = answer.cookie;
  std::from_chars(cookie.data(), cookie.data() + cookie.size(), number);
  return number;
}

std::vector<double> gauge_queries::gauges(time_point now) const {
  if (now - answered_at_ > bounds_.gauge_max_age) return {};
  return gauges_;
}

}  // namespace marblewharf::runtime
