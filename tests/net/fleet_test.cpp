// A cluster of nine price nodes in three zones on loopback: membership, majority votes on zones, and
// locality-aware calls, with network faults between the processes (ctest -L failover).
#include "../cluster/routed.hpp"
#include "membership/wire.hpp"

using namespace harness;
using namespace cluster_faults;

namespace {

// Nine nodes that start together find each other and consider all members alive, and no zone is voted out.
void converges() {
  test_cluster f({.regions = {"r0", "r0", "r1"}});
  f.wait_until_healthy();
  // Waits out the grace period after a start: a member that never answered would be considered dead now.
  std::this_thread::sleep_for(3s);
  f.wait_until_healthy();
  CHECK(f.declared_out(f.all()) == 0);
  const std::string text = f.members_seen_by(4);
  CHECK(text.rfind("200 members follow\n" + f.address(4) + " z1 r0 self ", 0) == 0);
  CHECK(text.size() >= 4 && text.substr(text.size() - 4) == "EOF\n");
  CHECK(f.zones_seen_by(4).find("\nregion r0 in 2/2\nregion r1 in 1/1\nEOF\n") != std::string::npos);
}

// All nodes of a zone are killed at once: the others vote the zone out, and its region with it. After a
// restart with the same addresses and new incarnations the zone is voted in again once the hold-down has
// passed.
void zone_killed_and_restarted() {
  test_cluster f({.regions = {"r0", "r0", "r1"}});
  f.wait_until_healthy();
  for (const int i : f.members_of(2, 3)) f.kill(i);
  f.wait_for_zone(f.members_of(0, 2), 2, true);
  f.at(0).logged("failover: zone z2 decided out by majority vote, epoch 1");
  CHECK(f.zones_seen_by(0).find("\nregion r1 out 0/1\n") != std::string::npos);
  for (const int i : f.members_of(2, 3)) f.start(i);
  f.wait_until_healthy();
  f.at(0).logged("failover: zone z2 decided in by majority vote, epoch 2");
}

// One node is killed and restarted on the same address: it is considered dead, then alive with a higher
// incarnation. Its zone is not voted out.
void restarted_alone() {
  test_cluster f;
  f.wait_until_healthy();
  const auto incarnation = [&] {
    const std::string line = f.address(4) + " z1 r0 alive ";
    const std::string text = f.members_seen_by(0);
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + line.size()));
  };
  const auto first_incarnation = incarnation();
  CHECK(first_incarnation > 0);
  f.kill(4);
  f.wait_for_member_line(0, f.address(4) + " z1 r0 dead");
  f.start(4);
  f.wait_until_healthy();
  CHECK(incarnation() > first_incarnation);
  CHECK(f.declared_out(f.all()) == 0);
}

// Zone 2 is partitioned from the others: it has no quorum and votes no zone out; the other two vote it out
// exactly once. With `both_ways` false only the datagrams from zone 2 to the others are lost.
void zone_partitioned(bool both_ways) {
  test_cluster f;
  f.wait_until_healthy();
  for (const int other : {0, 1}) {
    f.relay->cut(2, other);
    if (both_ways) f.relay->cut(other, 2);
  }
  f.wait_for_zone(f.members_of(0, 2), 2, true);
  std::this_thread::sleep_for(2s);  // the partitioned zone has voted by then, without a quorum
  for (const int i : f.members_of(2, 3))
    for (const int z : {0, 1})
      CHECK(f.zones_seen_by(i).find(f.zone_line(z, false) + " 0 ") != std::string::npos);
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);  // one vote-out of z2 at each of the six nodes
  f.relay->heal();
  f.wait_until_healthy();
}

// Zone 2 is reachable and unreachable in turn, 500 ms each, for 8 s: it is voted out once, and is voted in
// again only after it has been stable for the hold-down (2 s). 500 ms is less than the suspicion timeout, so
// that its members stay alive and only probes fail.
void flapping_zone() {
  test_cluster f({.hold_down = "2s"});
  f.wait_until_healthy();
  f.relay->cut_both_ways(2, 0);
  f.relay->cut_both_ways(2, 1);
  f.wait_for_zone(f.members_of(0, 2), 2, true);
  for (int i = 0; i < 8; ++i) {
    f.relay->heal();
    std::this_thread::sleep_for(500ms);
    f.relay->cut_both_ways(2, 0);
    f.relay->cut_both_ways(2, 1);
    std::this_thread::sleep_for(500ms);
    for (const int observer : {0, 5}) CHECK(f.sees_zone(observer, 2, true));
  }
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);
  f.relay->heal();
  f.wait_until_healthy();
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);
  for (const int i : f.members_of(0, 2)) CHECK(statistic(f.console(i), "fleet.declared_back") == 1);
}

// Zone 2 is partitioned and voted out, then zones 0 and 1 are partitioned from each other too, so that no
// side has a quorum; both partitions heal at the same instant. No further zone may be voted out.
void two_partitions_heal_at_once() {
  test_cluster f;
  f.wait_until_healthy();
  f.relay->cut_both_ways(2, 0);
  f.relay->cut_both_ways(2, 1);
  f.wait_for_zone(f.members_of(0, 2), 2, true);
  f.relay->cut_both_ways(0, 1);
  f.wait_for_member_line(0, f.address(3) + " z1 r0 dead");
  f.wait_for_member_line(3, f.address(0) + " z0 r0 dead");
  std::this_thread::sleep_for(2s);
  CHECK(f.declared_out(f.members_of(0, 2)) == 6 && f.declared_out(f.members_of(2, 3)) == 0);
  f.relay->heal();
  f.wait_until_healthy();
  CHECK(f.declared_out(f.members_of(0, 2)) == 6 && f.declared_out(f.members_of(2, 3)) == 0);
}

// For eight seconds a fifth of all datagrams is lost, a tenth is duplicated, and each is delayed by up to 30
// ms, so that they are reordered: no zone is voted out.
void lossy_network() {
  test_cluster f;
  f.wait_until_healthy();
  f.relay->lose(0.2);
  f.relay->duplicate(0.1);
  f.relay->delay(30ms);
  std::this_thread::sleep_for(8s);
  CHECK(f.declared_out(f.all()) == 0);
  CHECK(f.relay->dropped() > 0);
  f.relay->lose(0);
  f.relay->duplicate(0);
  f.relay->delay(0ms);
  f.wait_until_healthy();
}

void send_datagram(int port, const std::string& bytes) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  CHECK(::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a) ==
        static_cast<ssize_t>(bytes.size()));
  ::close(fd);
}

// Datagrams of another cluster, of a later wire version and with invalid bytes are counted separately and
// change nothing in the cluster.
void unknown_datagrams_are_counted_and_dropped() {
  test_cluster f;
  f.wait_until_healthy();
  using namespace marblewharf::membership;
  // Reports member 1 as dead. Member 0 must ignore the report under another cluster's name or a later
  // version.
  const message false_report{
      message_kind::ping,
      member_update{"127.0.0.9:1", "z0", "r0", 1, member_status::alive},
      1,
      "",
      {member_update{f.address(1), "z0", "r0", 1'000'000'000'000'000, member_status::dead}},
      {}};
  send_datagram(f.udp(0), encode("renten", false_report));
  std::string later_version = encode("kurse", false_report);
  // Byte 7 is the version, after the fixarray and the fixstr "kurse" (6 bytes).
  later_version[7] = static_cast<char>(wire_version + 1);
  send_datagram(f.udp(0), later_version);
  send_datagram(f.udp(0), "GET / HTTP/1.0\r\n\r\n");
  f.wait_until([&] { return statistic(f.console(0), "fleet.undecodable") == 1; }, 0);
  CHECK(statistic(f.console(0), "fleet.foreign") == 1);
  CHECK(statistic(f.console(0), "fleet.version") == 1);
  f.wait_for_member_line(0, f.address(1) + " z0 r0 alive");
  CHECK(f.members_seen_by(0).find("127.0.0.9:1") == std::string::npos);
  f.wait_until_healthy();
}

// Hot restart of all nodes of a zone, with both processes of a node running for longer than the suspicion
// timeout and one first process killed: no member is declared dead and no zone is voted out. Each second
// process joins with a higher incarnation once it has bound the address.
void zone_hot_restarted() {
  test_cluster f;
  f.wait_until_healthy();
  for (const int i : f.members_of(1, 2)) f.start_replacement(i);
  const auto until = harness::clock::now() + 4s;
  while (harness::clock::now() < until) {
    for (const int console : {f.console(0), f.console(8), f.replaced_console(4)})
      CHECK(call(console, "show-members\n").find(" dead ") == std::string::npos);
    std::this_thread::sleep_for(50ms);
  }
  for (const int i : f.members_of(1, 2)) {
    CHECK(statistic(f.console(i), "fleet.joined") == 0);
    f.end_replaced(i, i == 4 ? SIGKILL : SIGTERM);
  }
  f.wait_until_healthy();
  for (const int i : f.members_of(1, 2)) f.at(i).logged("is now bound by this process");
  std::this_thread::sleep_for(3s);  // past the grace period after a start
  f.wait_until_healthy();
  CHECK(f.declared_out(f.all()) == 0);
}

// ---- Locality ---------------------------------------------------------------------------------------------

// Calls stay in the caller's zone while its endpoints are healthy. When they fail, calls go to the other zone
// of the region; when that zone is voted out, calls go to the other region.
void calls_prefer_the_nearest_locality() {
  locality_cluster r;
  r.f->wait_until_healthy();
  CHECK(locality_cluster::sum(r.count_calls(60), 0, 3) == 60);
  for (std::size_t i = 0; i < 3; ++i)
    r.at[i]->change([](const peers::uwsgi_request&) {
      return peers::reaction{0us, peers::manner::reset, ""};
    });
  r.f->wait_until([&] { return locality_cluster::sum(r.count_calls(10, false), 0, 3) == 0; },
                  0);  // some calls fail until all three endpoints are ejected
  CHECK(locality_cluster::sum(r.count_calls(60), 3, 6) == 60);
  for (const int i : r.f->members_of(1, 2)) r.f->kill(i);
  r.f->wait_for_zone({0}, 1, true);
  CHECK(locality_cluster::sum(r.count_calls(60), 6, 9) == 60);
  CHECK(statistic(r.f->console(0), "dependency.kurse.calls_rest") == 60);
}

// A zone that is partitioned from the others keeps calling its own endpoints and votes no zone out.
void partitioned_zone_keeps_serving() {
  locality_cluster r;
  r.f->wait_until_healthy();
  r.f->relay->cut_both_ways(0, 1);
  r.f->relay->cut_both_ways(0, 2);
  r.f->wait_for_member_line(0, r.f->address(3) + " z1 r0 dead");
  r.f->wait_for_zone(r.f->members_of(1, 3), 0, true);
  CHECK(locality_cluster::sum(r.count_calls(60), 0, 3) == 60);
  CHECK(r.f->declared_out(r.f->members_of(0, 1)) == 0);
  r.f->relay->heal();
  r.f->wait_until_healthy();
}

// A node is paused past its suspicion timeout and resumed: no calls go to the endpoint next to it while it is
// suspect or dead. It then refutes the report with a higher incarnation, and calls go there again. Its zone
// is not voted out, because two of its three members are alive.
void paused_and_resumed() {
  // The places of the endpoints are member addresses here. They are known only after the relay has started,
  // so that node 0 is restarted with them.
  locality_cluster r;
  r.places.clear();
  for (int i = 0; i < 9; ++i) r.places += (i > 0 ? ", \"" : "\"") + r.f->address(i) + "\"";
  r.f->start(0);
  r.f->wait_until_healthy();
  // A call that is slow on a busy machine reduces the endpoint's share of calls for part of `fade`, so that
  // the test waits until the endpoint gets its share instead of checking one sample.
  const auto endpoint_has_its_share = [&] { return r.count_calls(30)[1] > 5; };
  r.f->wait_until(endpoint_has_its_share, 0);
  r.f->at(1).signal(SIGSTOP);
  r.f->wait_for_member_line(0, r.f->address(1) + " z0 r0 suspect");
  CHECK(r.count_calls(60)[1] == 0);
  r.f->wait_for_member_line(0, r.f->address(1) + " z0 r0 dead");
  CHECK(r.count_calls(60)[1] == 0);
  r.f->at(1).signal(SIGCONT);
  r.f->wait_until_healthy();
  r.f->wait_until(endpoint_has_its_share, 0);
  CHECK(r.f->declared_out(r.f->all()) == 0);
}

}  // namespace

int main(int, char** argv) {
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed()));
  const std::string name = argv[1] != nullptr ? argv[1] : "";
  if (name == "converges")
    converges();
  else if (name == "zone_killed")
    zone_killed_and_restarted();
  else if (name == "restarted_alone")
    restarted_alone();
  else if (name == "paused")
    paused_and_resumed();
  else if (name == "unknown_members")
    unknown_datagrams_are_counted_and_dropped();
  else if (name == "cut_both_ways")
    zone_partitioned(true);
  else if (name == "cut_one_way")
    zone_partitioned(false);
  else if (name == "flapping")
    flapping_zone();
  else if (name == "heal_at_once")
    two_partitions_heal_at_once();
  else if (name == "lossy")
    lossy_network();
  else if (name == "zone_hot_restarted")
    zone_hot_restarted();
  else if (name == "nearest_locality")
    calls_prefer_the_nearest_locality();
  else if (name == "partitioned_zone_serves")
    partitioned_zone_keeps_serving();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
