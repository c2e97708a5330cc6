#include "registry/registry_client.hpp"

#include <Poco/Exception.h>

#include <string>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::registry {

registry_client::registry_client(const config& settings)
    : config_(settings), to_(net::address_of(settings.directory, "directory")), socket_(to_.family()) {
  socket_.setBlocking(false);
}

void registry_client::move(const Poco::Net::SocketAddress& to) {
  if (to.family() != to_.family()) {
    socket_ = Poco::Net::DatagramSocket(to.family());
    socket_.setBlocking(false);
  }
  to_ = to;
  next_ = {};
}

time_point registry_client::step(time_point now, bool passing) {
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

}  // namespace marblewharf::registry
