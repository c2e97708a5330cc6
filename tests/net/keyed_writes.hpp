// Nodes and requests of a class that the settings of the platform declare as keyed.
#pragma once

#include <string>

#include "harness.hpp"

namespace harness {

// Options of a node whose write class is keyed, with that duplicate window.
inline node_options keyed_writes(int window_ms) {
  return {.edit_from = "\"Effect\":\"unsafe\"",
          .edit_to = "\"Effect\":\"keyed\",\"Window\":" + std::to_string(window_ms) + "000000"};
}

// Options of a node whose read class is keyed, with that duplicate window.
inline node_options keyed_reads(int window_ms) {
  return {.edit_from = "\"Effect\":\"safe\"",
          .edit_to = "\"Effect\":\"keyed\",\"Window\":" + std::to_string(window_ms) + "000000"};
}

// An attempt of the write with the idempotency key `key`, which arrived `ms_ago` before now.
inline std::string keyed_attempt(int seqid, const std::string& key, int ms_ago = 0,
                                 const std::string& request_class = "kurs-meldung") {
  static int attempts = 0;
  fields f = usual(++attempts, request_class, -ms_ago);
  f.emplace_back("unique", key);
  return execute(seqid, f, "price");
}

// Checks for 200 ms that the node sends no command but `gauges` queries.
inline void expect_no_start(runtime& stub) {
  const auto quiet_until = clock::now() + 200ms;
  while (clock::now() < quiet_until) {
    if (stub.link.readable(20)) CHECK(stub.answer_gauges(stub.link.line()));
  }
}

}  // namespace harness
