// Limits and intervals of the program that are not settings of the admission policy. They are set at the
// start, passed by reference and never change while the process runs.
#pragma once

#include <chrono>
#include <cstddef>

namespace marblewharf {

struct limits {
  using duration = std::chrono::nanoseconds;

  // Limits for messages of peers. Sizes are maximums in bytes.
  std::size_t max_body_bytes = 2048;           // request body
  std::size_t max_result_bytes = 4096;         // result of a run
  std::size_t max_frame_bytes = 8192;          // Thrift frame: a request with its fields
  std::size_t max_fields = 32;                 // maximum number of fields in a request
  std::size_t max_runtime_line_bytes = 16384;  // line from the runtime: a base64 result with its envelope
  unsigned max_in_flight_per_connection = 32;  // maximum in-flight requests on one Thrift connection
  std::size_t max_uwsgi_vars_bytes = 4096;     // vars of one uwsgi packet
  std::size_t max_response_head_bytes = 8192;  // head of a uwsgi server's response
  duration partial_frame_timeout =
      std::chrono::milliseconds(2000);  // timeout for the rest of a partial frame
  duration first_message_timeout =
      std::chrono::milliseconds(2000);  // timeout for the first message of a connection
  // Idle timeout of a connection. Longer than the idle timeout of the balancers, so that they close first.
  duration idle_timeout = std::chrono::seconds(40);
  unsigned max_invalid_messages = 8;  // invalid messages after which a connection is closed

  // Resources of this process.
  std::size_t descriptors = 1024;         // open files, including sockets
  std::size_t reserved_descriptors = 64;  // reserved for links, logs, listeners, files and rejections
  std::size_t connections = 900;          // client connections: all descriptors not reserved otherwise
  double idle_eviction_share = 0.75;      // share of `connections` above which unused connections are closed
  // Connections from uwsgi callers; as many more may go to uwsgi servers. They are separate from the Thrift
  // connections, so that uwsgi traffic cannot exhaust those.
  std::size_t uwsgi_connections = 240;
  int listen_backlog = 512;                                     // argument of listen()
  std::size_t max_write_buffer_bytes = std::size_t{144} << 10;  // bytes of unsent answers per connection
  std::size_t max_buffered_bytes = std::size_t{48} << 20;       // bytes buffered by all connections together
  std::size_t max_stored_result_bytes = std::size_t{24} << 20;  // idempotent results: memory and shared log
  // Bytes read per connection and reactor round. The limit prevents one connection from starving the others.
  std::size_t read_chunk_bytes = std::size_t{16} << 10;
  // As read_chunk, for a connection whose input is discarded.
  std::size_t discard_chunk_bytes = std::size_t{64} << 10;
  unsigned accepts_per_round = 64;  // connections accepted per reactor round
  std::size_t max_capture_file_bytes = std::size_t{64}
                                       << 20;  // maximum size in bytes of a capture file that is written
  std::size_t max_capture_flows = 4096;        // connections tracked while a capture file is read
  std::size_t max_capture_gap_bytes = std::size_t{256}
                                      << 10;  // bytes buffered after a gap in one such connection
  std::size_t max_open_keyed_requests =
      1024;  // keyed requests that have arrived and have no stored result yet
  std::size_t max_stored_result_reads = 1024;  // duplicates whose result is being read from disk
  std::size_t max_records_per_sync = 1024;     // records per disk sync
  unsigned log_lines_per_s = 5;                // log lines per second and event

  // The operators' console.
  std::size_t console_connections = 64;  // maximum; also at most 1/`console_share` of all descriptors
  std::size_t console_share = 16;
  std::size_t max_console_line_bytes = 256;                         // maximum size of a command in bytes
  duration console_line_timeout = std::chrono::milliseconds(5000);  // timeout for a whole command line
  // Retry interval for bind() while the predecessor process still uses the address.
  duration console_bind_retry = std::chrono::milliseconds(200);

  // Graceful shutdown (lifecycle/graceful_shutdown.hpp). `shutdown_duration` runs from the shutdown notice to
  // the kill. Each of the next three phases starts the given time before the kill; they are listed in order.
  duration shutdown_duration = std::chrono::milliseconds(3200);  // shutdown notice to kill
  duration ask_to_close_before_kill =
      std::chrono::milliseconds(600);                           // ask callers to close their connections
  duration close_before_kill = std::chrono::milliseconds(250);  // close the remaining connections
  duration exit_before_kill = std::chrono::milliseconds(150);   // exit the process
  duration late_answer_time = std::chrono::milliseconds(50);    // extra time to answer late requests

  // Intervals.
  // Maximum wait of the reactor, and so the maximum delay until it handles a signal.
  duration max_poll_wait = std::chrono::milliseconds(20);
  // Interval of reports to the registry, which drops a node after 3 s without a report.
  duration report_interval = std::chrono::milliseconds(250);
  duration gauge_interval = std::chrono::milliseconds(50);   // polling interval; half of the policy's window
  duration gauge_max_age = std::chrono::milliseconds(1000);  // older gauges are ignored
  duration connect_timeout = std::chrono::seconds(1);        // connect timeout to the runtime
  duration start_estimate_tolerance =
      std::chrono::seconds(1);                          // start times closer than this are the same start
  duration rule_slack = std::chrono::milliseconds(50);  // added to idempotency windows in memory
  duration linger_timeout = std::chrono::seconds(2);    // wait for the caller to close after its last answer
  duration sweep_interval =
      std::chrono::milliseconds(100);  // interval between timeout checks of all connections
  duration runtime_address_timeout =
      std::chrono::milliseconds(300);  // timeout for the runtime's new address to answer
  // Interval between attempts to connect to the runtime.
  duration reconnect_interval = std::chrono::milliseconds(100);
};

}  // namespace marblewharf
