// Logs one event of the two on the page.
inline void logs() {
  telemetry::log("drain", "notice to leave");
}
