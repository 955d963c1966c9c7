#include "kingcupshunt/config/object_reader.h"

#include <algorithm>

namespace kingcupshunt::config {

using nlohmann::json;

std::string escape_pointer_token(std::string_view token) {
  std::string out;
  for (const char c : token) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out.push_back(c);
    }
  }
  return out;
}

object_reader::object_reader(const json& object, std::string pointer)
    : object_(object), pointer_(std::move(pointer)) {
  if (!object_.is_object()) {
    wrong_type("", object_, "an object");
  }
}

void object_reader::fail(error_code code, std::string_view name, std::string detail) {
  auto at = pointer_;
  if (!name.empty()) {
    at += "/" + escape_pointer_token(name);
  }
  fail(error{code, "", std::move(at), std::move(detail)});
}

void object_reader::fail(error e) {
  if (!has_error_) {
    has_error_ = true;
    error_ = std::move(e);
  }
}

void object_reader::read_json(std::string_view name, json& out) {
  if (const auto* found = member(name)) {
    out = *found;
  }
}

void object_reader::wrong_type(std::string_view name, const json& found, const char* allowed) {
  fail(error_code::wrong_type, name,
       std::string("found ") + found.type_name() + ", allowed is " + allowed);
}

bool object_reader::has(std::string_view name) const {
  return object_.is_object() && object_.contains(std::string(name));
}

const json* object_reader::member(std::string_view name) {
  known_.emplace_back(name);
  if (!object_.is_object()) {
    return nullptr;
  }
  const auto it = object_.find(std::string(name));
  return it == object_.end() ? nullptr : &*it;
}

void object_reader::require(std::string_view name) {
  if (object_.is_object() && !object_.contains(std::string(name))) {
    fail(error_code::missing_member, name, "");
  }
}

void object_reader::read(std::string_view name, bool& out) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_boolean()) {
    wrong_type(name, *found, "true or false");
    return;
  }
  out = found->get<bool>();
}

void object_reader::read(std::string_view name, double& out, double low, double high) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number()) {
    wrong_type(name, *found, "a number");
    return;
  }
  const auto value = found->get<double>();
  if (!(value >= low && value <= high)) {
    fail(error_code::out_of_range, name,
         "found " + found->dump() + ", allowed is " + json(low).dump() + " to " +
             json(high).dump());
    return;
  }
  out = value;
}

void object_reader::read(std::string_view name, std::uint64_t& out, std::uint64_t low,
                         std::uint64_t high) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_number_integer()) {
    wrong_type(name, *found, "a whole number");
    return;
  }
  if (!found->is_number_unsigned() || found->get<std::uint64_t>() < low ||
      found->get<std::uint64_t>() > high) {
    fail(error_code::out_of_range, name,
         "found " + found->dump() + ", allowed is " + std::to_string(low) + " to " +
             std::to_string(high));
    return;
  }
  out = found->get<std::uint64_t>();
}

void object_reader::read(std::string_view name, std::uint32_t& out, std::uint32_t low,
                         std::uint32_t high) {
  std::uint64_t wide = out;
  read(name, wide, static_cast<std::uint64_t>(low), static_cast<std::uint64_t>(high));
  out = static_cast<std::uint32_t>(wide);
}

void object_reader::read(std::string_view name, std::string& out) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string()) {
    wrong_type(name, *found, "a string");
    return;
  }
  out = found->get<std::string>();
}

void object_reader::read(std::string_view name, std::vector<std::string>& out) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array() || !std::ranges::all_of(*found, [](auto& v) { return v.is_string(); })) {
    wrong_type(name, *found, "an array of strings");
    return;
  }
  out = found->get<std::vector<std::string>>();
}

void object_reader::read_ms(std::string_view name, base::milliseconds& out, std::int64_t low,
                            std::int64_t high) {
  auto wide = static_cast<std::uint64_t>(out.count());
  read(name, wide, static_cast<std::uint64_t>(low), static_cast<std::uint64_t>(high));
  out = base::milliseconds(static_cast<std::int64_t>(wide));
}

void object_reader::read_digest(std::string_view name, base::sha256_digest& out) {
  const auto* found = member(name);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || !base::parse_hex(found->get_ref<const std::string&>(), out)) {
    // The value is not repeated: an operator may have put the key itself here.
    fail(error_code::out_of_range, name, "allowed are 64 hexadecimal digits of a SHA-256");
  }
}

void object_reader::read_class(std::string_view name, request_class& out) {
  std::string text;
  read(name, text);
  if (text == "critical") {
    out = request_class::critical;
  } else if (text == "normal") {
    out = request_class::normal;
  } else if (text == "deferrable") {
    out = request_class::deferrable;
  } else if (!text.empty() || has(name)) {
    fail(error_code::out_of_range, name,
         "found \"" + text + "\", allowed is critical, normal or deferrable");
  }
}

result<void> object_reader::finish() {
  if (object_.is_object()) {
    for (const auto& [name, value] : object_.items()) {
      if (std::ranges::find(known_, name) == known_.end()) {
        fail(error_code::unknown_member, name, "");
      }
    }
  }
  if (has_error_) {
    return error_;
  }
  return base::success();
}

} // namespace kingcupshunt::config
