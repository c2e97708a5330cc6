// The signals that the process handles. A handler only records that its signal came; the reactor's thread
// polls for it. Process-wide state: the handlers may run on any thread.
#pragma once

namespace marblewharf::server {

// Installs the handlers and ignores SIGPIPE. To be called before anything else: until then SIGHUP and SIGUSR1
// end the process.
void install_signal_handlers();

// Whether SIGTERM or SIGINT came: the shutdown notice. Stays true.
bool shutdown_requested();

// Whether SIGHUP came since the last call: the configuration is to be read again.
bool consume_reload_request();
// Whether SIGUSR1 came since the last call: the counters are to be logged.
bool consume_counters_request();

}  // namespace marblewharf::server
