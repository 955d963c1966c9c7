#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

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
  struct route_place {
    std::string service;
    std::string where; ///< host and normalized prefix
    std::vector<std::string> methods;
  };
  struct key_place {
    std::string workspace;
    std::string digest;
  };
  struct undo;
  struct parsed_file;

  static config::result<parsed_file> parse_file(const std::string& name, const std::string& text);
  nlohmann::json merged_entity(const entity_name& name) const;
  std::string last_file_of(const entity_name& name) const;
  void put_statement(const entity_name& name, const std::string& file, std::string patch,
                     undo& log);
  config::result<void> check(const config::snapshot& changed, const nlohmann::json& delta,
                             undo& log);
  config::result<void> check_routes(const config::snapshot& changed, const nlohmann::json& delta);
  config::result<void> check_keys(const config::snapshot& changed, const nlohmann::json& delta);
  config::result<void> check_references(const config::snapshot& changed,
                                        const nlohmann::json& delta) const;
  void unplace_route(const std::string& name);
  void place_route(const std::string& name, route_place place);
  void unplace_key(const std::string& name);
  void place_key(const std::string& name, key_place place);
  void roll_back(undo& log);

  config::files files_;
  std::size_t bytes_ = 0;
  /// Per entity the compact JSON that each file states, in the order of the file names.
  std::map<entity_name, std::map<std::string, std::string>> statements_;
  std::unordered_map<std::string, route_place> routes_;
  std::unordered_map<std::string, std::vector<std::string>> routes_at_;
  std::unordered_map<std::string, key_place> keys_;
  std::unordered_map<std::string, std::string> key_by_digest_;
  std::unordered_map<std::string, std::unordered_set<std::string>> routes_of_service_;
  std::unordered_map<std::string, std::unordered_set<std::string>> keys_of_workspace_;
};

} // namespace kingcupshunt::state
