#include <nlohmann/json.hpp>

#include "kind_names.h"
#include "kingcupshunt/config/snapshot.h"

namespace kingcupshunt::config {

namespace {

using nlohmann::json;

const char* name_of(request_class c) noexcept {
  switch (c) {
  case request_class::critical:
    return "critical";
  case request_class::normal:
    return "normal";
  case request_class::deferrable:
    return "deferrable";
  }
  return "normal";
}

json to_json(const service& s) {
  json out = {{"floor", s.floor},
              {"secret_sha256", base::to_hex(s.secret_sha256)},
              {"queue_limit", s.queue_limit},
              {"timeout_ms", static_cast<std::uint64_t>(s.timeout.count())},
              {"health_path", s.health_path},
              {"max_connections", s.max_connections}};
  // Builds without these members refuse a document that has them.
  if (s.warmup.count() > 0) {
    out["warmup_ms"] = static_cast<std::uint64_t>(s.warmup.count());
  }
  if (s.cold_rate > 0) {
    out["cold_rate"] = s.cold_rate;
  }
  return out;
}

json to_json(const route& r) {
  auto parts = json::array();
  for (const auto& part : r.parts) {
    parts.push_back({{"service", part.service}, {"weight", part.weight}});
  }
  json out = {{"service", r.service},
              {"parts", std::move(parts)},
              {"host", r.host},
              {"prefix", r.prefix},
              {"methods", r.methods},
              {"is_open", r.is_open},
              {"is_hedged", r.is_hedged},
              {"objective_ms", static_cast<std::uint64_t>(r.objective.count())},
              {"max_tries", r.max_tries},
              {"rank", r.rank},
              {"class", name_of(r.priority)},
              {"timeout_ms", static_cast<std::uint64_t>(r.timeout.count())},
              {"body_limit", r.body_limit}};
  // Instances from before there were downloads know only these two members and refuse the other.
  if (r.kind == request_kind::download || r.kind == request_kind::upload) {
    out["kind"] = name_of(r.kind);
  } else {
    out["is_repeatable"] = r.is_repeatable();
    out["needs_idempotency_key"] = r.kind != request_kind::once;
  }
  return out;
}

json to_json(const workspace& w) {
  json out = {
      {"rate", w.rate}, {"burst", w.burst}, {"weight", w.weight}, {"is_unlimited", w.is_unlimited}};
  if (w.rank) {
    out["rank"] = *w.rank;
  }
  return out;
}

json to_json(const caller_limits& l) {
  return {{"head_bytes", l.head_bytes},
          {"body_bytes", l.body_bytes},
          {"head_timeout_ms", static_cast<std::uint64_t>(l.head_timeout.count())},
          {"idle_timeout_ms", static_cast<std::uint64_t>(l.idle_timeout.count())}};
}

json to_json(const key& k) {
  return {{"workspace", k.workspace},
          {"sha256", base::to_hex(k.sha256)},
          {"is_withdrawn", k.is_withdrawn}};
}

template <class T>
json section(const named<T>& all) {
  auto out = json::object();
  for (const auto& [name, entity] : all) {
    out[name] = to_json(*entity);
  }
  return out;
}

} // namespace

json to_document(const snapshot& s) {
  json out = {{"services", section(s.services())},
              {"routes", section(s.routes())},
              {"workspaces", section(s.workspaces())},
              {"keys", section(s.keys())}};
  if (!s.limits().empty()) {
    out["limits"] = section(s.limits());
  }
  return out;
}

} // namespace kingcupshunt::config
