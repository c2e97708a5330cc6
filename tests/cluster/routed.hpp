// A cluster of nine nodes in three zones, with a fake upstream endpoint next to each member. Node 0 calls the
// upstream; the tests check which endpoints receive the calls.
#pragma once

#include "../net/uwsgi_peer.hpp"
#include "../peers/uwsgi_server.hpp"
#include "fleet.hpp"

namespace cluster_faults {

// Node 0 calls the dependency `kurse`, which has one endpoint per member.
struct locality_cluster {
  locality_cluster() {
    for (int i = 0; i < 9; ++i)
      at.push_back(std::make_unique<peers::uwsgi_server>([](const peers::uwsgi_request&) {
        return peers::reaction{0us, peers::manner::whole, "101.42"};
      }));
    test_cluster_options options;
    options.regions = {"r0", "r0", "r1"};
    // The places are zones, because the addresses of the members are not known before the relay is running.
    options.operators = [this](int i) { return i == 0 ? front() : std::string(); };
    f = std::make_unique<test_cluster>(options);
  }
  // The sections of the operator's file of node 0 for the uwsgi front and the dependency.
  std::string front() const {
    std::ostringstream text;
    text << "uwsgi {\n listen = \"" << own_host() << ":" << port << "\"\n servers = {\"" << at[0]->address()
         << "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\ndependency kurse {\n endpoints = {";
    for (std::size_t i = 0; i < at.size(); ++i) text << (i > 0 ? ", " : "") << '"' << at[i]->address() << '"';
    text << "}\n places = {" << places
         << "}\n budget = 2s\n hedge_quantile = 0\n out = 60s\n fade = 200ms\n}\n"
         << "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n"
         << "part kurse {\n class = kurs-abfrage\n from = kurse\n required = yes\n}\n";
    return text.str();
  }
  // Sends `request_count` requests one after another and returns the number of calls that each of the nine
  // endpoints received. Checks that every request succeeds if `expect_success` is true.
  std::vector<int> count_calls(int request_count, bool expect_success = true) {
    std::vector<int> calls_before, calls;
    for (const auto& endpoint : at) calls_before.push_back(endpoint->requests);
    for (int i = 0; i < request_count; ++i) {
      connection client = connection::to(port);
      client.send(uwsgi_peer::packet({{"PATH_INFO", "/kurs/liste"},
                                      {"REMOTE_USER", "isar-invest"},
                                      {"QUERY_STRING", "q=" + std::to_string(i)},
                                      {"CONTENT_LENGTH", "2"}},
                                     "in"));
      CHECK(client.rest().find("101.42") != std::string::npos || !expect_success);
    }
    for (std::size_t i = 0; i < at.size(); ++i) calls.push_back(at[i]->requests - calls_before[i]);
    return calls;
  }
  // The sum of the calls of the endpoints `first` to `end` - 1.
  static int sum(const std::vector<int>& calls, int first, int end) {
    int total = 0;
    for (int i = first; i < end; ++i) total += calls[static_cast<std::size_t>(i)];
    return total;
  }

  int port = free_port();
  std::string places = "z0, z0, z0, z1, z1, z1, z2, z2, z2";
  std::vector<std::unique_ptr<peers::uwsgi_server>> at;
  std::unique_ptr<test_cluster> f;
};

}  // namespace cluster_faults
