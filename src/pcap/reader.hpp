// Reads requests from a capture file: the same typed requests that the fronts read, with the time at which
// their last byte was captured. Reads files only; does not capture live traffic.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>

#include "config/config.hpp"
#include "core/request.hpp"
#include "core/request_name_index.hpp"

namespace marblewharf::pcap {

// Thrown for a file that is not a capture file or is truncated. The text contains the number of the packet.
struct invalid_capture : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class protocol { thrift, uwsgi };

// A request that was found in a capture file.
struct captured_request {
  protocol wire_protocol{};
  std::int64_t unix_us = 0;    // capture time of the last byte
  std::uint64_t packet = 0;    // number of the packet with the last byte, from 1
  std::string caller, server;  // address and port
  request decoded;
  std::string bytes;  // the whole message as it was sent
};

struct read_options {
  std::uint16_t thrift_port = 7001;
  std::uint16_t uwsgi_port = 3030;
  uwsgi_config mapping;  // maps uwsgi vars to properties of the request
  limits bounds;
};

struct read_counts {
  std::uint64_t packets = 0;
  std::uint64_t other = 0;                    // packets that are not TCP to one of the ports
  std::uint64_t malformed = 0;                // packets with truncated or contradictory headers
  std::uint64_t repeated = 0, reordered = 0;  // TCP segments, see reassembly
  std::uint64_t gaps = 0;                     // connections with missing bytes
  std::uint64_t undecodable = 0;              // messages that cannot be decoded
};

// Calls `on_request` with each request, in the order of the capture, and `on_skipped` with a description of
// each skipped packet or message, which contains the packet number. Throws invalid_capture.
read_counts read_capture(const std::string& path, const read_options& options, request_name_index& names,
                         const std::function<void(const captured_request&)>& on_request,
                         const std::function<void(const std::string&)>& on_skipped);

}  // namespace marblewharf::pcap
