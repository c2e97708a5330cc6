// The link to the runtime that owns the cores: runs what the dispatcher hands over, across lost links.
//
// A lost link loses commands, not runs. Commands on a link are carried out in their order, so the answer to a
// `gauges` shows that every start before it arrived. After a reconnect the same question, asked behind the
// replayed notices, shows that every end until then is known; only then is anything settled that was on its
// way when the link broke.
//
// A move to another address loses nothing: commands are held back, a question shows that all before it have
// arrived, and only then the new link takes the place of the old one.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "net/stream.hpp"
#include "runtime/messages.hpp"
#include "telemetry/telemetry.hpp"

namespace marblewharf::runtime {

class link : public backend {
 public:
  link(net::reactor& r, const config& settings, dispatcher& d, telemetry::counters& counters);
  ~link() override;

  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;

  // From now on the runtime is there. Runs and the serial of the last notice carry on.
  void move(const Poco::Net::SocketAddress& to);

  // Connects, asks for the gauges; returns when it wants to be called again.
  time_point step(time_point now);

  // The runtime has answered and runs what it is handed.
  bool up() const { return state_ == state::up || state_ == state::handing_over; }

  // The last gauges; none where they are too old to tell anything.
  std::vector<double> gauges(time_point now) const;

 private:
  class connection;
  enum class state { down, connecting, syncing, catching_up, up, handing_over };
  enum class sent { no, on_its_way, arrived };

  struct call {
    request_id id{};
    std::string label;
    unsigned request_class = 0;
    std::string payload;  // until its start has arrived
    sent start = sent::no;
    std::uint64_t fence = 0;  // the question whose answer shows that all said of it arrived
    bool stopped = false;     // wanted
    bool told_stopped = false;
    bool sure = true;      // what it was told last has arrived
    bool probing = false;  // stopped for a moment, to learn whether its start ever arrived
    std::vector<std::pair<request_id, request>> rivals;  // under the same label, until one is known to run
  };
  using calls = std::unordered_map<std::string, call>;

  void on_open(const connection& which);
  std::size_t on_bytes(std::string_view bytes);
  void on_lost(const connection& which, const char* why);
  void lose(const char* why);
  void drop(std::shared_ptr<connection>& which);
  void hand_over(time_point now);
  void stay(time_point now);
  void on(const ready& n);
  void on(const end& n);
  void on(const load& n);
  void on(const nack& n);
  void on(const info& n);
  bool fresh(std::uint64_t serial);
  void say(const std::string& line);
  void send_start(call& c);
  void settle();
  void say_held_back();
  void on_arrived(std::uint64_t asked);
  void withdraw(call& c, request_id rival);
  void set_stopped(request_id id, bool stopped);
  void say_stopped(call& c);
  void ask(time_point now);
  void finish(calls::iterator at, run_end how, std::string_view result, duration elapsed);

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  telemetry::counters& counters_;
  Poco::Net::SocketAddress to_;
  std::shared_ptr<connection> connection_;
  std::shared_ptr<connection> successor_;  // to a new address, until it stands
  bool moving_ = false;
  state state_ = state::down;
  calls calls_;  // by label
  std::unordered_map<request_id, std::string> labels_;
  std::uint64_t last_serial_ = 0;
  std::uint64_t questions_ = 0;  // asked for gauges so often
  std::uint64_t settle_at_ = 0;  // the question behind the replayed notices
  time_point runtime_start_{};   // 0 = not heard yet
  time_point synced_at_{};       // of the present link
  time_point next_try_{};
  time_point since_{};  // of connecting or handing over
  time_point next_question_{};
  std::vector<double> gauges_;
  time_point gauges_at_{};
};

}  // namespace marblewharf::runtime
