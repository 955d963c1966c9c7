#include "entity_reader.h"

#include <algorithm>

#include "kingcupshunt/config/object_reader.h"

namespace kingcupshunt::config {

using nlohmann::json;

namespace {

constexpr std::size_t max_name_length = 128;
constexpr double max_rate = 10'000'000;
constexpr std::int64_t max_timeout_ms = 600'000;

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
  return std::string("/") + kind + "/" + escape_pointer_token(name);
}

} // namespace

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
