#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/config/error.h"
#include "kingcupshunt/config/key_table.h"
#include "kingcupshunt/config/records.h"

namespace kingcupshunt::config {

template <class T>
struct entity_change {
  std::string name;
  std::shared_ptr<const T> entity; ///< null: removed
};

template <class T>
using entity_changes = std::vector<entity_change<T>>;

/// Entities that a snapshot is to take over. Of several changes of an entity the last one counts.
struct change_set {
  entity_changes<service> services;
  entity_changes<route> routes;
  entity_changes<workspace> workspaces;
  entity_changes<key> keys;
  entity_changes<caller_limits> limits;
  std::vector<issued_key_change> issued_keys;
};

/// Reads one entity and adds it to `out`; null removes it. Not for issued keys.
result<void> read_entity(record_kind kind, const std::string& name, const nlohmann::json& entity,
                         change_set& out);

/// Reads one record and adds it to `out`.
result<void> read_record(record_kind kind, std::string_view name, std::string_view value,
                         change_set& out);

/// Reads a delta of make_delta or a whole document.
result<change_set> read_changes(const nlohmann::json& delta);

/// Turns keys that are named by their hashes into issued keys, as records have them.
void issue_keys_named_by_hash(change_set& changes);

} // namespace kingcupshunt::config
