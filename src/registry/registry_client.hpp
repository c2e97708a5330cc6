// Sends periodic health reports of this node to the service registry (the catalog), which removes a node that
// sends no report for 3 s.
#pragma once

#include <Poco/Net/DatagramSocket.h>

#include "config/config.hpp"
#include "core/request.hpp"

namespace marblewharf::registry {

class registry_client {
 public:
  // `settings` outlives the client. Throws invalid_config if the registry's host name cannot be resolved.
  explicit registry_client(const config& settings);

  // Changes the registry's address. The next step() sends a report to the new address.
  void set_address(const Poco::Net::SocketAddress& address);

  // Sends a report when one is due or `passing` has changed. Returns the time of the next call.
  time_point step(time_point now, bool passing);

 private:
  const config& config_;
  Poco::Net::SocketAddress address_;
  Poco::Net::DatagramSocket socket_;
  time_point next_report_at_{};
  bool passing_ = true;
};

}  // namespace marblewharf::registry
