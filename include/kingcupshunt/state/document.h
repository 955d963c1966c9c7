#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/document.h"
#include "kingcupshunt/config/snapshot.h"

namespace kingcupshunt::state {

/// The configuration folder, merged and validated entity by entity, so that a change costs time in
/// proportion to the files it touches and not to the whole folder. Accepts exactly what
/// config::parse accepts, except for files whose sections are not objects.
class document {
public:
  /// Content per file name; null removes the file.
  using changes = std::map<std::string, const std::string*>;

  /// Applies a change of files and returns the delta that it makes to the merged document.
  /// On an error nothing has changed.
  config::result<nlohmann::json> apply(const changes& change);

  const config::files& files() const noexcept { return files_; }
  std::size_t bytes() const noexcept { return bytes_; }

  /// The whole merged document.
  nlohmann::json merged() const;

private:
  enum class section : std::uint8_t { services, routes, workspaces, keys };
  using entity_name = std::pair<section, std::string>;
  /// Compact JSON that one file states per entity.
  using file_statements = std::map<entity_name, std::string>;
  struct route_place {
    std::string service;
    std::string where; ///< host and normalized prefix
    std::vector<std::string> methods;
  };
  struct key_place {
    std::string workspace;
    std::string digest;
  };
  using undo_log = std::vector<std::function<void()>>;
  using before_map = std::map<entity_name, nlohmann::json>;

  static config::result<file_statements> read_file(const std::string& name,
                                                   const std::string& text);
  static std::string pointer_of(const entity_name& name, const char* member);
  config::result<void> put_file(const std::string& name, const std::string* text,
                                before_map& before, undo_log& undo);
  void put_statement(const entity_name& name, const std::string& file, const std::string* patch,
                     undo_log& undo);
  nlohmann::json merged_entity(const entity_name& name) const;
  nlohmann::json make_delta(const before_map& before) const;
  config::result<void> put_in_index(const nlohmann::json& delta, undo_log& undo);
  void put_names(std::unordered_set<std::string>& names, const nlohmann::json& delta,
                 const char* member, undo_log& undo);
  void unplace_route(const std::string& name, undo_log& undo);
  config::result<void> place_route(const std::string& name, route_place place, undo_log& undo);
  void unplace_key(const std::string& name, undo_log& undo);
  config::result<void> place_key(const std::string& name, key_place place, undo_log& undo);
  void erase_route(const std::string& name);
  void insert_route(const std::string& name, route_place place);
  void erase_key(const std::string& name);
  void insert_key(const std::string& name, key_place place);
  config::result<void> check_references(const nlohmann::json& delta) const;
  config::error with_file(config::error e) const;

  config::files files_;
  std::size_t bytes_ = 0;
  /// Per entity the compact JSON that each file states, in the order of the file names.
  std::map<entity_name, std::map<std::string, std::string>> statements_;
  std::unordered_map<std::string, route_place> routes_;
  std::unordered_map<std::string, std::vector<std::string>> routes_at_;
  std::unordered_map<std::string, key_place> keys_;
  std::unordered_map<std::string, std::string> key_by_digest_;
  std::unordered_set<std::string> services_;
  std::unordered_set<std::string> workspaces_;
  // Ordered, so that every voter names the same route or key in an error.
  std::unordered_map<std::string, std::set<std::string>> routes_of_service_;
  std::unordered_map<std::string, std::set<std::string>> keys_of_workspace_;
};

} // namespace kingcupshunt::state
