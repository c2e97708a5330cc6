// Sends a number of requests to the real program, so that a profiler that counts instructions can be run on
// it. The instructions of a request are the difference of two runs with different numbers, divided by that of
// the numbers: what start and stop cost cancels out.
//
//   marblewharf_request_cost_bench reads|keyed-writes COUNT
//
// reads: safe requests over Thrift, to the runtime. keyed-writes: over uwsgi, with results on disk.
// $MARBLEWHARF_PROGRAM: the program, for example a script that runs it under valgrind --tool=callgrind.
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <thread>

#include "../tests/net/keyed_site.hpp"
#include "../tests/peers/quick_runtime.hpp"

using namespace harness;

namespace {

const std::string body = "price";

// Ends the node in order, so that a profiler writes its totals.
void stop(node& price_node) {
  price_node.signal(SIGTERM);
  CHECK(price_node.wait() == 0);
}

void send_reads(int count) {
  peers::quick_runtime fake_runtime;
  node price_node(fake_runtime.r, {});
  fake_runtime.start();
  {
    connection client = connection::to(price_node.port);
    for (int number = 1; number <= count; ++number) {
      client.send(execute(number, usual(number), "a"));
      CHECK(read_reply(client).kind == "served");
    }
  }
  stop(price_node);
}

// Reads a whole request, so that closing the connection does not reset it, and answers it.
void answer_write(connection accepted) {
  const std::string head = accepted.take(4);
  const auto byte = [&head](std::size_t at) {
    return static_cast<std::size_t>(static_cast<std::uint8_t>(head[at]));
  };
  accepted.take(byte(1) | byte(2) << 8);
  accepted.take(body.size());
  accepted.send(whole_response());
}

// This process stands for the uwsgi server, too.
void send_keyed_writes(int count) {
  site s;
  std::atomic<bool> stopping = false;
  std::thread server([&] {
    while (!stopping) {
      if (s.server.waiting(20)) answer_write(s.server.accept());
    }
  });
  for (int i = 0; i < count; ++i)
    CHECK(starts_with(s.uwsgi(uwsgi_write("key" + std::to_string(i), body)).rest(), "HTTP/1.1 200 "));
  stopping = true;
  server.join();
  stop(*s.price_node);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view kind = argc == 3 ? argv[1] : "";
  const int count = argc == 3 ? std::atoi(argv[2]) : 0;
  if (count <= 0 || (kind != "reads" && kind != "keyed-writes")) {
    std::fprintf(stderr, "usage: marblewharf_request_cost_bench reads|keyed-writes COUNT\n");
    return 2;
  }
  if (kind == "reads") {
    send_reads(count);
  } else {
    send_keyed_writes(count);
  }
  return 0;
}
