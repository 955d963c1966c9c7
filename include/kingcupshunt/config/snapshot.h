#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "kingcupshunt/config/change_set.h"
#include "kingcupshunt/config/document.h"
#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view s) const noexcept { return base::hash64(s); }
};

template <class T>
using named =
    std::unordered_map<std::string, std::shared_ptr<const T>, string_hash, std::equal_to<>>;

/// The configuration in force on one instance. Requests in flight keep the entities they started
/// with through shared pointers.
class snapshot {
public:
  const named<service>& services() const noexcept { return services_; }
  const named<route>& routes() const noexcept { return routes_; }
  const named<workspace>& workspaces() const noexcept { return workspaces_; }
  const named<key>& keys() const noexcept { return keys_; }
  const named<caller_limits>& limits() const noexcept { return limits_; }
  /// Keys that are named by their hashes; the others are in keys().
  const key_table& issued_keys() const noexcept { return *issued_keys_; }

  /// Bounds named "entry", or null.
  std::shared_ptr<const caller_limits> entry_limits() const;

  std::shared_ptr<const service> find_service(std::string_view name) const;
  std::shared_ptr<const workspace> find_workspace(std::string_view name) const;

  /// Key with this hash, withdrawn or not. The digest is compared in constant time.
  std::shared_ptr<const key> find_key(const base::sha256_digest& sha256) const;

  /// Route with the longest matching prefix; one that names the host goes before one that does
  /// not. Null when none matches. Cost depends on the path's depth, not on the number of routes.
  std::shared_ptr<const route> find_route(std::string_view host, std::string_view method,
                                          std::string_view path) const;

  /// Applies a delta of make_delta or a whole document. On an error nothing has changed.
  /// Does not check references between entities; see validate.
  result<void> apply(const nlohmann::json& delta);
  void apply(const change_set& changes);

  /// Checks references and duplicates over the whole snapshot.
  result<void> validate() const;

private:
  void index_route(const std::shared_ptr<const route>& r);
  void unindex_route(const route& r);
  std::shared_ptr<const route> match(std::string_view host, std::string_view method,
                                     std::string_view path) const;

  named<service> services_;
  named<route> routes_;
  named<workspace> workspaces_;
  named<key> keys_;
  named<caller_limits> limits_;
  std::shared_ptr<const key_table> issued_keys_ = std::make_shared<const key_table>();
  std::unordered_map<std::string, std::shared_ptr<const key>> keys_by_digest_;
  // "host\nprefix" to the routes there, which differ in their methods.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const route>>> routes_by_prefix_;
};

/// Merges, parses and validates a folder. Errors carry the file that stated the value.
result<snapshot> parse(const files& all);

/// The merged document of a snapshot with every member written out. Applying it to an empty
/// snapshot gives an equal one.
nlohmann::json to_document(const snapshot& s);

} // namespace kingcupshunt::config
