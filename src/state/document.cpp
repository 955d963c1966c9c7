#include "kingcupshunt/state/document.h"

#include <array>
#include <utility>

namespace kingcupshunt::state {

using config::error;
using config::error_code;
using nlohmann::json;

namespace {

constexpr std::array<const char*, 4> section_names = {"services", "routes", "workspaces", "keys"};

// Deeper values have no use in the folder and would exhaust the stack of recursive functions.
constexpr std::size_t max_depth = 32;

/// Reads events of the parser to bound the nesting and to find numbers that no type holds, for
/// which the ordinary parser throws.
struct depth_check : json::json_sax_t {
  std::size_t depth = 0;
  bool is_too_deep = false;
  bool is_overflow = false;

  bool enter() {
    is_too_deep = ++depth > max_depth;
    return !is_too_deep;
  }
  bool leave() {
    --depth;
    return true;
  }
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception& e) override {
    constexpr int out_of_range_number = 406;
    is_overflow = e.id == out_of_range_number;
    return false;
  }
};

bool contains(const json& value, const std::string& pointer) {
  try {
    return value.contains(json::json_pointer(pointer));
  } catch (const json::exception&) {
    return false; // a member name with '~' stands unescaped in the pointer
  }
}

const json& part(const json& delta, const char* name) {
  static const json none = json::object();
  const auto it = delta.find(name);
  return it == delta.end() ? none : *it;
}

} // namespace

std::string document::pointer_of(const entity_name& name, const char* member) {
  std::string out =
      std::string("/") + section_names[static_cast<std::size_t>(name.first)] + "/" + name.second;
  if (*member != '\0') {
    out += std::string("/") + member;
  }
  return out;
}

config::result<document::file_statements> document::read_file(const std::string& name,
                                                              const std::string& text) {
  depth_check nesting;
  json::sax_parse(text, &nesting, json::input_format_t::json, true, true);
  if (nesting.is_too_deep) {
    return error{error_code::out_of_range, name, "",
                 "found values nested deeper than " + std::to_string(max_depth)};
  }
  if (nesting.is_overflow) {
    return error{error_code::out_of_range, name, "", "found a number that is too large"};
  }
  // merge reports syntax errors with line and column.
  BOOST_OUTCOME_TRY(config::merge({{name, text}}));
  const auto parsed = json::parse(text, nullptr, true, true);
  file_statements out;
  for (const auto& [key, value] : parsed.items()) {
    std::size_t i = 0;
    while (i < section_names.size() && key != section_names[i]) {
      ++i;
    }
    if (i == section_names.size()) {
      if (value.is_null()) {
        continue;
      }
      return error{error_code::unknown_member, name, "/" + key,
                   "allowed are services, routes, workspaces and keys"};
    }
    if (!value.is_object()) {
      return error{error_code::wrong_type, name, "/" + key,
                   std::string("found ") + value.type_name() + ", allowed is an object"};
    }
    for (const auto& [entity, patch] : value.items()) {
      out.emplace(entity_name{static_cast<section>(i), entity}, patch.dump());
    }
  }
  return out;
}

json document::merged_entity(const entity_name& name) const {
  json out;
  const auto it = statements_.find(name);
  if (it != statements_.end()) {
    for (const auto& [file, patch] : it->second) {
      out.merge_patch(json::parse(patch));
    }
  }
  return out;
}

void document::put_statement(const entity_name& name, const std::string& file,
                             const std::string* patch, undo_log& undo) {
  auto& by_file = statements_[name];
  const auto old = by_file.find(file);
  if (old != by_file.end()) {
    undo.emplace_back([this, name, file, text = old->second] { statements_[name][file] = text; });
  } else {
    undo.emplace_back([this, name, file] {
      auto& all = statements_[name];
      all.erase(file);
      if (all.empty()) {
        statements_.erase(name);
      }
    });
  }
  if (patch != nullptr) {
    by_file[file] = *patch;
    return;
  }
  by_file.erase(file);
  if (by_file.empty()) {
    statements_.erase(name);
  }
}

config::result<void> document::put_file(const std::string& name, const std::string* text,
                                        before_map& before, undo_log& undo) {
  file_statements now;
  if (text != nullptr) {
    BOOST_OUTCOME_TRY(read, read_file(name, *text));
    now = std::move(read);
  }
  file_statements former;
  const auto old = files_.find(name);
  if (old != files_.end()) {
    BOOST_OUTCOME_TRY(read, read_file(name, old->second));
    former = std::move(read);
  }
  const auto change = [&](const entity_name& entity, const std::string* patch) {
    if (!before.contains(entity)) {
      before.emplace(entity, merged_entity(entity));
    }
    put_statement(entity, name, patch, undo);
  };
  for (const auto& [entity, patch] : now) {
    const auto it = former.find(entity);
    if (it == former.end() || it->second != patch) {
      change(entity, &patch);
    }
  }
  for (const auto& [entity, patch] : former) {
    if (!now.contains(entity)) {
      change(entity, nullptr);
    }
  }
  return base::success();
}

json document::make_delta(const before_map& before) const {
  auto out = json::object();
  for (const auto& [entity, old] : before) {
    auto merged = merged_entity(entity);
    if (merged != old) {
      out[section_names[static_cast<std::size_t>(entity.first)]][entity.second] = std::move(merged);
    }
  }
  return out;
}

config::result<json> document::apply(const changes& change) {
  undo_log undo;
  before_map before;
  json delta;
  const auto attempt = [&]() -> config::result<void> {
    for (const auto& [name, text] : change) {
      BOOST_OUTCOME_TRY(put_file(name, text, before, undo));
    }
    delta = make_delta(before);
    return put_in_index(delta, undo);
  };
  if (auto done = attempt(); !done) {
    auto failure = with_file(done.error());
    for (auto it = undo.rbegin(); it != undo.rend(); ++it) {
      (*it)();
    }
    return failure;
  }
  for (const auto& [name, text] : change) {
    if (const auto old = files_.find(name); old != files_.end()) {
      bytes_ -= old->second.size();
      files_.erase(old);
    }
    if (text != nullptr) {
      bytes_ += text->size();
      files_.emplace(name, *text);
    }
  }
  return delta;
}

json document::merged() const {
  auto out = json::object();
  for (const auto& [entity, by_file] : statements_) {
    auto merged = merged_entity(entity);
    if (!merged.is_null()) {
      out[section_names[static_cast<std::size_t>(entity.first)]][entity.second] = std::move(merged);
    }
  }
  return out;
}

config::result<void> document::put_in_index(const json& delta, undo_log& undo) {
  // Reads only the changed entities; types and ranges are checked here.
  config::snapshot changed;
  BOOST_OUTCOME_TRY(changed.apply(delta));
  put_names(services_, delta, "services", undo);
  put_names(workspaces_, delta, "workspaces", undo);
  // All removals go first, so that two entities may exchange their prefixes or hashes.
  for (const auto& [name, value] : part(delta, "routes").items()) {
    unplace_route(name, undo);
  }
  for (const auto& [name, value] : part(delta, "keys").items()) {
    unplace_key(name, undo);
  }
  for (const auto& [name, value] : part(delta, "routes").items()) {
    if (const auto it = changed.routes().find(name); it != changed.routes().end()) {
      auto prefix = it->second->prefix;
      if (prefix.size() > 1 && prefix.back() == '/') {
        prefix.pop_back();
      }
      BOOST_OUTCOME_TRY(place_route(
          name, {it->second->service, it->second->host + "\n" + prefix, it->second->methods},
          undo));
    }
  }
  for (const auto& [name, value] : part(delta, "keys").items()) {
    if (const auto it = changed.keys().find(name); it != changed.keys().end()) {
      const auto& digest = it->second->sha256;
      BOOST_OUTCOME_TRY(
          place_key(name, {it->second->workspace, std::string(base::bytes_of(digest))}, undo));
    }
  }
  return check_references(delta);
}

config::error document::with_file(error e) const {
  const auto slash = e.pointer.find('/', 1);
  if (!e.file.empty() || slash == std::string::npos) {
    return e;
  }
  const auto section_name = e.pointer.substr(1, slash - 1);
  for (std::size_t i = 0; i < section_names.size(); ++i) {
    if (section_name != section_names[i]) {
      continue;
    }
    const auto end = e.pointer.find('/', slash + 1);
    const auto entity =
        e.pointer.substr(slash + 1, end == std::string::npos ? std::string::npos : end - slash - 1);
    const auto it = statements_.find({static_cast<section>(i), entity});
    if (it == statements_.end()) {
      return e;
    }
    // The last file that states the value, or else the last one that states the entity.
    const auto at = end == std::string::npos ? std::string() : e.pointer.substr(end);
    for (auto file = it->second.rbegin(); file != it->second.rend(); ++file) {
      if (contains(json::parse(file->second), at)) {
        e.file = file->first;
        return e;
      }
    }
    e.file = it->second.rbegin()->first;
  }
  return e;
}

} // namespace kingcupshunt::state
