// The waker brings the reactor out of a long poll from another thread, without a Unix socket (ctest -L ops).
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
  bounds.longest_poll = std::chrono::seconds(30);  // without a wake the step comes only after this
  net::reactor reactor(bounds);
  net::event_loop_wakeup event_loop_wakeup(reactor);
  std::atomic<int> steps = 0, woken = 0;
  const auto begun = std::chrono::steady_clock::now();
  std::thread other([&] {
    for (int i = 0; i < 3; ++i) {
      while (steps.load() <= i) std::this_thread::sleep_for(1ms);  // the reactor waits in its poll
      std::this_thread::sleep_for(50ms);
      ++woken;
      event_loop_wakeup.wake();
    }
  });
  reactor.serve([&]() -> net::time_point {
    ++steps;
    if (woken.load() >= 3) reactor.stop();
    return net::steady_now() + std::chrono::hours(1);
  });
  other.join();
  const auto took = std::chrono::steady_clock::now() - begun;
  std::printf("3 wakes in %.3f s\n", std::chrono::duration<double>(took).count());
  CHECK(took < 20s);  // far under the 90 s that three polls would last without the waker
  std::printf("waker passed\n");
  return 0;
}
