#include "kingcupshunt/config/snapshot.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace kingcupshunt::config {

using nlohmann::json;

namespace {

template <class T>
void store(named<T>& all, const entity_change<T>& change) {
  if (change.entity) {
    all.insert_or_assign(change.name, change.entity);
  } else {
    all.erase(change.name);
  }
}

template <class T>
std::shared_ptr<const T> find(const named<T>& all, std::string_view name) {
  const auto it = all.find(name);
  return it == all.end() ? nullptr : it->second;
}

std::string digest_key(const base::sha256_digest& d) {
  return std::string(base::bytes_of(d));
}

std::string prefix_key(std::string_view host, std::string_view prefix) {
  std::string out(host);
  out.push_back('\n');
  // "/fit" and "/fit/" share a place. They differ only for the path "/fit", see match().
  if (prefix.size() > 1 && prefix.back() == '/') {
    prefix.remove_suffix(1);
  }
  out.append(prefix);
  return out;
}

bool allows_method(const route& r, std::string_view method) {
  return r.methods.empty() || std::ranges::find(r.methods, method) != r.methods.end();
}

bool have_common_method(const route& a, const route& b) {
  if (a.methods.empty() || b.methods.empty()) {
    return a.methods.empty() && b.methods.empty();
  }
  return std::ranges::any_of(a.methods, [&](auto& m) { return allows_method(b, m); });
}

} // namespace

std::shared_ptr<const caller_limits> snapshot::entry_limits() const {
  return find(limits_, "entry");
}

std::shared_ptr<const service> snapshot::find_service(std::string_view name) const {
  return find(services_, name);
}

std::shared_ptr<const workspace> snapshot::find_workspace(std::string_view name) const {
  return find(workspaces_, name);
}

std::shared_ptr<const key> snapshot::find_key(const base::sha256_digest& sha256) const {
  const auto it = keys_by_digest_.find(digest_key(sha256));
  if (it != keys_by_digest_.end() && base::is_equal_constant_time(it->second->sha256, sha256)) {
    return it->second;
  }
  const auto* workspace = issued_keys_->find(sha256);
  if (workspace == nullptr) {
    return nullptr;
  }
  return std::make_shared<const key>(key{base::to_hex(sha256), *workspace, sha256, false});
}

std::shared_ptr<const route> snapshot::find_route(std::string_view host, std::string_view method,
                                                  std::string_view path) const {
  if (auto named_host = match(host, method, path)) {
    return named_host;
  }
  return host.empty() ? nullptr : match("", method, path);
}

std::shared_ptr<const route> snapshot::match(std::string_view host, std::string_view method,
                                             std::string_view path) const {
  const auto whole = path;
  while (true) {
    const auto it = routes_by_prefix_.find(prefix_key(host, path));
    if (it != routes_by_prefix_.end()) {
      // A route that names the method goes before one for all methods.
      std::shared_ptr<const route> any;
      for (const auto& candidate : it->second) {
        if (!whole.starts_with(candidate->prefix)) {
          continue; // the prefix ends with a slash that the path lacks
        }
        if (candidate->methods.empty()) {
          any = candidate;
        } else if (allows_method(*candidate, method)) {
          return candidate;
        }
      }
      if (any) {
        return any;
      }
    }
    if (path.size() <= 1) {
      return nullptr;
    }
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, std::max<std::size_t>(slash, 1));
  }
}

void snapshot::index_route(const std::shared_ptr<const route>& r) {
  routes_by_prefix_[prefix_key(r->host, r->prefix)].push_back(r);
}

void snapshot::unindex_route(const route& r) {
  const auto it = routes_by_prefix_.find(prefix_key(r.host, r.prefix));
  if (it == routes_by_prefix_.end()) {
    return;
  }
  std::erase_if(it->second, [&](auto& other) { return other->name == r.name; });
  if (it->second.empty()) {
    routes_by_prefix_.erase(it);
  }
}

result<void> snapshot::apply(const json& delta) {
  auto read = read_changes(delta);
  if (!read) {
    return read.error();
  }
  apply(read.value());
  return base::success();
}

void snapshot::apply(const change_set& all) {
  for (const auto& change : all.services) {
    store(services_, change);
  }
  for (const auto& change : all.limits) {
    store(limits_, change);
  }
  for (const auto& change : all.workspaces) {
    store(workspaces_, change);
  }
  for (const auto& change : all.routes) {
    if (const auto old = find(routes_, change.name)) {
      unindex_route(*old);
    }
    store(routes_, change);
    if (change.entity) {
      index_route(change.entity);
    }
  }
  for (const auto& change : all.keys) {
    if (const auto old = find(keys_, change.name)) {
      const auto it = keys_by_digest_.find(digest_key(old->sha256));
      if (it != keys_by_digest_.end() && it->second->name == old->name) {
        keys_by_digest_.erase(it);
      }
    }
    store(keys_, change);
  }
  // Indexed after all removals, so that two keys may exchange their hashes in one change.
  for (const auto& change : all.keys) {
    if (change.entity) {
      keys_by_digest_[digest_key(change.entity->sha256)] = change.entity;
    }
  }
  if (!all.issued_keys.empty()) {
    issued_keys_ = std::make_shared<const key_table>(*issued_keys_, all.issued_keys);
  }
}

result<void> snapshot::validate() const {
  for (const auto& [name, r] : routes_) {
    for (const auto& part : r->parts) {
      if (!services_.contains(part.service)) {
        return error{error_code::unknown_reference, "", "/routes/" + name + "/parts",
                     "service \"" + part.service + "\" does not exist"};
      }
    }
    if (r->parts.empty() && !services_.contains(r->service)) {
      return error{error_code::unknown_reference, "", "/routes/" + name + "/service",
                   "service \"" + r->service + "\" does not exist"};
    }
  }
  for (const auto& [name, k] : keys_) {
    if (!workspaces_.contains(k->workspace)) {
      return error{error_code::unknown_reference, "", "/keys/" + name + "/workspace",
                   "workspace \"" + k->workspace + "\" does not exist"};
    }
    const auto same = find_key(k->sha256);
    if (same == nullptr || same->name != name) {
      return error{error_code::duplicate, "", "/keys/" + name + "/sha256",
                   "another key has the same hash"};
    }
  }
  for (const auto& name : issued_keys_->workspaces()) {
    if (!workspaces_.contains(name)) {
      return error{error_code::unknown_reference, "", "/keys",
                   "workspace \"" + name + "\" of issued keys does not exist"};
    }
  }
  for (const auto& [where, same_prefix] : routes_by_prefix_) {
    for (std::size_t i = 0; i < same_prefix.size(); ++i) {
      for (std::size_t j = i + 1; j < same_prefix.size(); ++j) {
        if (have_common_method(*same_prefix[i], *same_prefix[j])) {
          return error{error_code::duplicate, "", "/routes/" + same_prefix[j]->name,
                       "route \"" + same_prefix[i]->name +
                           "\" has the same host, prefix and method"};
        }
      }
    }
  }
  return base::success();
}

result<snapshot> parse(const files& all) {
  const auto with_file = [&](error e) {
    if (e.file.empty()) {
      e.file = file_stating(all, e.pointer);
    }
    return e;
  };
  auto merged = merge(all);
  if (!merged) {
    return merged.error();
  }
  snapshot out;
  if (auto applied = out.apply(merged.value()); !applied) {
    return with_file(applied.error());
  }
  if (auto valid = out.validate(); !valid) {
    return with_file(valid.error());
  }
  return out;
}

} // namespace kingcupshunt::config
