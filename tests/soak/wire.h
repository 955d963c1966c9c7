#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcupshunt::soak {

/// Messages and header names of the platform that the soak's callers, servers and operator speak.
/// The only file of the soak that knows them.
namespace wire {

inline constexpr const char* settings_variable = "KINGCUPSHUNT_NODE_FILE";
inline constexpr const char* request_id = "Request-Id";
inline constexpr const char* patience_ms = "Timeout-Ms";
inline constexpr const char* signature = "Upstream-Signature";
inline constexpr const char* expected_instance = "Expected-Instance";
inline constexpr const char* workspace = "Tenant-Id";
inline constexpr const char* not_run = "Not-Executed";
inline constexpr const char* host = "soak.example";

inline std::string key_header(const std::string& key) {
  return "Token " + key;
}

inline std::string resolve_target() {
  return std::string("/-/resolve?name=") + host + "&region=soak&zone=a";
}

inline std::string replace_target() {
  return "/-/rpc?call=config.replace";
}

inline std::string read_target() {
  return "/-/rpc?call=config.read";
}

inline std::string heartbeat_target(const std::string& id) {
  return "/-/rpc?call=instances.heartbeat&of=" + id;
}

inline std::string farewell_target(const std::string& id) {
  return "/-/rpc?call=instances.deregister&of=" + id;
}

struct heartbeat {
  std::string address;
  std::string service;
  std::string data_centre;
  std::uint32_t slots = 1;
  std::uint64_t sequence = 0;
  std::uint64_t born_ms = 0;
  bool is_leaving = false;
};

inline std::string to_text(const heartbeat& h) {
  const nlohmann::json out = {
      {"address", h.address},
      {"born", h.born_ms},
      {"info",
       {{"service", h.service}, {"version", "v1"}, {"zone", h.data_centre}, {"slots", h.slots}}},
      {"status",
       {{"state", h.is_leaving ? "draining" : "ready"}, {"seq", h.sequence}, {"cold_left_s", 0}}}};
  return out.dump();
}

struct tenant {
  std::string name;
  std::vector<std::string> keys;
  double rate = 0;
  double burst = 0;
};

struct route {
  std::string name;
  std::string prefix;
  std::string service;
  bool is_repeatable = false;
  int priority = 1;
};

struct configuration {
  std::uint64_t version = 0;
  double time_limit_s = 2;
  std::vector<route> routes;
  std::vector<std::string> services;
  std::vector<tenant> tenants;
};

inline std::string to_text(const configuration& c) {
  auto resources = nlohmann::json::array();
  const auto add = [&](const char* type, nlohmann::json metadata, nlohmann::json spec) {
    resources.push_back(
        {{"type", type}, {"metadata", std::move(metadata)}, {"spec", std::move(spec)}});
  };
  for (const auto& r : c.routes) {
    add("routes", {{"name", r.name}},
        {{"host", host},
         {"path_prefix", r.prefix},
         {"kind", r.is_repeatable ? "safe" : "unsafe"},
         {"timeout_s", c.time_limit_s},
         {"target_latency_s", 0.5},
         {"priority", r.priority},
         {"service", r.service},
         {"max_attempts", 2},
         {"public", false}});
  }
  for (const auto& s : c.services) {
    add("services", {{"name", s}},
        {{"health_path", "/health"}, {"max_connections", 300}, {"protocol", "h1"}, {"tls", false}});
  }
  for (const auto& t : c.tenants) {
    add("tenants", {{"name", t.name}},
        {{"api_keys", t.keys}, {"priority", 1}, {"rate_per_s", t.rate}, {"burst", t.burst}});
  }
  add("limits", nlohmann::json::object(),
      {{"max_header_bytes", 16384},
       {"max_body_bytes", 1 << 20},
       {"header_timeout_s", 3},
       {"idle_timeout_s", 15}});
  const nlohmann::json out = {{"version", "r" + std::to_string(c.version)},
                              {"resources", std::move(resources)}};
  return out.dump();
}

/// Version of a configuration that was read back; 0 when the text holds none.
inline std::uint64_t version_of(const std::string& text) {
  const auto all = nlohmann::json::parse(text, nullptr, false);
  if (!all.is_object() || !all.contains("version") || !all["version"].is_string()) {
    return 0;
  }
  return std::strtoull(all["version"].get<std::string>().c_str() + 1, nullptr, 10);
}

/// Where a process of the soak listens and whom it knows.
struct node_settings {
  std::string id;       ///< address by which the other processes reach it, through a proxy
  std::string internal; ///< "address:port" behind that proxy
  std::string data_centre;
  std::vector<std::string> seeds;
  bool is_first_start = false;
  std::string data_folder; ///< empty: an entry
  std::string entry;       ///< "address:port" each; empty: not served
  std::string readiness;
  std::string control;
  std::string directory;
};

inline std::string to_text(const node_settings& s) {
  nlohmann::json listen = {{"internal", s.internal}};
  const auto add = [&](const char* name, const std::string& address) {
    if (!address.empty()) {
      listen[name] = address;
    }
  };
  add("front", s.entry);
  add("ready", s.readiness);
  add("control", s.control);
  add("directory", s.directory);
  nlohmann::json out = {
      {"ip", s.id},
      {"zone", s.data_centre},
      {"region", "soak"},
      {"internal_port_range", {7660, 7675}},
      {"seeds", s.seeds},
      {"bootstrap", s.is_first_start},
      {"heartbeat_s", 0.5},
      {"listen", listen},
      {"bounds", {{"revoke_s", 5}, {"grace_s", 6}, {"ttl_max_s", 5}, {"retry_budget_ratio", 0.2}}}};
  if (!s.data_folder.empty()) {
    out["data_dir"] = s.data_folder;
  }
  return out.dump(2);
}

} // namespace wire
} // namespace kingcupshunt::soak
