// Hears what goes over accepted connections, byte for byte.
#pragma once

#include <string>
#include <string_view>

namespace marblewharf::net {

class traffic_observer {
 public:
  virtual ~traffic_observer() = default;
  virtual void on_open(const void* which, const std::string& caller, const std::string& server) = 0;
  virtual void on_read(const void* which, std::string_view bytes) = 0;
  virtual void on_written(const void* which, std::string_view bytes) = 0;
  virtual void on_close(const void* which) = 0;
};

}  // namespace marblewharf::net
