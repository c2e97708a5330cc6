// Records the traffic on the fronts' connections into a capture file.
#pragma once

#include <string>
#include <unordered_map>

#include "net/traffic_observer.hpp"
#include "pcap/writer.hpp"

namespace marblewharf::pcap {

class recorder : public net::traffic_observer {
 public:
  // Throws write_error if the file cannot be created. `max_bytes`: maximum size of the file.
  recorder(const std::string& path, std::size_t max_bytes) : writer_(path, max_bytes) {}

  void on_open(const void* connection, const std::string& caller, const std::string& server) override;
  void on_read(const void* connection, std::string_view bytes) override;
  void on_written(const void* connection, std::string_view bytes) override;
  void on_close(const void* connection) override;

 private:
  writer writer_;
  std::unordered_map<const void*, recorded_connection> open_;  // the key identifies the front's connection
};

}  // namespace marblewharf::pcap
