#include "kingcupshunt/settings/process_settings.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include "kingcupshunt/config/object_reader.h"

namespace kingcupshunt::settings {

namespace {

using config::object_reader;
using nlohmann::json;

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_voters = 7;
constexpr std::int64_t max_time_ms = 3'600'000;

bool is_ip_address(const std::string& text) {
  in6_addr buf{};
  return inet_pton(AF_INET, text.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buf) == 1;
}

void read_endpoint(object_reader& reader, std::string_view name, endpoint& out) {
  std::string text;
  reader.require(name);
  reader.read(name, text);
  if (!parse_endpoint(text, out)) {
    reader.fail(config::error_code::out_of_range, name,
                "found \"" + text + "\", allowed is an IP address and a port, as 127.0.0.1:8080");
  }
}

result<std::string> read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return error{error_code::unreadable, file, "the file can't be opened or is empty"};
  }
  return text.str();
}

result<std::string> read_secret(const std::string& file) {
  struct stat info {};
  if (stat(file.c_str(), &info) != 0) {
    return error{error_code::unreadable, file, "the secret's file does not exist"};
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    return error{error_code::insecure_file, file, "allowed is mode 600 or 400"};
  }
  auto text = read_file(file);
  if (!text) {
    return text.error();
  }
  auto secret = text.value();
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.size() < min_secret_bytes) {
    return error{error_code::invalid, file, "a secret has at least 16 bytes"};
  }
  return secret;
}

void read_listen(object_reader& reader, process_settings& out) {
  read_endpoint(reader, "entry", out.entry);
  read_endpoint(reader, "announce", out.announce);
  read_endpoint(reader, "operator", out.operators);
  read_endpoint(reader, "peer", out.peer);
}

void read_limits(object_reader& reader, connection_limits& out) {
  reader.read("connections", out.connections, 1, 1'000'000);
  reader.read("connections_per_address", out.connections_per_address, 1, 1'000'000);
  reader.read("header_bytes", out.header_bytes, 1024, 1024 * 1024);
  reader.read("header_count", out.header_count, 8, 1000);
  reader.read_ms("idle_ms", out.idle, 1, max_time_ms);
  reader.read_ms("header_read_ms", out.header_read, 1, max_time_ms);
}

// Reads a nested object with `read` and passes its first error on to `outer`.
template <class Read>
void read_object(object_reader& outer, const json& document, const char* name, Read read) {
  json nested = json::object();
  outer.read_json(name, nested);
  if (!document.is_object() || !document.contains(name)) {
    return;
  }
  object_reader reader(nested, std::string("/") + name);
  read(reader);
  if (auto done = reader.finish(); !done) {
    outer.fail(done.error());
  }
}

void read_voters(object_reader& outer, std::vector<voter>& out) {
  json list = json::array();
  outer.read_json("voters", list);
  if (!list.is_array() || list.size() > max_voters) {
    outer.fail(config::error_code::out_of_range, "voters", "allowed is an array of at most 7");
    return;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    object_reader reader(list[i], "/voters/" + std::to_string(i));
    voter it;
    reader.require("id");
    reader.read("id", it.id);
    read_endpoint(reader, "peer", it.peer);
    if (auto done = reader.finish(); !done) {
      outer.fail(done.error());
      return;
    }
    if (std::ranges::any_of(out, [&](const voter& v) { return v.id == it.id; })) {
      outer.fail(config::error_code::duplicate, "voters", "two voters have the id " + it.id);
    }
    out.push_back(std::move(it));
  }
}

std::string resolve(const std::string& settings_file, const std::string& name) {
  if (name.empty()) {
    return {};
  }
  return (std::filesystem::path(settings_file).parent_path() / name).lexically_normal().string();
}

result<json> parse_json(std::string_view text, const std::string& file) {
  try {
    return json::parse(text, nullptr, true, true);
  } catch (const json::parse_error& e) {
    const auto line =
        1 + std::count(text.begin(), text.begin() + std::min(e.byte, text.size()), '\n');
    return error{error_code::invalid, file, "line " + std::to_string(line) + ": not valid JSON"};
  }
}

bool is_loopback(const endpoint& e) {
  return e.address == "::1" || e.address.rfind("127.", 0) == 0;
}

// Names of the files that hold secrets.
struct secret_files {
  std::string fleet;
  std::string operators;
};

void check_whole(object_reader& reader, const process_settings& out, const secret_files& secrets) {
  if (out.id.empty() || out.fleet.empty() || out.data_centre.empty()) {
    reader.fail(config::error_code::out_of_range, "id",
                "id, fleet and data_centre must not be empty");
  }
  if (out.voters.empty() || out.voters.size() % 2 == 0) {
    reader.fail(config::error_code::out_of_range, "voters", "allowed is an odd number of voters");
  }
  if (out.is_voter() && out.data_folder.empty()) {
    reader.fail(config::error_code::missing_member, "data_folder", "a voter needs a data folder");
  }
  if (!out.is_voter() && !out.config_folder.empty()) {
    reader.fail(config::error_code::out_of_range, "config_folder",
                "only a voter can watch a configuration folder");
  }
  if (!is_loopback(out.operators) && secrets.operators.empty()) {
    reader.fail(config::error_code::missing_member, "operator_secret_file",
                "an operator address other than loopback needs a secret");
  }
}

void read_all(object_reader& reader, const json& document, process_settings& out,
              secret_files& secrets) {
  for (const auto* name : {"id", "fleet", "data_centre", "fleet_secret_file", "listen", "voters"}) {
    reader.require(name);
  }
  reader.read("id", out.id);
  reader.read("fleet", out.fleet);
  reader.read("data_centre", out.data_centre);
  reader.read("fleet_secret_file", secrets.fleet);
  reader.read("operator_secret_file", secrets.operators);
  reader.read("data_folder", out.data_folder);
  reader.read("config_folder", out.config_folder);
  reader.read_ms("stop_lead_ms", out.stop_lead, 0, max_time_ms);
  reader.read_ms("stop_grace_ms", out.stop_grace, 0, max_time_ms);
  read_object(reader, document, "listen", [&](object_reader& r) { read_listen(r, out); });
  read_object(reader, document, "limits", [&](object_reader& r) { read_limits(r, out.limits); });
  read_voters(reader, out.voters);
  check_whole(reader, out, secrets);
}

} // namespace

bool parse_endpoint(const std::string& text, endpoint& out) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const auto* first = text.data() + colon + 1;
  const auto* last = text.data() + text.size();
  std::uint16_t port = 0;
  const auto [end, ec] = std::from_chars(first, last, port);
  if (ec != std::errc{} || end != last || port == 0 || !is_ip_address(host)) {
    return false;
  }
  out = endpoint{host, port};
  return true;
}

std::string endpoint::to_string() const {
  const bool is_v6 = address.find(':') != std::string::npos;
  return (is_v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

bool process_settings::is_voter() const noexcept {
  return std::ranges::any_of(voters, [&](const voter& v) { return v.id == id; });
}

result<process_settings> parse(std::string_view text, const std::string& file) {
  auto document = parse_json(text, file);
  if (!document) {
    return document.error();
  }
  object_reader reader(document.value(), "");
  process_settings out;
  secret_files secrets;
  read_all(reader, document.value(), out, secrets);
  if (auto done = reader.finish(); !done) {
    return error{error_code::invalid, file, config::describe(done.error())};
  }
  BOOST_OUTCOME_TRY(fleet_secret, read_secret(resolve(file, secrets.fleet)));
  out.fleet_secret = std::move(fleet_secret);
  if (!secrets.operators.empty()) {
    BOOST_OUTCOME_TRY(operator_secret, read_secret(resolve(file, secrets.operators)));
    out.operator_secret = std::move(operator_secret);
  }
  out.data_folder = resolve(file, out.data_folder);
  out.config_folder = resolve(file, out.config_folder);
  return out;
}

result<process_settings> load(const std::string& file) {
  auto text = read_file(file);
  if (!text) {
    return text.error();
  }
  return parse(text.value(), file);
}

} // namespace kingcupshunt::settings
