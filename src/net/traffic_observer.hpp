// Observes the bytes that are read from and written to accepted connections. Called on the reactor's thread.
#pragma once

#include <string>
#include <string_view>

namespace marblewharf::net {

// `connection` identifies a connection between on_open() and on_close(). `caller` and `server` are the
// addresses of the two ends.
class traffic_observer {
 public:
  virtual ~traffic_observer() = default;
  virtual void on_open(const void* connection, const std::string& caller, const std::string& server) = 0;
  virtual void on_read(const void* connection, std::string_view bytes) = 0;
  virtual void on_written(const void* connection, std::string_view bytes) = 0;
  virtual void on_close(const void* connection) = 0;
};

}  // namespace marblewharf::net
