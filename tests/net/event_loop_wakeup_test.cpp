// Guards against an event_loop_wakeup whose wake() from another thread does not end the reactor's poll, so
// that the next step runs only when the poll times out after 30 s.
#include "net/event_loop_wakeup.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

#include "../check.hpp"
#include "net/reactor.hpp"

using namespace marblewharf;
using namespace std::chrono_literals;

int main() {
  limits bounds;
  // Without a wake-up the next step runs only after this time.
  bounds.max_poll_wait = std::chrono::seconds(30);
  net::reactor reactor(bounds);
  net::event_loop_wakeup wakeup(reactor);
  std::atomic<int> steps = 0, wakeups = 0;
  const auto started_at = std::chrono::steady_clock::now();
  std::thread waking_thread([&] {
    for (int i = 0; i < 3; ++i) {
      while (steps.load() <= i) std::this_thread::sleep_for(1ms);  // wait until the reactor is polling again
      std::this_thread::sleep_for(50ms);
      ++wakeups;
      wakeup.wake();
    }
  });
  reactor.serve([&]() -> net::time_point {
    ++steps;
    if (wakeups.load() >= 3) reactor.stop();
    return net::steady_now() + std::chrono::hours(1);
  });
  waking_thread.join();
  const auto elapsed = std::chrono::steady_clock::now() - started_at;
  std::printf("3 wake-ups in %.3f s\n", std::chrono::duration<double>(elapsed).count());
  CHECK(elapsed < 20s);  // far below the 90 s that three polls take without wake-ups
  std::printf("event loop wake-up test passed\n");
  return 0;
}
