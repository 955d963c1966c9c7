#pragma once

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "child_process.h"
#include "kingcupshunt/auth/key.h"
#include "kingcupshunt/control/http_client.h"
#include "network_claim.h"

namespace kingcupshunt::testing {

/// Waits until `is_true` or the time is over. The limit only bounds a failing test.
inline bool wait_until(const std::function<bool()>& is_true,
                       std::chrono::seconds limit = std::chrono::seconds(20)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!is_true()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// A fleet of real processes on loopback addresses, with its configuration folder and secrets.
class fleet {
public:
  /// `network` is the third part of the addresses, so that the cases of one run do not collide.
  explicit fleet(int network, int instances = 3) : network_(network) {
    auto name = (std::filesystem::temp_directory_path() / "kcs-fleet-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      std::abort();
    }
    folder = name;
    write(folder / "secret", "0123456789abcdef0123456789abcdef");
    std::filesystem::permissions(folder / "secret", std::filesystem::perms::owner_read);
    std::filesystem::create_directory(folder / "config");
    workspace_key = auth::generate_key();
    service_secret = auth::generate_key();
    for (int i = 1; i <= instances; ++i) {
      write(folder / (id(i) + ".json"), settings(i).dump(2));
    }
  }

  ~fleet() {
    processes.clear();
    if (std::getenv("KINGCUPSHUNT_KEEP_FLEET") == nullptr) {
      std::filesystem::remove_all(folder);
    }
  }

  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  static std::string id(int i) { return "e" + std::to_string(i); }
  std::string address(int i) const {
    return "127." + std::to_string(claim().number()) + "." + std::to_string(network_) + "." +
           std::to_string(i);
  }
  std::string entry(int i) const { return address(i) + ":8080"; }
  std::string announce(int i) const { return address(i) + ":8081"; }
  std::string operators(int i) const { return address(i) + ":8082"; }

  nlohmann::json settings(int i) const {
    nlohmann::json voters = nlohmann::json::array();
    for (int v = 1; v <= 3; ++v) {
      voters.push_back({{"id", id(v)}, {"peer", address(v) + ":8083"}});
    }
    nlohmann::json out = {{"id", id(i)},
                          {"fleet", "test"},
                          {"data_centre", "dc" + std::to_string((i - 1) % 3 + 1)},
                          {"fleet_secret_file", "secret"},
                          {"listen",
                           {{"entry", entry(i)},
                            {"announce", announce(i)},
                            {"operator", operators(i)},
                            {"peer", address(i) + ":8083"}}},
                          {"voters", voters},
                          {"stop_lead_ms", 300}};
    if (i <= 3) {
      out["data_folder"] = "data-" + id(i);
    }
    if (i == 1) {
      out["config_folder"] = "config";
    }
    return out;
  }

  /// One service "fitting", one workspace "optician-1", and the routes that the tests use.
  nlohmann::json base_configuration() const {
    return {
        {"services",
         {{"fitting", {{"secret_sha256", base::to_hex(service_secret.sha256)}, {"floor", 0.5}}}}},
        {"routes",
         {{"fit", {{"service", "fitting"}, {"prefix", "/fit"}}},
          {"open", {{"service", "fitting"}, {"prefix", "/open"}, {"is_open", true}}},
          {"order",
           {{"service", "fitting"},
            {"prefix", "/order"},
            {"methods", {"POST"}},
            {"is_repeatable", false}}}}},
        {"workspaces", {{"optician-1", {{"rate", 1000}, {"burst", 1000}}}}},
        {"keys",
         {{"k1", {{"workspace", "optician-1"}, {"sha256", base::to_hex(workspace_key.sha256)}}}}}};
  }

  void write_configuration(const std::string& file, const std::string& text) const {
    write(folder / "config" / file, text);
  }

  void start(int i) {
    processes.insert_or_assign(
        i, child_process({KINGCUPSHUNT_PROGRAM, "run", (folder / (id(i) + ".json")).string()},
                         (folder / (id(i) + ".log")).string()));
  }

  nlohmann::json get(int i, const std::string& target) const {
    const auto answer = control::call(operators(i), "GET", target, "", base::milliseconds(2000));
    return answer ? nlohmann::json::parse(answer.value().body, nullptr, false)
                  : nlohmann::json(nlohmann::json::value_t::discarded);
  }

  bool is_ready(int i) const {
    const auto answer =
        control::call(operators(i), "GET", "/healthz", "", base::milliseconds(2000));
    return answer && answer.value().status == 200;
  }

  std::uint64_t revision(int i) const {
    const auto page = get(i, "/status");
    return page.is_object() ? page.value("revision", std::uint64_t{0}) : 0;
  }

  static void write(const std::filesystem::path& path, const std::string& text) {
    const auto temporary = path.string() + ".tmp";
    std::ofstream(temporary) << text;
    std::filesystem::rename(temporary, path);
  }

  std::filesystem::path folder;
  auth::generated_key workspace_key;
  auth::generated_key service_secret;
  std::map<int, child_process> processes;

private:
  /// Two runs at the same time on one machine must not meet.
  static const network_claim& claim() {
    static const network_claim it;
    return it;
  }

  int network_;
};

} // namespace kingcupshunt::testing
