#include "kingcupshunt/config/document.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace kingcupshunt::config {

namespace {

using nlohmann::json;

// nlohmann reports a byte offset; operators look for a line.
std::string position_of(std::string_view text, std::size_t byte) {
  const auto before = text.substr(0, std::min(byte, text.size()));
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const auto last = before.rfind('\n');
  const auto column = last == std::string_view::npos ? before.size() : before.size() - last - 1;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

// merge_patch recurses once for each level.
constexpr int max_depth = 32;

result<json> parse_file(const std::string& name, const std::string& text) {
  bool is_too_deep = false;
  const auto check_depth = [&](int depth, json::parse_event_t, json&) {
    is_too_deep = is_too_deep || depth > max_depth;
    return !is_too_deep;
  };
  try {
    auto parsed = json::parse(text, check_depth, true, true);
    if (is_too_deep) {
      return error{error_code::out_of_range, name, "", "more than 32 levels of nesting"};
    }
    if (!parsed.is_object()) {
      return error{error_code::wrong_type, name, "",
                   std::string("found ") + parsed.type_name() + ", allowed is an object"};
    }
    return parsed;
  } catch (const json::parse_error& e) {
    return error{error_code::not_json, name, "", position_of(text, e.byte)};
  } catch (const json::exception&) {
    return error{error_code::out_of_range, name, "", "a number is too large"};
  }
}

json section(const json& document, const std::string& name) {
  const auto it = document.find(name);
  return it == document.end() ? json::object() : *it;
}

json section_delta(const json& before, const json& after) {
  auto delta = json::object();
  for (const auto& [name, entity] : after.items()) {
    const auto it = before.find(name);
    if (it == before.end() || *it != entity) {
      delta[name] = entity;
    }
  }
  for (const auto& [name, entity] : before.items()) {
    if (!after.contains(name)) {
      delta[name] = nullptr;
    }
  }
  return delta;
}

} // namespace

result<json> merge(const files& all) {
  auto merged = json::object();
  for (const auto& [name, text] : all) {
    auto parsed = parse_file(name, text);
    if (!parsed) {
      return parsed.error();
    }
    merged.merge_patch(parsed.value());
  }
  return merged;
}

std::string file_stating(const files& all, const std::string& pointer) {
  json::json_pointer at;
  try {
    at = json::json_pointer(pointer);
  } catch (const json::exception&) {
    return {};
  }
  while (true) {
    for (auto it = all.rbegin(); it != all.rend(); ++it) {
      const auto parsed = parse_file(it->first, it->second);
      if (parsed && parsed.value().contains(at)) {
        return it->first;
      }
    }
    if (at.empty()) {
      return {};
    }
    at.pop_back();
  }
}

json make_delta(const json& before, const json& after) {
  auto delta = json::object();
  for (const auto* name : {"services", "routes", "workspaces", "keys", "limits"}) {
    auto part = section_delta(section(before, name), section(after, name));
    if (!part.empty()) {
      delta[name] = std::move(part);
    }
  }
  return delta;
}

} // namespace kingcupshunt::config
