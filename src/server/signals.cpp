#include "server/signals.hpp"

#include <csignal>
#include <initializer_list>

namespace marblewharf::server {
namespace {

volatile std::sig_atomic_t shutdown_pending = 0;
volatile std::sig_atomic_t counters_pending = 0;
volatile std::sig_atomic_t reload_pending = 0;

void on_signal(int signal_number) {
  if (signal_number == SIGUSR1) {
    counters_pending = 1;
  } else if (signal_number == SIGHUP) {
    reload_pending = 1;
  } else {
    shutdown_pending = 1;
  }
}

// Returns and clears the flag. The caller acts on the request afterwards, so that a signal that arrives in
// the meantime counts as a new request.
bool consume(volatile std::sig_atomic_t& pending) {
  if (pending == 0) return false;
  pending = 0;
  return true;
}

}  // namespace

void install_signal_handlers() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int signal_number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) std::signal(signal_number, on_signal);
}

bool shutdown_requested() {
  return shutdown_pending != 0;
}

bool consume_reload_request() {
  return consume(reload_pending);
}

bool consume_counters_request() {
  return consume(counters_pending);
}

}  // namespace marblewharf::server
