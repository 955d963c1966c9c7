#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "kingcupshunt/control/http_client.h"
#include "kingcupshunt/control/http_server.h"
#include "soak/wire.h"
#include "support/child_process.h"
#include "support/fleet.h"
#include "support/network_claim.h"

namespace kingcupshunt::testing {

/// A backend server on its own thread. "/read/N" is answered with N bytes.
class sized_backend {
public:
  sized_backend(const std::string& address, std::uint16_t port)
      : server_(io_, {address, port},
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
  boost::asio::io_context io_;
  control::http_server server_;
  std::thread thread_;
};

/// One entry process with a low memory limit, one control process and one backend server.
class entry_process {
public:
  static constexpr int memory_mb = 64;
  /// A quarter of the stated memory is left for the buffers of the kernel.
  static constexpr std::size_t most_resident_kb = std::size_t{memory_mb} * 1024 * 3 / 4;
  /// One descriptor for each 32 KiB of the stated memory.
  static constexpr std::size_t most_descriptors = std::size_t{memory_mb} * 32;

  entry_process() : backend_(address(9), 9000) {
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
    control_.emplace(start("control", control));
    entry_.emplace(start("entry", entry));
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

  bool is_alive() { return !entry_->has_ended(); }

  /// Peak of the resident memory.
  std::size_t peak_resident_kb() const {
    std::ifstream file(proc("status"));
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with("VmHWM:")) {
        return std::strtoul(line.c_str() + 6, nullptr, 10);
      }
    }
    return 0;
  }

  std::size_t descriptors() const {
    std::error_code ec;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator it(proc("fd"), ec), end; !ec && it != end;
         it.increment(ec)) {
      ++n;
    }
    return n;
  }

  /// Waits until the entry has handled what was sent to it and uses little time.
  void wait_until_settled() const {
    auto before = processor_ticks();
    wait_until([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      const auto now = processor_ticks();
      return now - std::exchange(before, now) <= 5;
    });
  }

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
    all["limits"]["memory_mb"] = memory_mb;
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

  /// Clients hold what they have sent for up to 10 s.
  static std::string configuration() {
    soak::wire::configuration c;
    c.version = 1;
    c.time_limit_s = 10;
    c.routes = {{"read", "/read", "shop", true, 1}, {"write", "/write", "shop", false, 1}};
    c.services = {"shop"};
    auto all = nlohmann::json::parse(soak::wire::to_text(c));
    for (auto& it : all["resources"]) {
      if (it["type"] == "routes") {
        it["spec"]["public"] = true;
      } else if (it["type"] == "limits") {
        it["spec"]["max_body_bytes"] = 64 << 20;
        it["spec"]["header_timeout_s"] = 10;
      }
    }
    return all.dump();
  }

  std::filesystem::path proc(const char* file) const {
    return std::filesystem::path("/proc") / std::to_string(entry_->id()) / file;
  }

  unsigned long processor_ticks() const {
    std::ifstream file(proc("stat"));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int i = 3; i < 14; ++i) { // utime is the fourteenth field of proc(5)
      fields >> skipped;
    }
    unsigned long user = 0;
    unsigned long system = 0;
    fields >> user >> system;
    return user + system;
  }

  network_claim claim_;
  std::filesystem::path folder_;
  sized_backend backend_;
  std::optional<child_process> control_;
  std::optional<child_process> entry_;
  std::uint64_t sequence_ = 0;
};

} // namespace kingcupshunt::testing
