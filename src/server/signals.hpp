// The signals that the process handles. A handler only records the arrival of its signal; the reactor's
// thread polls the record. The state is process-wide, and handlers may run on any thread.
#pragma once

namespace marblewharf::server {

// Installs the handlers and ignores SIGPIPE. Has to be called first in main(): until then SIGHUP and SIGUSR1
// terminate the process.
void install_signal_handlers();

// Whether SIGTERM or SIGINT, the shutdown notice, has arrived. Once true, the result stays true.
bool shutdown_requested();

// Whether SIGHUP has arrived since the last call: the configuration has to be reloaded.
bool consume_reload_request();
// Whether SIGUSR1 has arrived since the last call: the counters have to be logged.
bool consume_counters_request();

}  // namespace marblewharf::server
