// Reads a capture file as a source of requests: the same typed requests that the fronts read, with the time
// at which their last byte was seen. Offline files only; nothing is captured.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/vocabulary.hpp"

namespace marblewharf::pcap {

// The file is not one, or breaks off; the text has the number of the packet.
struct bad_capture : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class protocol { thrift, uwsgi };

struct captured {
  protocol from{};
  std::int64_t unix_us = 0;    // when its last byte was seen
  std::uint64_t packet = 0;    // the number of that packet, from 1
  std::string caller, server;  // address and port
  request what;
  std::string bytes;  // of the whole message, as it went
};

struct read_options {
  std::uint16_t thrift_port = 7001;
  std::uint16_t uwsgi_port = 3030;
  uwsgi_config mapping;  // what the vars mean
  limits bounds;
};

struct read_counts {
  std::uint64_t packets = 0;
  std::uint64_t other = 0;      // neither TCP nor to one of the ports
  std::uint64_t malformed = 0;  // with headers that contradict themselves
  std::uint64_t repeated = 0, reordered = 0;
  std::uint64_t gaps = 0;  // connections of which bytes are missing
  std::uint64_t undecodable = 0;
};

// Hands over each request in the order of the capture. `trouble` hears of what was skipped, with the number
// of its packet. Throws bad_capture.
read_counts read_capture(const std::string& path, const read_options& options, vocabulary& names,
                         const std::function<void(const captured&)>& found,
                         const std::function<void(const std::string&)>& trouble);

}  // namespace marblewharf::pcap
