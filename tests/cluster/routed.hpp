// A cluster of nine nodes in three zones whose node 0 calls a fake upstream beside each member: where its
// calls go.
#pragma once

#include "../net/uwsgi_peer.hpp"
#include "../peers/uwsgi_server.hpp"
#include "fleet.hpp"

namespace cluster_faults {

// Node 0 calls the upstream `kurse`, which has an endpoint beside each of the nine members.
struct locality_cluster {
  locality_cluster() {
    for (int i = 0; i < 9; ++i)
      at.push_back(std::make_unique<peers::uwsgi_server>([](const peers::uwsgi_request&) {
        return peers::reaction{0us, peers::manner::whole, "101.42"};
      }));
    test_cluster_options o;
    o.regions = {"r0", "r0", "r1"};
    // Address of a member known only once the relay is up: the places are zones here, members where
    // `by_member`.
    o.operators = [this](int i) { return i == 0 ? front() : std::string(); };
    f = std::make_unique<test_cluster>(o);
  }
  std::string front() const {
    std::ostringstream o;
    o << "uwsgi {\n listen = \"" << own_host() << ":" << port << "\"\n servers = {\"" << at[0]->address()
      << "\"}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\ndependency kurse {\n endpoints = {";
    for (std::size_t i = 0; i < at.size(); ++i) o << (i > 0 ? ", " : "") << '"' << at[i]->address() << '"';
    o << "}\n places = {" << places << "}\n budget = 2s\n hedge_quantile = 0\n out = 60s\n fade = 200ms\n}\n"
      << "class kurs-abfrage {\n uwsgi_values = {\"/kurs/liste\"}\n}\n"
      << "part kurse {\n class = kurs-abfrage\n from = kurse\n required = yes\n}\n";
    return o.str();
  }
  // Sends `n` requests one after the other, and returns the calls that each of the nine endpoints received.
  std::vector<int> count_calls(int n, bool all_well = true) {
    std::vector<int> before, got;
    for (const auto& s : at) before.push_back(s->requests);
    for (int i = 0; i < n; ++i) {
      connection c = connection::to(port);
      c.send(uwsgi_peer::packet({{"PATH_INFO", "/kurs/liste"},
                                 {"REMOTE_USER", "isar-invest"},
                                 {"QUERY_STRING", "q=" + std::to_string(i)},
                                 {"CONTENT_LENGTH", "2"}},
                                "in"));
      CHECK(c.rest().find("101.42") != std::string::npos || !all_well);
    }
    for (std::size_t i = 0; i < at.size(); ++i) got.push_back(at[i]->requests - before[i]);
    return got;
  }
  static int sum(const std::vector<int>& v, int from, int to) {
    int n = 0;
    for (int i = from; i < to; ++i) n += v[static_cast<std::size_t>(i)];
    return n;
  }

  int port = free_port();
  std::string places = "z0, z0, z0, z1, z1, z1, z2, z2, z2";
  std::vector<std::unique_ptr<peers::uwsgi_server>> at;
  std::unique_ptr<test_cluster> f;
};

}  // namespace cluster_faults
