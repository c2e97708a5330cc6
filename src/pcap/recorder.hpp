// Records what goes over the fronts' connections into a capture file.
#pragma once

#include <string>
#include <unordered_map>

#include "net/traffic_observer.hpp"
#include "pcap/writer.hpp"

namespace marblewharf::pcap {

class recorder : public net::traffic_observer {
 public:
  recorder(const std::string& path, std::size_t most_bytes) : writer_(path, most_bytes) {}

  void on_open(const void* which, const std::string& caller, const std::string& server) override;
  void on_read(const void* which, std::string_view bytes) override;
  void on_written(const void* which, std::string_view bytes) override;
  void on_close(const void* which) override;

 private:
  writer writer_;
  std::unordered_map<const void*, conversation> open_;
};

}  // namespace marblewharf::pcap
