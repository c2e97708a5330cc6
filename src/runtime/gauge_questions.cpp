#include "runtime/gauge_questions.hpp"

#include <charconv>
#include <string>

namespace marblewharf::runtime {

gauge_questions::gauge_questions(const limits& bounds) : bounds_(bounds) {}

gauges_command gauge_questions::ask(time_point now) {
  due_ = now + bounds_.gauges_every;
  ++last_;
  return {std::to_string(last_)};
}

std::uint64_t gauge_questions::on_answer(const gauges_notice& answer, time_point now) {
  gauges_ = answer.gauges;
  answered_at_ = now;
  std::uint64_t number = 0;
  const std::string& cookie = answer.cookie;
  std::from_chars(cookie.data(), cookie.data() + cookie.size(), number);
  return number;
}

std::vector<double> gauge_questions::gauges(time_point now) const {
  if (now - answered_at_ > bounds_.gauges_stale) return {};
  return gauges_;
}

}  // namespace marblewharf::runtime
