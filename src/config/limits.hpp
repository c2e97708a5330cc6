// Every size, count and time of the program that is not the module's: filled at start, handed down.
#pragma once

#include <chrono>
#include <cstddef>

namespace marblewharf {

struct limits {
  using duration = std::chrono::nanoseconds;

  // What a peer may send.
  std::size_t body = 2048;           // of a request
  std::size_t result = 4096;         // of a run
  std::size_t frame = 8192;          // a request with its fields
  std::size_t fields = 32;           // of a request
  std::size_t runtime_line = 16384;  // a result in base64 and its envelope
  unsigned open_each_connection = 32;
  std::size_t uwsgi_vars = 4096;     // of one packet
  std::size_t response_head = 8192;  // of a uwsgi server's response
  // A broken sender is owed an end within 3 s of its connect.
  duration half_frame = std::chrono::milliseconds(2000);  // a frame that was begun is whole within this
  duration silent = std::chrono::milliseconds(2000);      // a connection brings its first message within this
  duration idle = std::chrono::seconds(40);               // balancers close theirs after some 30 s
  unsigned strikes = 8;                                   // bad messages on a connection until it is given up

  // What this process holds.
  std::size_t descriptors = 1024;    // open files, sockets among them
  std::size_t own_descriptors = 64;  // of them: links, logs, listeners, files, and room to say no
  std::size_t connections = 900;     // of the clients; what the program and its console leave
  double kept = 0.75;                // share of them that may stand before the unused are asked to go
  std::size_t uwsgi_connections =
      240;            // as many again may go to uwsgi servers: a flood leaves Thrift its own
  int backlog = 512;  // connections that wait while this process is stalled
  // For each connection: the answers to all requests that may be open on it.
  std::size_t write_buffer = std::size_t{144} << 10;
  // All connections together: peers that all stop reading may fill no more than this.
  std::size_t buffered = std::size_t{48} << 20;
  // Results of keyed requests that are kept in memory (config: repeats).
  std::size_t kept_results = std::size_t{24} << 20;
  std::size_t read_chunk = std::size_t{16} << 10;  // read of a connection in one round, so that none starves
  std::size_t discard_chunk = std::size_t{64} << 10;     // ... and thrown away, of one that was given up
  unsigned accepts = 64;                                 // connections taken in one round
  std::size_t record = std::size_t{64} << 20;            // of a capture file that is written
  std::size_t capture_flows = 4096;                      // connections followed in one that is read
  std::size_t capture_waiting = std::size_t{256} << 10;  // bytes kept behind a hole in one of them
  std::size_t keyed_open = 1024;      // keyed requests from their arrival until their result is on disk
  std::size_t keyed_reads = 1024;     // repeats that wait for their result from disk
  std::size_t commit_records = 1024;  // written by one sync of the disk
  unsigned log_lines = 5;             // of one word in a second
  // The operators' console: its callers are few, and some hold a connection for seconds without a whole line.
  std::size_t console_connections = 64;                     // at the most, and ...
  std::size_t console_share = 16;                           // ... no more than one of so many descriptors
  std::size_t console_line = 256;                           // bytes of one call
  duration console_wait = std::chrono::milliseconds(5000);  // for a whole line
  duration console_bind_retry = std::chrono::milliseconds(200);  // while a process before this one holds it

  // Times.
  duration stop = std::chrono::milliseconds(3200);        // from the notice to leave to the kill
  duration leave_early = std::chrono::milliseconds(600);  // before the kill: asks callers to let go
  duration end_early = std::chrono::milliseconds(250);    // before the kill: ends what callers did not close
  duration exit_early = std::chrono::milliseconds(150);   // before the kill: the process ends
  duration last_rounds = std::chrono::milliseconds(50);   // behind that, to read and answer what came late
  duration longest_poll = std::chrono::milliseconds(20);  // a signal is seen within this
  // To the catalog, which forgets after 3 s: a dozen may be lost in a row.
  duration report_every = std::chrono::milliseconds(250);
  duration gauges_every = std::chrono::milliseconds(50);    // the module's window is 100 ms
  duration gauges_stale = std::chrono::milliseconds(1000);  // after this they say nothing
  duration connect = std::chrono::seconds(1);               // until a connection to the runtime stands
  duration same_start = std::chrono::seconds(1);  // two looks at one start of the runtime differ by less
  // Every time limit of the platform is that much longer; a repeat that comes on the edge of its window is
  // one.
  duration rule_slack = std::chrono::milliseconds(50);
  duration linger = std::chrono::seconds(2);              // for a caller to close after its answer
  duration sweep_every = std::chrono::milliseconds(100);  // looks at all connections
  duration hand_over = std::chrono::milliseconds(300);    // to a new address of the runtime, then tried again
  duration reconnect_every = std::chrono::milliseconds(100);
};

}  // namespace marblewharf
