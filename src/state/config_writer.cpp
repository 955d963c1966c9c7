#include "kingcupshunt/state/config_writer.h"

#include <nlohmann/json.hpp>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::state {

using nlohmann::json;

namespace {

const char* name_of(config::request_class c) noexcept {
  switch (c) {
  case config::request_class::critical:
    return "critical";
  case config::request_class::normal:
    return "normal";
  case config::request_class::deferrable:
    return "deferrable";
  }
  return "normal";
}

json write(const config::service& s) {
  return {{"floor", s.floor},
          {"secret_sha256", base::to_hex(s.secret_sha256)},
          {"queue_limit", s.queue_limit},
          {"timeout_ms", s.timeout.count()},
          {"health_path", s.health_path},
          {"max_connections", s.max_connections}};
}

json write(const config::route& r) {
  return {{"service", r.service},
          {"host", r.host},
          {"prefix", r.prefix},
          {"methods", r.methods},
          {"is_open", r.is_open},
          {"is_repeatable", r.is_repeatable},
          {"is_hedged", r.is_hedged},
          {"class", name_of(r.priority)},
          {"timeout_ms", r.timeout.count()},
          {"body_limit", r.body_limit}};
}

json write(const config::workspace& w) {
  return {{"rate", w.rate}, {"burst", w.burst}, {"weight", w.weight}};
}

json write(const config::key& k) {
  return {{"workspace", k.workspace},
          {"sha256", base::to_hex(k.sha256)},
          {"is_withdrawn", k.is_withdrawn}};
}

template <class T>
void write_section(json& out, const char* section, const config::named<T>& all) {
  for (const auto& [name, entity] : all) {
    out[section][name] = write(*entity);
  }
}

} // namespace

std::string write_config(const config::snapshot& s) {
  auto out = json::object();
  write_section(out, "services", s.services());
  write_section(out, "routes", s.routes());
  write_section(out, "workspaces", s.workspaces());
  write_section(out, "keys", s.keys());
  return out.dump();
}

} // namespace kingcupshunt::state
