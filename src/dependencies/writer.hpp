// Runs writes of classes with several participants: whole at all or at none, across restarts. `transaction` decides; this
// takes its steps over uwsgi and has its marks on disk in a folder of its own. Writes have keys (src/keyed): a key's run is
// one transaction, and after a crash its outcome is found by the key.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "dependencies/endpoints.hpp"
#include "dependencies/transaction.hpp"
#include "keyed/clock.hpp"
#include "net/reactor.hpp"
#include "store/committer.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::dependencies {

class writer : public backend {
 public:
  // Reads the folder and goes on with what is open in it. `notify`: step() has something to do, from another thread.
  // Throws store::io_error or store::damaged.
  writer(net::reactor& r, const config& settings, dispatcher& d, backend& behind, store::file_system& fs,
         std::uint64_t random, std::function<void()> notify);
  ~writer() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& what) override;
  void place_call(request_id id, duration limit) override { behind_.place_call(id, limit); }
  void skip_call(request_id id) override { behind_.skip_call(id); }

  time_point step(time_point now);
  // The view of the fleet has changed: `routable` tells of a place (a zone or a member) whether calls may go there.
  void routes_changed(const std::function<bool(const std::string&)>& routable);
  std::size_t open() const { return open_.size(); }

 private:
  using write_id = std::string;  // 32 hexadecimal digits
  struct write;
  struct outcome {
    bool over = false, committed = false;
    write_id of;
    std::string result;
    std::int64_t expiry = 0;
  };

  std::string key_of(const request& what) const;
  std::shared_ptr<write> make(const write_id& id, std::size_t request_class, std::string payload, std::string key);
  void choose_endpoints(write& w);
  endpoints* route_of(const write& w, std::size_t participant);
  void step_ended(const write& w, std::size_t participant, bool told, bool well);
  void recover(std::uint32_t type, std::string_view body);
  void advance(const std::shared_ptr<write>& w);
  void take(const std::shared_ptr<write>& w, const take_step& s);
  void mark(const std::shared_ptr<write>& w, log_mark m);
  void on_exchanged(const write_id& id, std::size_t participant, step_kind what, uwsgi::exchange_end how,
                    const uwsgi::response_head* head, std::string_view response);
  void finish(const std::shared_ptr<write>& w);
  std::string compose_result(const write& w) const;
  std::int64_t now() const;

  net::reactor& reactor_;
  const config& config_;
  dispatcher& dispatcher_;
  backend& behind_;
  keyed::ageing_clock clock_;
  std::uint64_t random_;
  std::mt19937_64 draws_;
  std::vector<endpoints> routes_;  // by dependency: which endpoint a new write takes, where places are known
  std::uint64_t last_number_ = 0;
  std::unordered_map<write_id, std::shared_ptr<write>> open_;
  std::unordered_map<request_id, write_id> runs_;
  std::unordered_map<std::string, outcome> outcomes_;  // by key
  std::map<std::uint64_t, std::pair<write_id, log_mark>> marks_;  // on their way to disk, by ticket
  std::uint64_t last_ticket_ = 0;
  std::uint64_t room_ = 0;
  bool writable_ = false;
  time_point next_look_{};
  std::unique_ptr<store::committer> committer_;  // last: its thread goes first
};

}  // namespace marblewharf::dependencies
