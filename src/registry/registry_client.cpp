#include "registry/registry_client.hpp"

#include <Poco/Exception.h>

#include <string>

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::registry {

registry_client::registry_client(const config& settings)
    : config_(settings),
      address_(net::resolve_address(settings.registry, "directory")),
      socket_(address_.family()) {
  socket_.setBlocking(false);
}

void registry_client::set_address(const Poco::Net::SocketAddress& address) {
  if (address.family() != address_.family()) {
    socket_ = Poco::Net::DatagramSocket(address.family());
    socket_.setBlocking(false);
  }
  address_ = address;
  next_report_at_ = {};
}

time_point registry_client::step(time_point now, bool passing) {
  if (now < next_report_at_ && passing == passing_) return next_report_at_;
  passing_ = passing;
  next_report_at_ = now + config_.bounds.report_interval;
  const std::string report = "alive " + config_.name + (passing ? " passing" : " critical");
  try {
    socket_.sendTo(report.data(), static_cast<int>(report.size()), address_);
  } catch (const Poco::Exception& error) {  // the registry may be down; the next report repeats the state
    telemetry::log("catalog", "cannot send a health report: %s", error.displayText().c_str());
  }
  return next_report_at_;
}

}  // namespace marblewharf::registry
