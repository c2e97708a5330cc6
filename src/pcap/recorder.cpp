#include "pcap/recorder.hpp"

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::pcap {

void recorder::on_open(const void* which, const std::string& caller, const std::string& server) {
  if (writer_.full()) return;
  try {
    open_.insert_or_assign(which, writer_.open(to_address(caller), to_address(server), net::unix_us()));
  } catch (const write_failed& e) {
    telemetry::log("record", "connection left out: %s", e.what());
  }
}

void recorder::on_read(const void* which, std::string_view bytes) {
  if (const auto at = open_.find(which); at != open_.end()) writer_.sent(at->second, bytes, net::unix_us());
}

void recorder::on_written(const void* which, std::string_view bytes) {
  if (const auto at = open_.find(which); at != open_.end())
    writer_.answered(at->second, bytes, net::unix_us());
}

void recorder::on_close(const void* which) {
  const auto at = open_.find(which);
  if (at == open_.end()) return;
  writer_.close(at->second, net::unix_us());
  open_.erase(at);
  writer_.flush();
  if (writer_.full()) telemetry::log("record", "the capture file has reached its bound");
}

}  // namespace marblewharf::pcap
