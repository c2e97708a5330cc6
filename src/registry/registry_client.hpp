// Reports this node to the catalog, which forgets who is silent for 3 s.
#pragma once

#include <Poco/Net/DatagramSocket.h>

#include "config/config.hpp"
#include "core/request.hpp"

namespace marblewharf::registry {

class registry_client {
 public:
  explicit registry_client(const config& settings);

  // The catalog is there from now on; it hears at the next step.
  void move(const Poco::Net::SocketAddress& to);

  // Reports when it is time; returns when it wants to be called again.
  time_point step(time_point now, bool passing);

 private:
  const config& config_;
  Poco::Net::SocketAddress to_;
  Poco::Net::DatagramSocket socket_;
  time_point next_{};
  bool passing_ = true;
};

}  // namespace marblewharf::registry
