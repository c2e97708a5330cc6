// A price node that stores the results of keyed writes on disk, with its runtime and its uwsgi servers, and
// keyed writes for both fronts.
#pragma once

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include "harness.hpp"
#include "uwsgi_peer.hpp"

namespace harness {

// A node with a Thrift front, a uwsgi front and a folder of stored results, its runtime and one uwsgi server.
struct site {
  // `keyed_settings` are added to the section `keyed`, `read_class_settings` to the class kurs-abfrage.
  // `two_servers`: the node has `second_server`, too.
  explicit site(node_options o = {}, std::string keyed_settings = "",
                const std::string& read_class_settings = "", bool two_servers = false)
      : options(std::move(o)) {
    char name[] = "/tmp/marblewharf-keyed-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    const std::string host = "\"" + own_host() + ":";
    uwsgi_port = free_port();
    options.operators =
        "uwsgi {\n listen = " + host + std::to_string(uwsgi_port) + "\"\n servers = {" + host +
        std::to_string(server.port) + "\"" +
        (two_servers ? ", " + host + std::to_string(second_server.port) + "\"" : "") +
        "}\n class_var = PATH_INFO\n tenant_var = REMOTE_USER\n}\n"
        "class kurs-abfrage {\n uwsgi_values = {\"/kurs/abfrage\"}\n " +
        read_class_settings +
        "}\nclass kurs-meldung {\n uwsgi_values = {\"/kurs/meldung\"}\n keyed = yes\n window = 10m\n}\n"
        "keyed {\n folder = \"" +
        folder + "/results\"\n uwsgi_var = KEY\n thrift_field = key\n " + keyed_settings + "\n}\n";
    start();
  }
  ~site() {
    price_node.reset();
    std::filesystem::remove_all(folder);
  }
  void start() {
    price_node = std::make_unique<node>(*fake_runtime, options);
    fake_runtime->up();
  }
  // Kills the node with SIGKILL, as a crash would end it, and closes the link to the runtime.
  void kill() {
    price_node.reset();
    fake_runtime->link.close();
  }
  // Changes the settings for the next start.
  void replace_setting(const std::string& from, const std::string& to) {
    const std::size_t at = options.operators.find(from);
    CHECK(at != std::string::npos);
    options.operators.replace(at, from.size(), to);
  }
  connection thrift() { return connection::to(price_node->port); }
  connection uwsgi(const std::string& bytes) {
    connection c = connection::to(uwsgi_port);
    c.send(bytes);
    return c;
  }

  node_options options;
  std::string folder;
  std::unique_ptr<runtime> fake_runtime = std::make_unique<runtime>();
  listener server, second_server;  // the uwsgi servers
  int uwsgi_port;
  std::unique_ptr<node> price_node;
};

// A keyed write over Thrift that arrived `ms_ago` before now; an empty key leaves the field out.
inline std::string write_of(int seqid, int label_number, const std::string& key,
                            const std::string& body = "price",
                            const std::string& request_class = "kurs-meldung",
                            const std::string& tenant = "isar-invest", int ms_ago = 0) {
  fields f = usual(label_number, request_class, -ms_ago);
  for (auto& [k, v] : f) {
    if (k == "team") v = tenant;
  }
  if (!key.empty()) f.emplace_back("key", key);
  return execute(seqid, f, body);
}
// A keyed write over uwsgi; an empty key leaves the variable out.
inline std::string uwsgi_write(const std::string& key, const std::string& body = "price",
                               const std::string& path = "/kurs/meldung",
                               const std::string& tenant = "isar-invest") {
  fields vars = {{"PATH_INFO", path},
                 {"REMOTE_USER", tenant},
                 {"REQUEST_METHOD", "POST"},
                 {"CONTENT_LENGTH", std::to_string(body.size())}};
  if (!key.empty()) vars.emplace_back("KEY", key);
  return uwsgi_peer::packet(vars, body);
}
inline bool starts_with(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}

inline std::string whole_response() {
  return std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n") + std::string("d\0ne", 4);
}

// Runs the program under test with these arguments and returns its output and exit status.
inline std::pair<std::string, int> run(const std::string& arguments) {
  std::FILE* pipe = ::popen((std::string(MARBLEWHARF) + " " + arguments + " 2>&1").c_str(), "r");
  CHECK(pipe != nullptr);
  std::string out;
  char chunk[512];
  while (const std::size_t n = std::fread(chunk, 1, sizeof chunk, pipe)) out.append(chunk, n);
  const int status = ::pclose(pipe);
  return {out, WEXITSTATUS(status)};
}

}  // namespace harness
