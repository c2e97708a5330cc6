// A Poco HTTP server whose handlers run behind the admission middleware. Serves GET /kurs on 127.0.0.1 until
// end of file on standard input. The first argument is the port, 0 for any free port; the port is printed. If
// the second argument is a folder, the server also accepts POST /meldung, keyed by the header
// Idempotency-Key: a duplicate gets the stored response, also after a restart.
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <marblewharf/middleware.hpp>
#include <optional>
#include <string>
#include <thread>

using namespace std::chrono_literals;

namespace {

class price_handler : public Poco::Net::HTTPRequestHandler {
 public:
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    std::this_thread::sleep_for(100ms);  // simulates the work
    if (request.getMethod() == "POST") {
      static std::atomic<int> runs = 0;
      const std::string body(std::istreambuf_iterator<char>(request.stream()), {});
      const std::string text = "run " + std::to_string(++runs) + " of " + body + "\n";
      response.set("X-Kurs", "taken");
      response.setContentLength(static_cast<std::streamsize>(text.size()));
      response.send() << text;
      return;
    }
    if (request.getURI() == "/broken") {
      response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR);
      response.setContentLength(0);
      response.send();
      return;
    }
    response.setContentLength(6);
    response.send() << "101.42";
  }
};

class price_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override {
    return new price_handler;
  }
};

}  // namespace

int main(int argc, char** argv) {
  admission_policy::settings settings;
  settings.cores = 2;
  settings.concurrency_ceiling_per_core = 5;
  settings.max_retry_after = 1s;
  settings.retry_after = true;
  settings.tick = 1ms;
  settings.gauges = {"cpu_busy"};
  settings.classes.push_back({.name = "kurs-abfrage", .latency_objective = 500ms, .deadline = 2s});

  settings.classes.push_back({.name = "kurs-meldung", .latency_objective = 1s, .deadline = 3s});

  std::optional<marblewharf::middleware::gate> optional_gate;
  if (argc > 2) {
    marblewharf::middleware::keyed_settings keys;
    keys.folder = argv[2];
    keys.windows = {0s, 24h};
    optional_gate.emplace(settings, keys);
  } else {
    optional_gate.emplace(settings);
  }
  marblewharf::middleware::gate& gate = *optional_gate;
  const auto port = static_cast<std::uint16_t>(argc > 1 ? std::atoi(argv[1]) : 0);
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
  auto* params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(64);  // includes threads that wait in the gate
  Poco::Net::HTTPServer server(
      new marblewharf::middleware::handler_factory(
          new price_handler_factory, gate,
          [](const Poco::Net::HTTPServerRequest& request) {
            return marblewharf::middleware::traits{.request_class = request.getMethod() == "POST" ? 1u : 0u};
          }),
      socket, params);
  server.start();
  std::printf("%d\n", static_cast<int>(socket.address().port()));
  std::fflush(stdout);
  while (std::getchar() != EOF) {
  }
  gate.drain(2s);
  server.stopAll(false);
  const marblewharf::middleware::tally counts = gate.counts();
  std::printf("taken_in=%llu started=%llu served=%llu refused=%llu failed=%llu\n",
              static_cast<unsigned long long>(counts.taken_in),
              static_cast<unsigned long long>(counts.started), static_cast<unsigned long long>(counts.served),
              static_cast<unsigned long long>(counts.refused),
              static_cast<unsigned long long>(counts.failed));
  return 0;
}
