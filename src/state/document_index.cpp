// References and duplicates between entities, kept up to date by each change.
#include <algorithm>
#include <utility>

#include "kingcupshunt/state/document.h"

namespace kingcupshunt::state {

using config::error;
using config::error_code;
using nlohmann::json;

namespace {

bool have_common_method(const std::vector<std::string>& a, const std::vector<std::string>& b) {
  if (a.empty() || b.empty()) {
    return a.empty() && b.empty();
  }
  return std::ranges::find_first_of(a, b) != a.end();
}

const json& part(const json& delta, const char* name) {
  static const json none = json::object();
  const auto it = delta.find(name);
  return it == delta.end() ? none : *it;
}

void erase_from(std::unordered_map<std::string, std::set<std::string>>& all,
                const std::string& owner, const std::string& name) {
  const auto it = all.find(owner);
  if (it != all.end() && it->second.erase(name) > 0 && it->second.empty()) {
    all.erase(it);
  }
}

} // namespace

void document::put_names(std::unordered_set<std::string>& names, const json& delta,
                         const char* member, undo_log& undo) {
  for (const auto& [name, value] : part(delta, member).items()) {
    const bool is_removal = value.is_null();
    if (is_removal && names.erase(name) > 0) {
      undo.emplace_back([&names, name = name] { names.insert(name); });
    } else if (!is_removal && names.insert(name).second) {
      undo.emplace_back([&names, name = name] { names.erase(name); });
    }
  }
}

void document::erase_route(const std::string& name) {
  const auto it = routes_.find(name);
  const auto at = routes_at_.find(it->second.where);
  std::erase(at->second, name);
  if (at->second.empty()) {
    routes_at_.erase(at);
  }
  erase_from(routes_of_service_, it->second.service, name);
  routes_.erase(it);
}

void document::insert_route(const std::string& name, route_place place) {
  routes_at_[place.where].push_back(name);
  routes_of_service_[place.service].insert(name);
  routes_.insert_or_assign(name, std::move(place));
}

void document::unplace_route(const std::string& name, undo_log& undo) {
  const auto it = routes_.find(name);
  if (it != routes_.end()) {
    undo.emplace_back([this, name, place = it->second] { insert_route(name, place); });
    erase_route(name);
  }
}

config::result<void> document::place_route(const std::string& name, route_place place,
                                           undo_log& undo) {
  if (const auto at = routes_at_.find(place.where); at != routes_at_.end()) {
    // The smallest name, so that every voter reports the same one.
    const std::string* same = nullptr;
    for (const auto& other : at->second) {
      if (have_common_method(place.methods, routes_.at(other).methods) &&
          (same == nullptr || other < *same)) {
        same = &other;
      }
    }
    if (same != nullptr) {
      return error{error_code::duplicate, "", pointer_of({section::routes, name}, ""),
                   "route \"" + *same + "\" has the same host, prefix and method"};
    }
  }
  insert_route(name, std::move(place));
  undo.emplace_back([this, name] { erase_route(name); });
  return base::success();
}

void document::erase_key(const std::string& name) {
  const auto it = keys_.find(name);
  key_by_digest_.erase(it->second.digest);
  erase_from(keys_of_workspace_, it->second.workspace, name);
  keys_.erase(it);
}

void document::insert_key(const std::string& name, key_place place) {
  key_by_digest_[place.digest] = name;
  keys_of_workspace_[place.workspace].insert(name);
  keys_.insert_or_assign(name, std::move(place));
}

void document::unplace_key(const std::string& name, undo_log& undo) {
  const auto it = keys_.find(name);
  if (it != keys_.end()) {
    undo.emplace_back([this, name, place = it->second] { insert_key(name, place); });
    erase_key(name);
  }
}

config::result<void> document::place_key(const std::string& name, key_place place, undo_log& undo) {
  if (key_by_digest_.contains(place.digest)) {
    return error{error_code::duplicate, "", pointer_of({section::keys, name}, "sha256"),
                 "another key has the same hash"};
  }
  insert_key(name, std::move(place));
  undo.emplace_back([this, name] { erase_key(name); });
  return base::success();
}

config::result<void> document::check_references(const json& delta) const {
  const auto missing = [](section of, const std::string& name, const char* member,
                          const std::string& target) {
    return error{error_code::unknown_reference, "", pointer_of({of, name}, member),
                 std::string(member) + " \"" + target + "\" does not exist"};
  };
  for (const auto& [name, value] : part(delta, "routes").items()) {
    const auto it = routes_.find(name);
    if (it != routes_.end() && !services_.contains(it->second.service)) {
      return missing(section::routes, name, "service", it->second.service);
    }
  }
  for (const auto& [name, value] : part(delta, "services").items()) {
    const auto it = routes_of_service_.find(name);
    if (it != routes_of_service_.end() && !services_.contains(name)) {
      return missing(section::routes, *it->second.begin(), "service", name);
    }
  }
  for (const auto& [name, value] : part(delta, "keys").items()) {
    const auto it = keys_.find(name);
    if (it != keys_.end() && !workspaces_.contains(it->second.workspace)) {
      return missing(section::keys, name, "workspace", it->second.workspace);
    }
  }
  for (const auto& [name, value] : part(delta, "workspaces").items()) {
    const auto it = keys_of_workspace_.find(name);
    if (it != keys_of_workspace_.end() && !workspaces_.contains(name)) {
      return missing(section::keys, *it->second.begin(), "workspace", name);
    }
  }
  return base::success();
}

} // namespace kingcupshunt::state
