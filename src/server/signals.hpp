// The signals that the process heeds. A handler only notes that one came; the reactor's thread asks for it.
#pragma once

namespace marblewharf::server {

// From now on signals are noted. To be called before anything else: until then SIGHUP and SIGUSR1 end the
// process.
void catch_signals();

// SIGTERM or SIGINT came: the notice to leave. It stands once it came.
bool told_to_leave();

// Whether SIGHUP, or SIGUSR1, came since the last call.
bool take_reload_request();
bool take_counters_request();

}  // namespace marblewharf::server
