#include "kingcupshunt/config/change_set.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "entity_reader.h"
#include "kingcupshunt/config/object_reader.h"

namespace kingcupshunt::config {

using nlohmann::json;

namespace {

template <class T, class Read>
result<void> read_one(const std::string& name, const json& entity, Read read,
                      entity_changes<T>& out) {
  if (entity.is_null()) {
    out.push_back({name, nullptr});
    return base::success();
  }
  auto made = read(name, entity);
  if (!made) {
    return made.error();
  }
  out.push_back({name, std::make_shared<const T>(std::move(made.value()))});
  return base::success();
}

result<void> read_section(const json& delta, const char* section, record_kind kind,
                          change_set& out) {
  const auto it = delta.find(section);
  if (it == delta.end()) {
    return base::success();
  }
  if (!it->is_object()) {
    return error{error_code::wrong_type, "", std::string("/") + section,
                 std::string("found ") + it->type_name() + ", allowed is an object"};
  }
  for (const auto& [name, value] : it->items()) {
    BOOST_OUTCOME_TRY(read_entity(kind, name, value, out));
  }
  return base::success();
}

} // namespace

result<void> read_entity(record_kind kind, const std::string& name, const json& entity,
                         change_set& out) {
  switch (kind) {
  case record_kind::service:
    return read_one(name, entity, read_service, out.services);
  case record_kind::route:
    return read_one(name, entity, read_route, out.routes);
  case record_kind::workspace:
    return read_one(name, entity, read_workspace, out.workspaces);
  case record_kind::named_key:
    return read_one(name, entity, read_key, out.keys);
  case record_kind::limits:
    return read_one(name, entity, read_limits, out.limits);
  case record_kind::issued_key:
    break;
  }
  return error{error_code::wrong_type, "", "", "an entity of an unknown kind"};
}

result<void> read_record(record_kind kind, std::string_view name, std::string_view value,
                         change_set& out) {
  if (kind == record_kind::issued_key) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(name.data());
    if (name.size() < key_prefix{}.size()) {
      return error{error_code::out_of_range, "", "/keys", "the hash of a key is too short"};
    }
    out.issued_keys.push_back({prefix_of({bytes, name.size()}), std::string(value)});
    return base::success();
  }
  const auto entity = value.empty() ? json() : json::parse(value, nullptr, false);
  if (entity.is_discarded()) {
    return error{error_code::not_json, "", std::string(name), ""};
  }
  return read_entity(kind, std::string(name), entity, out);
}

result<change_set> read_changes(const json& delta) {
  for (const auto& [name, value] : delta.items()) {
    if (name != "services" && name != "routes" && name != "workspaces" && name != "keys" &&
        name != "limits") {
      return error{error_code::unknown_member, "", "/" + escape_pointer_token(name),
                   "allowed are services, routes, workspaces, keys and limits"};
    }
  }
  change_set out;
  BOOST_OUTCOME_TRY(read_section(delta, "services", record_kind::service, out));
  BOOST_OUTCOME_TRY(read_section(delta, "routes", record_kind::route, out));
  BOOST_OUTCOME_TRY(read_section(delta, "workspaces", record_kind::workspace, out));
  BOOST_OUTCOME_TRY(read_section(delta, "keys", record_kind::named_key, out));
  BOOST_OUTCOME_TRY(read_section(delta, "limits", record_kind::limits, out));
  return out;
}

void issue_keys_named_by_hash(change_set& changes) {
  for (auto& c : changes.keys) {
    base::sha256_digest digest{};
    if (!base::parse_hex(c.name, digest) || base::to_hex(digest) != c.name) {
      continue;
    }
    const bool is_issued = c.entity && c.entity->sha256 == digest && !c.entity->is_withdrawn;
    changes.issued_keys.push_back({prefix_of(digest), is_issued ? c.entity->workspace : ""});
    if (is_issued) {
      c.entity = nullptr;
    }
  }
}

} // namespace kingcupshunt::config
