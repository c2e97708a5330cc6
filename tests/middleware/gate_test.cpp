// Tests of the gate on a disk that the test can block, so that events come in a forced order.
#include "middleware/gate.hpp"

#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <thread>

#include "../check.hpp"

using namespace marblewharf;
using namespace marblewharf::middleware;
using namespace marblewharf::middleware::detail;
using namespace std::chrono_literals;

namespace {

// The real file system. While `blocked` is set, syncs wait.
class blocked_disk : public store::posix_file_system {
 public:
  explicit blocked_disk(std::atomic<bool>& blocked) : blocked_(blocked) {}
  std::unique_ptr<store::file> create(const std::string& path, std::uint64_t size) override {
    return std::make_unique<blocked_file>(blocked_, posix_file_system::create(path, size));
  }

 private:
  class blocked_file : public store::file {
   public:
    blocked_file(std::atomic<bool>& blocked, std::unique_ptr<store::file> created)
        : blocked_(blocked), file_(std::move(created)) {}
    void write_at(std::uint64_t offset, std::string_view bytes) override { file_->write_at(offset, bytes); }
    void sync() override {
      while (blocked_) std::this_thread::sleep_for(1ms);
      file_->sync();
    }
    void truncate(std::uint64_t size) override { file_->truncate(size); }

   private:
    std::atomic<bool>& blocked_;
    std::unique_ptr<store::file> file_;
  };
  std::atomic<bool>& blocked_;
};

constexpr duration deadline = 1500ms;

admission_policy::settings settings_of() {
  admission_policy::settings settings;
  settings.cores = 8;
  settings.tick = 1ms;
  settings.classes.push_back({.name = "kurs-meldung", .latency_objective = deadline, .deadline = deadline});
  return settings;
}

// The request that runs the key is answered at its deadline, before its intent is on disk, while a duplicate
// waits. Nobody is left to run the handler: the duplicate must be told to try again, and the key must be
// free.
void answered_before_its_intent_is_written() {
  char name[] = "/tmp/marblewharf-gate-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const std::string folder = name;
  std::atomic<bool> blocked = false;
  {
    keyed_settings keys;
    keys.folder = folder + "/results";
    keys.windows = {1h};
    gate_impl gate(settings_of(), keys, 1, std::make_unique<blocked_disk>(blocked));
    const auto admit = [&gate] { return gate.admit({}, "a", 7); };
    blocked = true;
    auto primary = std::async(std::launch::async, admit);
    std::this_thread::sleep_for(deadline / 2);
    auto duplicate = std::async(std::launch::async, admit);
    CHECK(primary.get().state == attempt_state::failed);
    blocked = false;
    CHECK(duplicate.wait_for(deadline / 4) == std::future_status::ready);
    const attempt told = duplicate.get();
    CHECK(told.state == attempt_state::rejected && told.retry_after > 0s);

    const attempt running = admit();
    CHECK(running.state == attempt_state::running);
    const attempt stored = gate.finish_keyed(running, "response");
    CHECK(stored.state == attempt_state::answered && stored.result == "response");
    const attempt repeated = admit();
    CHECK(repeated.state == attempt_state::answered && repeated.result == "response");
  }
  std::filesystem::remove_all(folder);
}

}  // namespace

int main() {
  answered_before_its_intent_is_written();
  return 0;
}
