#include "entity_reader.h"

#include <algorithm>

namespace kingcupshunt::config {

using nlohmann::json;

namespace {

constexpr std::size_t max_name_length = 128;
constexpr double max_rate = 10'000'000;
constexpr std::int64_t max_timeout_ms = 600'000;

std::string escape_token(std::string_view token) {
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

bool is_name_char(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool is_method(std::string_view text) noexcept {
  return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= 'A' && c <= 'Z'; });
}

void check_name(object_reader& reader, std::string_view name) {
  if (name.empty() || name.size() > max_name_length || !std::ranges::all_of(name, is_name_char)) {
    reader.fail(error_code::out_of_range, "",
                "a name has 1 to 128 characters of a-z A-Z 0-9 - _ .");
  }
}

std::string pointer_to(const char* kind, std::string_view name) {
  return std::string("/") + kind + "/" + escape_token(name);
}

} // namespace

object_reader::object_reader(const json& object, std::string pointer)
    : object_(object), pointer_(std::move(pointer)) {
  if (!object_.is_object()) {
    wrong_type("", object_, "an object");
  }
}

void object_reader::fail(error_code code, std::string_view name, std::string detail) {
  if (has_error_) {
    return;
  }
  has_error_ = true;
  auto at = pointer_;
  if (!name.empty()) {
    at += "/" + escape_token(name);
  }
  error_ = error{code, "", std::move(at), std::move(detail)};
}

void object_reader::wrong_type(std::string_view name, const json& found, const char* allowed) {
  fail(error_code::wrong_type, name,
       std::string("found ") + found.type_name() + ", allowed is " + allowed);
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
  } else if (!text.empty() || (object_.is_object() && object_.contains(std::string(name)))) {
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

result<service> read_service(const std::string& name, const json& object) {
  object_reader reader(object, pointer_to("services", name));
  check_name(reader, name);
  service out;
  out.name = name;
  reader.require("secret_sha256");
  reader.read("floor", out.floor, 0, 1);
  reader.read_digest("secret_sha256", out.secret_sha256);
  reader.read("queue_limit", out.queue_limit, 0, 100'000);
  reader.read_ms("timeout_ms", out.timeout, 1, max_timeout_ms);
  reader.read("health_path", out.health_path);
  reader.read("max_connections", out.max_connections, 1, 100'000);
  if (out.health_path.empty() || out.health_path.front() != '/') {
    reader.fail(error_code::out_of_range, "health_path", "a path starts with /");
  }
  auto done = reader.finish();
  if (!done) {
    return done.error();
  }
  return out;
}

result<route> read_route(const std::string& name, const json& object) {
  object_reader reader(object, pointer_to("routes", name));
  check_name(reader, name);
  route out;
  out.name = name;
  reader.require("service");
  reader.require("prefix");
  reader.read("service", out.service);
  reader.read("host", out.host);
  reader.read("prefix", out.prefix);
  reader.read("methods", out.methods);
  reader.read("is_open", out.is_open);
  reader.read("is_repeatable", out.is_repeatable);
  reader.read("is_hedged", out.is_hedged);
  reader.read_class("class", out.priority);
  reader.read_ms("timeout_ms", out.timeout, 0, max_timeout_ms);
  reader.read("body_limit", out.body_limit, std::uint64_t{0}, std::uint64_t{1} << 40U);
  if (out.prefix.empty() || out.prefix.front() != '/') {
    reader.fail(error_code::out_of_range, "prefix", "a prefix starts with /");
  }
  if (!std::ranges::all_of(out.methods, is_method)) {
    reader.fail(error_code::out_of_range, "methods", "a method has letters A-Z only");
  }
  if (out.is_open && !out.is_repeatable) {
    reader.fail(error_code::out_of_range, "is_open",
                "a route that is not repeatable needs a workspace and can't be open");
  }
  if (out.is_hedged && !out.is_repeatable) {
    reader.fail(error_code::out_of_range, "is_hedged", "only repeatable routes can be hedged");
  }
  auto done = reader.finish();
  if (!done) {
    return done.error();
  }
  return out;
}

result<workspace> read_workspace(const std::string& name, const json& object) {
  object_reader reader(object, pointer_to("workspaces", name));
  check_name(reader, name);
  workspace out;
  out.name = name;
  reader.read("rate", out.rate, 0, max_rate);
  reader.read("burst", out.burst, 1, max_rate);
  reader.read("weight", out.weight, 0.001, 1000);
  auto done = reader.finish();
  if (!done) {
    return done.error();
  }
  return out;
}

result<key> read_key(const std::string& name, const json& object) {
  object_reader reader(object, pointer_to("keys", name));
  check_name(reader, name);
  key out;
  out.name = name;
  reader.require("workspace");
  reader.require("sha256");
  reader.read("workspace", out.workspace);
  reader.read_digest("sha256", out.sha256);
  reader.read("is_withdrawn", out.is_withdrawn);
  auto done = reader.finish();
  if (!done) {
    return done.error();
  }
  return out;
}

} // namespace kingcupshunt::config
