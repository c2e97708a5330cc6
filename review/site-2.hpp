// The settings of small deployments after the two sites, with the values of the pages.
#pragma once

#include "standins-2.hpp"

namespace review {

struct site_options {
  int listen_port = 0, runtime_port = 0, catalog_port = 0, console_port = 0;
  bool tenants = true;  // false: the settings list no tenants
};

// fondspreise-muenchen: six cores, reads that are safe to repeat. kurs-meldung is keyed ("Their settings may
// give a class another effect than the site does").
inline std::string munich_config(const site_options& site) {
  const auto quoted = [](int port) { return "\"" + address(port) + "\""; };
  return "{\"name\":\"n1\",\"listen\":" + quoted(site.listen_port) +
         ",\"runtime\":" + quoted(site.runtime_port) + ",\"directory\":" + quoted(site.catalog_port) +
         ",\"console\":" + quoted(site.console_port) +
         ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":4200,"
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"settings\":{"
         "\"Bounds\":{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":60683,\"MaxRetryAfter\":1000000000,"
         "\"RetryAfter\":true},\"Callers\":{\"MarksRetry\":false},\"Classes\":["
         "{\"Name\":\"kurs-abfrage\",\"Effect\":\"safe\",\"Credit\":1.0,\"LateValue\":0.0,"
         "\"Objective\":2900000000,\"Deadline\":7300000000,\"Window\":5000000000},"
         "{\"Name\":\"kurs-meldung\",\"Effect\":\"keyed\",\"Credit\":3.0,\"LateValue\":0.0,"
         "\"Objective\":1500000000,\"Deadline\":3500000000,\"Window\":5000000000}],"
         "\"Extra\":{\"Below\":\"silent\",\"CallsOver\":5000000000,\"ClassCalls\":[false,false],"
         "\"Cold\":false,\"FairCalls\":0.0,\"Fresh\":0,"
         "\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"Halt\":\"pause\","
         "\"Heeded\":1000000000,\"KbPerKey\":135.5,\"KeepaliveMax\":30000000000,\"NCores\":6,"
         "\"PassesDeadline\":false,\"RamKb\":23562.0,\"RealChecks\":false,\"RunFactor\":8.0,"
         "\"Say\":\"silent\",\"TellsGone\":true,\"Upstreams\":3,\"WorthWithout\":[0.0,0.0]},"
         "\"Family\":\"server\",\"GroupSize\":10,\"OverShareWorth\":0.05,"
         "\"Safety\":{\"AnswerSlack\":80000000,\"Cold\":18000000000,\"DrainGrace\":2500000000,"
         "\"Fall\":1500000000,\"OverloadFactor\":5.0,\"StartCapacity\":0.21}," +
         std::string(site.tenants ? "\"Tenants\":[{\"Name\":\"isar-invest\",\"QuotaPerS\":42.0,"
                                    "\"Share\":0.5},{\"Name\":\"donau-fonds\",\"QuotaPerS\":40.0,"
                                    "\"Share\":0.5}],"
                                  : "") +
         "\"Tick\":2000000,\"WorthBy\":\"work\"}}";
}

// kingston-bookings: searches that are safe to repeat, bookings with a key. Requests tell how long their
// caller waits; nobody tells that a caller has gone.
inline std::string kingston_config(const site_options& site) {
  const auto quoted = [](int port) { return "\"" + address(port) + "\""; };
  return "{\"name\":\"n1\",\"listen\":" + quoted(site.listen_port) +
         ",\"runtime\":" + quoted(site.runtime_port) + ",\"directory\":" + quoted(site.catalog_port) +
         ",\"console\":" + quoted(site.console_port) +
         ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":4400,"
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"settings\":{"
         "\"Bounds\":{\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":60000,\"MaxRetryAfter\":1000000000,"
         "\"RetryAfter\":true},\"Callers\":{\"MarksRetry\":false},\"Classes\":["
         "{\"Name\":\"slot-search\",\"Effect\":\"safe\",\"Credit\":1.0,\"LateValue\":0.0,"
         "\"Objective\":1900000000,\"Deadline\":4500000000,\"Window\":5000000000},"
         "{\"Name\":\"book-slot\",\"Effect\":\"keyed\",\"Credit\":3.0,\"LateValue\":0.0,"
         "\"Objective\":1100000000,\"Deadline\":3700000000,\"Window\":11163000000}],"
         "\"Extra\":{\"Below\":\"silent\",\"CallsOver\":5000000000,\"ClassCalls\":[false,false],"
         "\"Cold\":false,\"FairCalls\":0.0,\"Fresh\":0,"
         "\"Gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"Halt\":\"drop\","
         "\"Heeded\":1000000000,\"KbPerKey\":135.5,\"KeepaliveMax\":30000000000,\"NCores\":6,"
         "\"PassesDeadline\":true,\"RamKb\":60000.0,\"RealChecks\":false,\"RunFactor\":4.0,"
         "\"Say\":\"weight\",\"TellsGone\":false,\"Upstreams\":3,\"WorthWithout\":[0.0,0.0]},"
         "\"Family\":\"server\",\"GroupSize\":11,\"OverShareWorth\":0.05,"
         "\"Safety\":{\"AnswerSlack\":60000000,\"Cold\":18000000000,\"DrainGrace\":2000000000,"
         "\"Fall\":2000000000,\"OverloadFactor\":5.0,\"StartCapacity\":0.21}," +
         std::string(site.tenants ? "\"Tenants\":[{\"Name\":\"desk-north\",\"QuotaPerS\":100.0,"
                                    "\"Share\":0.5},{\"Name\":\"desk-east\",\"QuotaPerS\":100.0,"
                                    "\"Share\":0.5}],"
                                  : "") +
         "\"Tick\":5000000,\"WorthBy\":\"request\"}}";
}

// The fields of try `number`. `key`: 32 hexadecimal digits, of a keyed class alone; `team`: empty at a site
// without tenants.
inline harness::fields fields_of(int number, const std::string& verb, const std::string& key = {},
                                 const std::string& team = "isar-invest") {
  harness::fields f = {{"verb", verb},
                       {"txn", harness::label(number)},
                       {"door", std::to_string(unix_ms())},
                       {"lb", "1"},
                       {"team", team},
                       {"cpu", "20.00"},
                       {"ram", "24.5"},
                       {"standing", "0.6250"}};
  if (!key.empty()) f.emplace_back("unique", key);
  return f;
}

inline std::string key_of(int number) {
  return harness::label(number) + harness::label(~number);
}

}  // namespace review
