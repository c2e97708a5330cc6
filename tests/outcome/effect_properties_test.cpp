// Property test: an effect that observes a simulated world in any order never concludes that a request did
// not run if one of its starts has taken effect or still may.
#include <rapidcheck.h>

#include <array>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "outcome/effect.hpp"

using namespace marblewharf;
using namespace marblewharf::outcome;

namespace {

enum class happening {
  start_at_first,  // the node sends a start, to one server or the other
  start_at_second,
  arrive,           // a start on its way arrives
  connection_loss,  // the connection breaks; starts on their way arrive or are lost
  take_effect,
  report_end,
  server_restart,  // the run ends with the process, without a report
  stop,            // a stop has no effect
  ask_first,       // a server is asked for the request and answers truthfully
  ask_second,
  replace_node,  // the node's successor knows the durable intent only
};
constexpr int happenings = static_cast<int>(happening::replace_node) + 1;

struct server {
  std::string name;
  std::uint64_t incarnation = 0;
  bool on_the_way = false;  // a start was sent and has neither arrived nor got lost
  bool run_open = false;
  bool effect = false;
};

// The world and the node in it. An unsafe request is sent again only where no start may have arrived.
class world {
 public:
  explicit world(bool may_run_twice) : may_run_twice_(may_run_twice) {}

  void apply(happening what, bool coin) {
    switch (what) {
      case happening::start_at_first: start(servers_[0]); break;
      case happening::start_at_second: start(servers_[1]); break;
      case happening::arrive: arrive(); break;
      case happening::connection_loss: lose_connection(coin); break;
      case happening::take_effect: take_effect(); break;
      case happening::report_end: report_end(); break;
      case happening::server_restart: restart(servers_[coin ? 1 : 0]); break;
      case happening::stop: observed_.apply({event::stop_without_effect, origin_of(servers_[0])}); break;
      case happening::ask_first: ask(servers_[0]); break;
      case happening::ask_second: ask(servers_[1]); break;
      case happening::replace_node: replace_node(); break;
    }
  }

  void check() const {
    bool may_take_effect = false;
    for (const server& each : servers_)
      may_take_effect = may_take_effect || each.on_the_way || each.run_open || each.effect;
    const bool freed = disposition_of(observed_.conclusion()) == key_disposition::release ||
                       observed_.inquiry_conclusion() == inquiry_outcome::never_ran;
    RC_ASSERT(!(freed && may_take_effect));
    if (!may_run_twice_) RC_ASSERT(effects_ <= 1);
  }

 private:
  origin origin_of(const server& at) const { return {{at.name, at.incarnation}, connection_}; }

  void start(server& to) {
    if (observed_.may_have_started() && !may_run_twice_) return;
    if (observed_.state() == effect_state::failed_before_effect) observed_ = effect();
    if (observed_.apply({event::start_sent, origin_of(to)})) to.on_the_way = true;
  }
  void arrive() {
    for (server& each : servers_) each.run_open = std::exchange(each.on_the_way, false) || each.run_open;
  }
  void lose_connection(bool arrives) {
    for (server& each : servers_) {
      each.run_open = (std::exchange(each.on_the_way, false) && arrives) || each.run_open;
      observed_.apply({event::connection_lost, origin_of(each)});
    }
    ++connection_;
  }
  void take_effect() {
    for (server& each : servers_) {
      if (!each.run_open || each.effect) continue;
      each.effect = true;
      ++effects_;
    }
  }
  void report_end() {
    for (server& each : servers_) {
      if (each.run_open && each.effect && observed_.apply({event::run_succeeded, origin_of(each)}))
        each.run_open = false;
    }
  }
  void restart(server& restarted) {
    observed_.apply({event::server_restarted, origin_of(restarted)});
    restarted.run_open = false;
    ++restarted.incarnation;
  }
  void ask(const server& asked) {
    if (!asked.effect && !asked.run_open && !asked.on_the_way)
      observed_.apply({event::not_run, origin_of(asked)});
  }
  // Only requests that may not run twice have an intent.
  void replace_node() {
    if (may_run_twice_ || !observed_.may_have_started()) return;
    observed_ = effect::recovered(observed_.sent_to().server.name);
    for (server& each : servers_) each.incarnation = 0;
  }

  const bool may_run_twice_;
  std::array<server, 2> servers_ = {server{"first"}, server{"second"}};
  std::uint64_t connection_ = 1;
  int effects_ = 0;
  effect observed_;
};

}  // namespace

int main() {
  const bool holds = rc::check("no conclusion from silence", [](bool may_run_twice) {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, happenings), rc::gen::arbitrary<bool>()));
    world simulated(may_run_twice);
    for (const auto& [what, coin] : steps) {
      simulated.apply(static_cast<happening>(what), coin);
      simulated.check();
    }
  });
  return holds ? 0 : 1;
}
