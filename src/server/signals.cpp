#include "server/signals.hpp"

#include <csignal>
#include <initializer_list>

namespace marblewharf::server {
namespace {

volatile std::sig_atomic_t leave_noted = 0;
volatile std::sig_atomic_t counters_noted = 0;
volatile std::sig_atomic_t reload_noted = 0;

void on_signal(int which) {
  if (which == SIGUSR1) {
    counters_noted = 1;
  } else if (which == SIGHUP) {
    reload_noted = 1;
  } else {
    leave_noted = 1;
  }
}

// Taken back before the request is carried out: a signal that comes meanwhile is a new request.
bool take(volatile std::sig_atomic_t& noted) {
  if (noted == 0) return false;
  noted = 0;
  return true;
}

}  // namespace

void catch_signals() {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int heeded : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) std::signal(heeded, on_signal);
}

bool told_to_leave() {
  return leave_noted != 0;
}

bool take_reload_request() {
  return take(reload_noted);
}

bool take_counters_request() {
  return take(counters_noted);
}

}  // namespace marblewharf::server
