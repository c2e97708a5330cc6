// A fleet of nine price nodes in three zones on loopback: membership, zones decided in common and calls kept
// near, with faults between the processes (ctest -L failover).
#include "../cluster/routed.hpp"
#include "membership/wire.hpp"

using namespace harness;
using namespace fleet_faults;

namespace {

void converges() {
  fleet f({.regions = {"r0", "r0", "r1"}});
  f.whole();
  std::this_thread::sleep_for(3s);  // past the start's grace: a member never heard of would count as gone now
  f.whole();
  CHECK(f.declared_out(f.all()) == 0);
  const std::string text = f.members_seen_by(4);
  CHECK(text.rfind("200 members follow\n" + f.address(4) + " z1 r0 self ", 0) == 0);
  CHECK(text.size() >= 4 && text.substr(text.size() - 4) == "EOF\n");
  CHECK(f.zones_seen_by(4).find("\nregion r0 in 2/2\nregion r1 in 1/1\nEOF\n") != std::string::npos);
}

// A whole zone killed at once: the others declare it out, and with it its region; restarted cold with the
// same addresses and new incarnations, it is back after the hold-down.
void zone_killed_and_restarted() {
  fleet f({.regions = {"r0", "r0", "r1"}});
  f.whole();
  for (const int i : f.members_of(2, 3)) f.kill(i);
  f.all_say(f.members_of(0, 2), 2, true);
  f.at(0).logged("failover: zone z2 declared out in common, epoch 1");
  CHECK(f.zones_seen_by(0).find("\nregion r1 out 0/1\n") != std::string::npos);
  for (const int i : f.members_of(2, 3)) f.start(i);
  f.whole();
  f.at(0).logged("failover: zone z2 declared back in common, epoch 2");
}

// One node killed and restarted with its address: known dead, then alive with a higher incarnation; its zone
// stays in.
void restarted_alone() {
  fleet f;
  f.whole();
  const auto incarnation = [&] {
    const std::string line = f.address(4) + " z1 r0 alive ";
    const std::string text = f.members_seen_by(0);
    const std::size_t at = text.find(line);
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + line.size()));
  };
  const auto before = incarnation();
  CHECK(before > 0);
  f.kill(4);
  f.member_says(0, f.address(4) + " z1 r0 dead");
  f.start(4);
  f.whole();
  CHECK(incarnation() > before);
  CHECK(f.declared_out(f.all()) == 0);
}

// The cut-off zone 2 holds no quorum and declares nobody out; the others declare it out, once.
void cut_off(bool both_ways) {
  fleet f;
  f.whole();
  for (const int other : {0, 1}) {
    f.relay->cut(2, other);
    if (both_ways) f.relay->cut(other, 2);
  }
  f.all_say(f.members_of(0, 2), 2, true);
  std::this_thread::sleep_for(2s);  // the cut-off side has had its looks and votes meanwhile
  for (const int i : f.members_of(2, 3))
    for (const int z : {0, 1})
      CHECK(f.zones_seen_by(i).find(f.zone_line(z, false) + " 0 ") != std::string::npos);
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);  // z2, once each
  f.relay->heal();
  f.whole();
}

// Zone 2 comes and goes every 500 ms for 8 s: declared out once, and not back before it has held still for
// the hold-down (2 s). Half a second is less than a suspicion takes: its members are alive all the while,
// only probes go unanswered.
void flapping() {
  fleet f({.hold_down = "2s"});
  f.whole();
  f.relay->cut_both_ways(2, 0);
  f.relay->cut_both_ways(2, 1);
  f.all_say(f.members_of(0, 2), 2, true);
  for (int i = 0; i < 8; ++i) {
    f.relay->heal();
    std::this_thread::sleep_for(500ms);
    f.relay->cut_both_ways(2, 0);
    f.relay->cut_both_ways(2, 1);
    std::this_thread::sleep_for(500ms);
    for (const int observer : {0, 5}) CHECK(f.says(observer, 2, true));
  }
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);
  f.relay->heal();
  f.whole();
  CHECK(f.declared_out(f.members_of(0, 2)) == 6);
  for (const int i : f.members_of(0, 2)) CHECK(figure(f.console(i), "fleet.declared_back") == 1);
}

// Two partitions at once: zone 2 is out by a verdict, then zones 0 and 1 lose each other too, so that nobody
// holds a quorum; then both heal in the same instant.
void two_partitions_heal_at_once() {
  fleet f;
  f.whole();
  f.relay->cut_both_ways(2, 0);
  f.relay->cut_both_ways(2, 1);
  f.all_say(f.members_of(0, 2), 2, true);
  f.relay->cut_both_ways(0, 1);
  f.member_says(0, f.address(3) + " z1 r0 dead");
  f.member_says(3, f.address(0) + " z0 r0 dead");
  std::this_thread::sleep_for(2s);
  CHECK(f.declared_out(f.members_of(0, 2)) == 6 && f.declared_out(f.members_of(2, 3)) == 0);
  f.relay->heal();
  f.whole();
  CHECK(f.declared_out(f.members_of(0, 2)) == 6 && f.declared_out(f.members_of(2, 3)) == 0);
}

// A fifth of all datagrams lost, a tenth sent twice, each delayed by up to 30 ms so that they overtake each
// other, for eight seconds: no zone is declared out.
void lossy() {
  fleet f;
  f.whole();
  f.relay->lose(0.2);
  f.relay->duplicate(0.1);
  f.relay->delay(30ms);
  std::this_thread::sleep_for(8s);
  CHECK(f.declared_out(f.all()) == 0);
  CHECK(f.relay->dropped() > 0);
  f.relay->lose(0);
  f.relay->duplicate(0);
  f.relay->delay(0ms);
  f.whole();
}

void send_datagram(int port, const std::string& bytes) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in a = address_of(port);
  CHECK(::sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a), sizeof a) ==
        static_cast<ssize_t>(bytes.size()));
  ::close(fd);
}

// Datagrams of another fleet, of a later version, and garbage: each counted apart, none disturbs the fleet.
void strangers_are_counted_and_dropped() {
  fleet f;
  f.whole();
  using namespace marblewharf::membership;
  // A member_update that member 1 is dead, in another fleet's name: believed, it would make member 0 say so.
  const message lie{message_kind::ping,
                    member_update{"127.0.0.9:1", "z0", "r0", 1, member_status::alive},
                    1,
                    "",
                    {member_update{f.address(1), "z0", "r0", 1'000'000'000'000'000, member_status::dead}},
                    {}};
  send_datagram(f.udp(0), encode("renten", lie));
  std::string later = encode("kurse", lie);
  later[7] = static_cast<char>(wire_version + 1);  // fixarray, fixstr "kurse" (6 bytes), then the version
  send_datagram(f.udp(0), later);
  send_datagram(f.udp(0), "GET / HTTP/1.0\r\n\r\n");
  f.wait([&] { return figure(f.console(0), "fleet.undecodable") == 1; }, 0);
  CHECK(figure(f.console(0), "fleet.foreign") == 1);
  CHECK(figure(f.console(0), "fleet.version") == 1);
  f.member_says(0, f.address(1) + " z0 r0 alive");
  CHECK(f.members_seen_by(0).find("127.0.0.9:1") == std::string::npos);
  f.whole();
}

// A whole zone replaced by second processes that run beside the first ones for longer than a suspicion takes,
// and a member whose first process is killed meanwhile: nobody is held dead, no zone is declared out, each
// successor comes in with a higher incarnation once the address is its own.
void replaced() {
  fleet f;
  f.whole();
  for (const int i : f.members_of(1, 2)) f.beside(i);
  const auto until = harness::clock::now() + 4s;
  while (harness::clock::now() < until) {
    for (const int console : {f.console(0), f.console(8), f.console_before(4)})
      CHECK(call(console, "show-members\n").find(" dead ") == std::string::npos);
    std::this_thread::sleep_for(50ms);
  }
  for (const int i : f.members_of(1, 2)) {
    CHECK(figure(f.console(i), "fleet.joined") == 0);
    f.leave(i, i == 4 ? SIGKILL : SIGTERM);
  }
  f.whole();
  for (const int i : f.members_of(1, 2)) f.at(i).logged("is this process's now");
  std::this_thread::sleep_for(3s);  // past the start's grace
  f.whole();
  CHECK(f.declared_out(f.all()) == 0);
}

// ---- Calls kept near --------------------------------------------------------------------------------------

// All well: every call stays in the zone. Its endpoints broken: the region takes them. The region's other
// zone declared out as well: the rest does.
void near_while_safe() {
  routed r;
  r.f->whole();
  CHECK(routed::sum(r.ask(60), 0, 3) == 60);
  for (std::size_t i = 0; i < 3; ++i)
    r.at[i]->change([](const peers::uwsgi_request&) {
      return peers::reaction{0us, peers::manner::reset, ""};
    });
  r.f->wait([&] { return routed::sum(r.ask(10, false), 0, 3) == 0; },
            0);  // some fail until all three are held out
  CHECK(routed::sum(r.ask(60), 3, 6) == 60);
  for (const int i : r.f->members_of(1, 2)) r.f->kill(i);
  r.f->all_say({0}, 1, true);
  CHECK(routed::sum(r.ask(60), 6, 9) == 60);
  CHECK(figure(r.f->console(0), "dependency.kurse.calls_rest") == 60);
}

// Cut off from the others, a zone keeps calling its own endpoints; nothing is declared out by it.
void cut_off_serves_on() {
  routed r;
  r.f->whole();
  r.f->relay->cut_both_ways(0, 1);
  r.f->relay->cut_both_ways(0, 2);
  r.f->member_says(0, r.f->address(3) + " z1 r0 dead");
  r.f->all_say(r.f->members_of(1, 3), 0, true);
  CHECK(routed::sum(r.ask(60), 0, 3) == 60);
  CHECK(r.f->declared_out(r.f->members_of(0, 1)) == 0);
  r.f->relay->heal();
  r.f->whole();
}

// A node paused past its suspicion timeout and resumed: nothing is routed to its place while it is suspected
// or dead; then it refutes with a higher incarnation, and calls go there again. Its zone, two of three alive,
// stays in.
void paused_and_resumed() {
  // Places by member: their addresses are known once a relay stands, so node 0 is started again with them.
  routed r;
  r.places.clear();
  for (int i = 0; i < 9; ++i) r.places += (i > 0 ? ", \"" : "\"") + r.f->address(i) + "\"";
  r.f->start(0);
  r.f->whole();
  // A call that this machine made slow keeps others away for some of `fade`: it is waited for, not counted at
  // once.
  const auto shares = [&] { return r.ask(30)[1] > 5; };
  r.f->wait(shares, 0);
  r.f->at(1).signal(SIGSTOP);
  r.f->member_says(0, r.f->address(1) + " z0 r0 suspect");
  CHECK(r.ask(60)[1] == 0);
  r.f->member_says(0, r.f->address(1) + " z0 r0 dead");
  CHECK(r.ask(60)[1] == 0);
  r.f->at(1).signal(SIGCONT);
  r.f->whole();
  r.f->wait(shares, 0);
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
  else if (name == "strangers")
    strangers_are_counted_and_dropped();
  else if (name == "cut_both_ways")
    cut_off(true);
  else if (name == "cut_one_way")
    cut_off(false);
  else if (name == "flapping")
    flapping();
  else if (name == "heal_at_once")
    two_partitions_heal_at_once();
  else if (name == "lossy")
    lossy();
  else if (name == "replaced")
    replaced();
  else if (name == "near")
    near_while_safe();
  else if (name == "cut_off_serves")
    cut_off_serves_on();
  else
    CHECK(false);
  std::printf("%s passed\n", name.c_str());
  return 0;
}
