#include "pcap/recorder.hpp"

#include "net/reactor.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::pcap {

void recorder::on_open(const void* connection, const std::string& caller, const std::string& server) {
  if (writer_.full()) return;
  try {
    open_.insert_or_assign(connection,
                           writer_.open(parse_address(caller), parse_address(server), net::unix_us()));
  } catch (const write_error& error) {
    telemetry::log("record", "connection is not recorded: %s", error.what());
  }
}

void recorder::on_read(const void* connection, std::string_view bytes) {
  if (const auto entry = open_.find(connection); entry != open_.end())
    writer_.add_caller_bytes(entry->second, bytes, net::unix_us());
}

void recorder::on_written(const void* connection, std::string_view bytes) {
  if (const auto entry = open_.find(connection); entry != open_.end())
    writer_.add_server_bytes(entry->second, bytes, net::unix_us());
}

void recorder::on_close(const void* connection) {
  const auto entry = open_.find(connection);
  if (entry == open_.end()) return;
  writer_.close(entry->second, net::unix_us());
  open_.erase(entry);
  writer_.flush();
  if (writer_.full())
    telemetry::log("record", "the capture file is full or cannot be written; nothing more is recorded");
}

}  // namespace marblewharf::pcap
