// Sizes, counts and times of the program that are no settings of the admission policy: filled at the start,
// passed down by reference, and the same for the whole run.
#pragma once

#include <chrono>
#include <cstddef>

namespace marblewharf {

struct limits {
  using duration = std::chrono::nanoseconds;

  // Messages of peers. Sizes are in bytes.
  std::size_t body = 2048;                                // of a request
  std::size_t result = 4096;                              // of a run
  std::size_t frame = 8192;                               // of a request with its fields
  std::size_t fields = 32;                                // count, of a request
  std::size_t runtime_line = 16384;                       // of a result in base64 with its envelope
  unsigned open_each_connection = 32;                     // requests in flight on one Thrift connection
  std::size_t uwsgi_vars = 4096;                          // of the vars of one packet
  std::size_t response_head = 8192;                       // of a uwsgi server's response
  duration half_frame = std::chrono::milliseconds(2000);  // until a frame that was begun is whole
  duration silent = std::chrono::milliseconds(2000);      // until a connection brings its first message
  // Until an idle connection is closed; longer than balancers keep theirs, so that they close first.
  duration idle = std::chrono::seconds(40);
  unsigned strikes = 8;  // bad messages until a connection is closed

  // Resources of this process.
  std::size_t descriptors = 1024;    // open files, sockets among them
  std::size_t own_descriptors = 64;  // of these: links, logs, listeners, files, and a reserve to reject with
  std::size_t connections = 900;     // of clients; what the program and its console leave
  double kept = 0.75;                // share of them that may be open before unused ones are closed
  // Of uwsgi callers; as many again may go to uwsgi servers. A flood of either leaves Thrift its own.
  std::size_t uwsgi_connections = 240;
  int backlog = 512;                                  // connections that wait for accept()
  std::size_t write_buffer = std::size_t{144} << 10;  // bytes of answers that one connection may queue
  std::size_t buffered = std::size_t{48} << 20;       // bytes that all connections buffer together
  std::size_t kept_results = std::size_t{24} << 20;   // bytes of idempotent results in memory
  std::size_t read_chunk = std::size_t{16} << 10;     // bytes read of a connection in a round: none starves
  std::size_t discard_chunk = std::size_t{64} << 10;  // the same, of a connection whose input is discarded
  unsigned accepts = 64;                              // connections accepted in a round
  std::size_t record = std::size_t{64} << 20;         // bytes of a capture file that is written
  std::size_t capture_flows = 4096;                   // connections followed in a capture file that is read
  std::size_t capture_waiting = std::size_t{256} << 10;  // bytes kept behind a gap in one of them
  std::size_t keyed_open = 1024;      // keyed requests from their arrival until their result is recorded
  std::size_t keyed_reads = 1024;     // duplicates that wait for their result from disk
  std::size_t commit_records = 1024;  // in one sync of the disk
  unsigned log_lines = 5;             // of one event in a second

  // The operators' console.
  std::size_t console_connections = 64;  // but no more than one in `console_share` of all descriptors
  std::size_t console_share = 16;
  std::size_t console_line = 256;                                // bytes of a command
  duration console_wait = std::chrono::milliseconds(5000);       // for a whole line
  duration console_bind_retry = std::chrono::milliseconds(200);  // while a predecessor holds the address

  // Shutdown: phases before the kill, in their order (lifecycle/graceful_shutdown.hpp).
  duration stop = std::chrono::milliseconds(3200);        // from the shutdown notice to the kill
  duration leave_early = std::chrono::milliseconds(600);  // callers are asked to close their connections
  duration end_early = std::chrono::milliseconds(250);    // the node closes them itself
  duration exit_early = std::chrono::milliseconds(150);   // the process ends
  duration last_rounds = std::chrono::milliseconds(50);   // behind that, to answer what came late

  // Intervals.
  duration longest_poll = std::chrono::milliseconds(20);      // of the reactor: a signal is seen within this
  duration report_every = std::chrono::milliseconds(250);     // to the registry, which forgets after 3 s
  duration gauges_every = std::chrono::milliseconds(50);      // half of the admission policy's window
  duration gauges_stale = std::chrono::milliseconds(1000);    // older gauges are ignored
  duration connect = std::chrono::seconds(1);                 // until a connection to the runtime is open
  duration same_start = std::chrono::seconds(1);              // two estimates of one start differ by less
  duration rule_slack = std::chrono::milliseconds(50);        // added to idempotency windows in memory
  duration linger = std::chrono::seconds(2);                  // for a caller to close after its answer
  duration sweep_every = std::chrono::milliseconds(100);      // between two checks of all connections
  duration hand_over = std::chrono::milliseconds(300);        // for the runtime's new address to answer
  duration reconnect_every = std::chrono::milliseconds(100);  // between two attempts at the runtime
};

}  // namespace marblewharf
