// Runs writes of classes with several participants: whole at all or at none, across restarts. `transaction`
// decides; this takes its steps over uwsgi and has its marks on disk, as rows of tables, in a folder of its
// own. Writes have keys (src/keyed): a key's run is one transaction, and after a crash its outcome is found
// by the key.
//
// Two processes never have the folder at once: one that finds it held (a replacement) turns writes away with
// a time to return, answers no inquiry, and takes the folder over once it is let go. The reactor's thread;
// the disk has its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "core/dispatcher.hpp"
#include "fan_out/client.hpp"
#include "idempotency/aging_clock.hpp"
#include "net/reactor.hpp"
#include "store/table_service.hpp"
#include "transaction/log_records.hpp"
#include "transaction/outcome_cache.hpp"
#include "transaction/state_machine.hpp"
#include "upstream/endpoint_set.hpp"
#include "upstream/in_flight_calls.hpp"
#include "uwsgi/exchange.hpp"

namespace marblewharf::transaction {

class coordinator : public backend {
 public:
  // Reads the folder and goes on with what is open in it, unless another process holds it; what an older
  // program left in it is moved up first. `notify`: step() has something to do, from another thread. Throws
  // store::io_error or store::damaged.
  coordinator(net::reactor& r, const config& settings, dispatcher& d, fan_out::client& behind,
              std::shared_ptr<store::file_system> fs, std::uint64_t random, std::function<void()> notify);
  ~coordinator() override;

  // backend
  void run(request_id id, const request& what) override;
  void pause(request_id id) override;
  void resume(request_id id) override;
  bool inquire(request_id id, const request& what) override;
  void place_call(request_id id, duration limit) override { behind_.place_call(id, limit); }
  void skip_call(request_id id) override { behind_.skip_call(id); }

  time_point step(time_point now);
  // The view of the fleet has changed: `routable` tells of a place (a zone or a member) whether calls may go
  // there.
  void routes_changed(const std::function<bool(const std::string&)>& routable);
  std::size_t open() const { return open_.size(); }
  // This node's share of calls at a dependency, and what writes and gatherings together have and want of
  // them.
  void set_share(std::size_t dependency, double most);
  fan_out::client::calls calls_at(std::size_t dependency) const;
  // Lines of `writes.NAME=VALUE` for show-stat.
  std::string figures() const;
  // For whoever does its background work; none: another process has the folder.
  std::shared_ptr<store::table_service> tables() const { return service_; }

 private:
  using write_id = std::string;  // 32 hexadecimal digits
  struct write;
  struct reading {
    request_id id = 0;
    std::string key;
  };

  void open_folder();
  void take_folder_over(time_point now);
  std::string key_of(const request& what) const;
  outcome_cache::key hash_of(const std::string& key) const { return hash_of_key(key, salt_); }
  const write_plan* plan_of(const request& what) const;
  std::optional<duration> no_room(const write_plan& plan, const request& what);
  std::uint64_t room_of(std::size_t payload) const;
  void share_changed(const write& w);
  void schedule(write& w);
  void look_at(const std::shared_ptr<write>& w, time_point now);
  void on_marked(std::uint64_t ticket, bool durable);
  void on_read(const reading& r, const store::table_service::done& d);
  void send_unsent();
  std::shared_ptr<write> make(const write_id& id, std::size_t request_class, std::string payload,
                              std::string key);
  void choose_endpoints(write& w);
  void bind_routes(const write& w, bool bound);
  upstream::endpoint_set* route_of(const write& w, std::size_t participant);
  void step_ended(const write& w, std::size_t participant, bool told, bool well);
  void recover(const begun_write& b, log_mark last);
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
  fan_out::client& behind_;
  const std::shared_ptr<store::file_system> fs_;
  const std::function<void()> notify_;
  const duration keep_;  // outcomes: the longest window of any class
  idempotency::aging_clock clock_;
  std::uint64_t random_;
  std::uint64_t salt_ = 0;  // the folder's
  std::mt19937_64 draws_;
  std::vector<upstream::endpoint_set>
      routes_;  // by dependency: which endpoint a new write takes, where places are known
  upstream::in_flight_calls calls_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<write_id, std::shared_ptr<write>> open_;
  std::unordered_map<request_id, write_id> runs_;
  std::set<std::pair<time_point, write_id>> due_;  // when each of open_ is looked at next
  outcome_cache outcomes_;
  struct marking {
    write_id id;
    log_mark what{};
  };
  std::map<std::uint64_t, marking> marks_;                     // on their way to disk, by ticket
  std::deque<std::pair<std::uint64_t, store::batch>> unsent_;  // that the service's queue had no room for
  std::unordered_map<std::uint64_t, reading> reads_;           // of results, by ticket
  std::uint64_t last_ticket_ = 0;
  std::optional<store::table_service::condition>
      disk_;                    // of the last step; none: another process has the folder
  std::uint64_t reserved_ = 0;  // bytes that open writes may still need
  std::size_t waiting_ = 0;     // writes found on disk that wait for room to go on
  std::uint64_t turned_away_ = 0;
  time_point next_try_ = time_point::max();  // to take the folder over
  time_point next_ageing_{};
  std::shared_ptr<store::table_service> service_;  // last: its thread goes first
};

}  // namespace marblewharf::transaction
