// The example server as a process, behind the middleware, under more callers than it can serve.
#include <filesystem>
#include <map>
#include <mutex>

#include "harness.hpp"

using namespace harness;

namespace {

class example {
 public:
  explicit example(const std::string& folder = "") {
    int in[2], out[2];
    CHECK(::pipe2(in, O_CLOEXEC) == 0 && ::pipe2(out, O_CLOEXEC) == 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(in[0], 0);
      ::dup2(out[1], 1);
      ::execl(EXAMPLE, "guarded_server", "0", folder.empty() ? nullptr : folder.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    ::close(in[0]);
    ::close(out[1]);
    stdin_ = in[1];
    stdout_ = ::fdopen(out[0], "r");
    CHECK(std::fscanf(stdout_, "%d", &port) == 1);
  }
  ~example() {
    std::fclose(stdout_);
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  // Ends it; the line that it leaves.
  std::string end() {
    ::close(stdin_);
    char line[256] = "";
    do {
      CHECK(std::fgets(line, sizeof line, stdout_) != nullptr);
    } while (line[0] == 0x0a);  // the end of the line with the port
    return line;
  }
  std::string get(const std::string& path) const {
    return say("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  }
  std::string post(const std::string& key, const std::string& body) const {
    return say("POST /meldung HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
               (key.empty() ? key : "Idempotency-Key: " + key + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  std::string say(const std::string& bytes) const {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = address_of(port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK(::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
    connection c(fd);
    c.send(bytes);
    return c.rest();
  }
  int port = 0;

 private:
  pid_t pid_;
  int stdin_;
  FILE* stdout_;
};

void serves_and_reports() {
  example e;
  CHECK(e.get("/kurs").find("101.42") != std::string::npos);
  CHECK(e.get("/broken").find(" 500 ") != std::string::npos);
  CHECK(e.end().find("taken_in=2 started=2 served=1 refused=0 failed=1") == 0);
}

// Under overload requests are rejected, and each gets an answer.
void rejects_what_cannot_be_in_time() {
  example e;
  std::mutex guard;
  std::map<std::string, int> seen;
  int advised = 0;
  std::vector<std::thread> callers;
  constexpr int crowd = 40;  // two cores serve ten in the aim of 500 ms
  for (int i = 0; i < crowd; ++i) {
    callers.emplace_back([&] {
      const std::string response = e.get("/kurs");
      const std::lock_guard lock(guard);
      ++seen[response.substr(9, 3)];
      advised += response.find("Retry-After: 1") != std::string::npos;
    });
  }
  for (std::thread& t : callers) t.join();
  CHECK(seen["200"] > 0 && seen["503"] > 0 && seen["200"] + seen["503"] + seen["504"] == crowd);
  CHECK(advised == seen["503"]);
  CHECK(e.get("/kurs").find("101.42") != std::string::npos);  // and goes on
}

// A duplicate gets the first response and runs nothing: later, at the same moment, and after a crash.
void stores_keyed_responses() {
  char name[] = "/tmp/marblewharf-kept-XXXXXX";
  CHECK(::mkdtemp(name) != nullptr);
  const auto body = [](const std::string& response) {
    return response.substr(response.find("\r\n\r\n") + 4);
  };
  {
    example e(name);
    const std::string first = e.post("k1", "a");
    CHECK(first.rfind("HTTP/1.1 200 ", 0) == 0 && body(first) == "run 1 of a\n");
    const std::string again = e.post("k1", "a");
    CHECK(body(again) == body(first) && again.find("X-Kurs: taken") != std::string::npos);
    CHECK(e.post("k1", "b").rfind("HTTP/1.1 422 ", 0) == 0);
    CHECK(e.post("", "a").rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(e.post(std::string(256, 'k'), "a").rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(e.post("k2", std::string(70000, 'x')).rfind("HTTP/1.1 413 ", 0) == 0);
    std::vector<std::thread> callers;
    std::mutex guard;
    std::map<std::string, int> heard;
    for (int i = 0; i < 8; ++i) {
      callers.emplace_back([&] {
        const std::string response = body(e.post("k3", "c"));
        const std::lock_guard lock(guard);
        ++heard[response];
      });
    }
    for (std::thread& t : callers) t.join();
    CHECK(heard.size() == 1 && heard.begin()->first == "run 2 of c\n");
  }
  {
    example e(name);
    CHECK(body(e.post("k1", "a")) == "run 1 of a\n" && body(e.post("k3", "c")) == "run 2 of c\n");
    CHECK(body(e.post("k4", "d")) == "run 1 of d\n");
  }
  std::filesystem::remove_all(name);
}

}  // namespace

int main(int, char** argv) {
  const std::map<std::string, void (*)()> tests = {
      {"served", serves_and_reports},
      {"crowd", rejects_what_cannot_be_in_time},
      {"keyed", stores_keyed_responses},
  };
  tests.at(argv[1])();
  return 0;
}
