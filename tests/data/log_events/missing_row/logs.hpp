// Logs two events, of which the page has one.
inline void logs() {
  telemetry::log("stop", "0 requests open");
  telemetry::log("drain", "notice to leave");
}
