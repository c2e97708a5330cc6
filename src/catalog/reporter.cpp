#include "catalog/reporter.hpp"

#include <Poco/Exception.h>

#include <string>

#include "telemetry/telemetry.hpp"

namespace marblewharf::catalog {

reporter::reporter(const config& settings)
    : config_(settings), to_(settings.directory.host, settings.directory.port), socket_(to_.family()) {
  socket_.setBlocking(false);
}

time_point reporter::step(time_point now, bool passing) {
  if (now < next_ && passing == passing_) return next_;
  passing_ = passing;
  next_ = now + config_.bounds.report_every;
  const std::string report = "alive " + config_.name + (passing ? " passing" : " critical");
  try {
    socket_.sendTo(report.data(), static_cast<int>(report.size()), to_);
  } catch (const Poco::Exception& e) {  // the catalog may be down: the next report says it again
    telemetry::log("catalog", "no report: %s", e.displayText().c_str());
  }
  return next_;
}

}  // namespace marblewharf::catalog
