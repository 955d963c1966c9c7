#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "kingcupshunt/control/http_client.h"
#include "kingcupshunt/control/http_server.h"
#include "soak/wire.h"
#include "support/child_process.h"
#include "support/fleet.h"
#include "support/network_claim.h"
#include "watched_process.h"

namespace kingcupshunt::testing {

/// A backend server on its own thread. "/read/N" is answered with N bytes. It reads a body whole
/// before it answers.
class sized_backend {
public:
  sized_backend(const std::string& address, std::uint16_t port)
      : server_(io_, settings(address, port),
                [](const auto& request, const auto& done) {
                  std::size_t size = 2;
                  const auto digits = request.path.rfind('/') + 1;
                  std::from_chars(request.path.data() + digits,
                                  request.path.data() + request.path.size(), size);
                  control::http_response out{200, "text/plain", std::string(size, 'a'), {}};
                  out.headers[soak::wire::request_id] =
                      request.header("request-id"); // received names are in lower case
                  out.headers[soak::wire::signature] = "s";
                  done(out);
                }),
        thread_([this] { io_.run(); }) {}

  ~sized_backend() {
    boost::asio::post(io_, [this] { server_.stop(); });
    io_.stop();
    thread_.join();
  }
  sized_backend(const sized_backend&) = delete;
  sized_backend& operator=(const sized_backend&) = delete;

private:
  static control::http_server_settings settings(const std::string& address, std::uint16_t port) {
    control::http_server_settings out;
    out.address = address;
    out.port = port;
    out.body_memory = std::size_t{256} << 20U;
    out.answer_memory = std::size_t{256} << 20U;
    return out;
  }

  boost::asio::io_context io_;
  control::http_server server_;
  std::thread thread_;
};

/// Limits that a test lowers for both processes, and the configuration that it needs.
struct process_limits {
  int memory_mb = 64;
  int max_fds = 0;        ///< descriptors; 0: not stated
  int time_limit_s = 10;  ///< of all routes; clients hold what they have sent for so long
  std::size_t routes = 0; ///< beside those that requests take
};

/// One entry process with a low memory limit, one control process and one backend server.
class entry_process {
public:
  static constexpr int memory_mb = 64;
  /// A quarter of the stated memory is left for the buffers of the kernel.
  static constexpr std::size_t most_resident_kb = std::size_t{memory_mb} * 1024 * 3 / 4;
  /// One descriptor for each 32 KiB of the stated memory.
  static constexpr std::size_t most_descriptors = std::size_t{memory_mb} * 32;

  explicit entry_process(const process_limits& limits = {})
      : limits_(limits), backend_(address(9), 9000) {
    auto name = (std::filesystem::temp_directory_path() / "kcs-entry-XXXXXX").string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    folder_ = name;
    std::filesystem::create_directory(folder_ / "data");
    soak::wire::node_settings control;
    control.id = address(1);
    control.internal = address(1) + ":7660";
    control.data_centre = "a";
    control.seeds = {address(1) + ":8407"};
    control.is_first_start = true;
    control.data_folder = (folder_ / "data").string();
    control.control = address(1) + ":8407";
    control.directory = address(1) + ":8408";
    auto entry = control;
    entry.id = address(2);
    entry.internal = address(2) + ":7660";
    entry.is_first_start = false;
    entry.data_folder.clear();
    entry.control.clear();
    entry.directory.clear();
    entry.entry = address(2) + ":8405";
    entry.readiness = address(2) + ":8406";
    control_.emplace(start("control", control), control.id);
    control_settings_ = control;
    control_settings_.is_first_start = false; // of later starts
    entry_settings_ = entry;
    entry_.emplace(start("entry", entry), entry.id);
    REQUIRE(wait_until([&] { return call(soak::wire::replace_target(), configuration()) == 200; }));
    REQUIRE(wait_until([&] { return is_serving(); }));
  }

  ~entry_process() {
    entry_.reset();
    control_.reset();
    if (std::getenv("KINGCUPSHUNT_KEEP_FLEET") == nullptr) {
      std::filesystem::remove_all(folder_);
    }
  }
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  /// `net` 0 to 7 tells the addresses of callers apart, `net` 9 is that of the instances.
  std::string address(int i, int net = 9) const {
    return "127." + std::to_string(claim_.number()) + "." + std::to_string(net) + "." +
           std::to_string(i);
  }
  std::string entry_address() const { return address(2); }
  static constexpr std::uint16_t entry_port = 8405;

  static constexpr std::uint16_t readiness_port = 8406;
  std::string control_address() const { return address(1); }
  static constexpr std::uint16_t control_port = 8407;
  static constexpr std::uint16_t directory_port = 8408;
  /// Of both processes.
  static constexpr std::uint16_t peer_port = 7660;
  static constexpr std::uint16_t tunnel_port = 7661;
  static constexpr std::uint16_t metrics_port = 9464;

  /// Addresses of callers, eight of them.
  std::vector<std::string> caller_addresses() const {
    std::vector<std::string> out;
    for (int net = 0; net < 8; ++net) {
      out.push_back(address(1, net));
    }
    return out;
  }

  /// Kills the entry and starts it anew.
  void restart_entry() {
    entry_.reset();
    entry_.emplace(start("entry", entry_settings_), address(2));
  }

  /// Kills both processes and starts them anew.
  void restart_all() {
    entry_.reset();
    control_.reset();
    control_.emplace(start("control", control_settings_), address(1));
    entry_.emplace(start("entry", entry_settings_), address(2));
  }

  /// Sends a whole configuration. Empty when there is no answer.
  std::optional<control::http_response> replace(const std::string& body) const {
    auto answer = control::call(address(1) + ":8407", "POST", soak::wire::replace_target(), body,
                                base::milliseconds(10'000));
    return answer ? std::optional(std::move(answer.value())) : std::nullopt;
  }

  /// Status of an ordinary request with this key.
  unsigned status_with_key(const std::string& path, const std::string& key) {
    announce();
    const auto answer = control::call(entry_address() + ":" + std::to_string(entry_port), "POST",
                                      path, "an ordinary body", base::milliseconds(5000),
                                      {{"Host", soak::wire::host},
                                       {soak::wire::request_id, "1"},
                                       {"Authorization", soak::wire::key_header(key)}});
    return answer ? answer.value().status : 0;
  }

  watched_process& entry() { return *entry_; }
  watched_process& control() { return *control_; }

  bool is_alive() { return entry_->is_alive(); }
  std::size_t peak_resident_kb() const { return entry_->peak_resident_kb(); }
  std::size_t descriptors() const { return entry_->descriptors(); }
  void wait_until_settled() const { entry_->wait_until_settled(); }

  /// True when the server announces itself and an ordinary request is answered.
  bool is_serving() {
    announce();
    const auto answer = control::call(entry_address() + ":" + std::to_string(entry_port), "POST",
                                      "/write", "an ordinary body", base::milliseconds(5000),
                                      {{"Host", soak::wire::host}, {soak::wire::request_id, "1"}});
    return answer && answer.value().status == 200;
  }

private:
  child_process start(const std::string& role, const soak::wire::node_settings& s) {
    const auto file = (folder_ / (role + ".json")).string();
    auto all = nlohmann::json::parse(soak::wire::to_text(s));
    all["limits"]["memory_mb"] = limits_.memory_mb;
    if (limits_.max_fds > 0) {
      all["limits"]["max_fds"] = limits_.max_fds;
    }
    std::ofstream(file) << all.dump(2);
    return child_process({KINGCUPSHUNT_PROGRAM, role}, (folder_ / (role + ".log")).string(),
                         {std::string(soak::wire::settings_variable) + "=" + file});
  }

  unsigned call(const std::string& target, const std::string& body) const {
    const auto answer =
        control::call(address(1) + ":8407", "POST", target, body, base::milliseconds(2000));
    return answer ? answer.value().status : 0;
  }

  void announce() {
    soak::wire::heartbeat h;
    h.address = address(9) + ":9000";
    h.service = "shop";
    h.data_centre = "a";
    h.slots = 16;
    h.sequence = ++sequence_;
    h.born_ms = 1700000000000;
    call(soak::wire::heartbeat_target("s-1"), soak::wire::to_text(h));
  }

  static constexpr const char* upload_route = "upload";

  std::string configuration() const {
    soak::wire::configuration c;
    c.version = 1;
    c.time_limit_s = limits_.time_limit_s;
    c.routes = {{"read", "/read", "shop", true, 1},
                {"write", "/write", "shop", false, 1},
                {upload_route, "/upload", "shop", false, 1}};
    for (std::size_t i = 0; i < limits_.routes; ++i) {
      const auto name = "spare-" + std::to_string(i);
      c.routes.push_back({name, "/" + name, "shop", true, 1});
    }
    c.services = {"shop"};
    auto all = nlohmann::json::parse(soak::wire::to_text(c));
    for (auto& it : all["resources"]) {
      if (it["type"] == "routes") {
        it["spec"]["public"] = true;
        if (it["metadata"]["name"] == upload_route) {
          it["spec"]["kind"] = "upload";
        }
      } else if (it["type"] == "limits") {
        it["spec"]["max_body_bytes"] = 64 << 20;
        it["spec"]["header_timeout_s"] = 10;
      }
    }
    return all.dump();
  }

  network_claim claim_;
  process_limits limits_;
  soak::wire::node_settings control_settings_;
  soak::wire::node_settings entry_settings_;
  std::filesystem::path folder_;
  sized_backend backend_;
  std::optional<watched_process> control_;
  std::optional<watched_process> entry_;
  std::uint64_t sequence_ = 0;
};

} // namespace kingcupshunt::testing
