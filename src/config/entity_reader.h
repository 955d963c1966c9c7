#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

/// Reads the members of one JSON object and remembers the first error.
class object_reader {
public:
  object_reader(const nlohmann::json& object, std::string pointer);

  void read(std::string_view name, bool& out);
  void read(std::string_view name, double& out, double low, double high);
  void read(std::string_view name, std::uint32_t& out, std::uint32_t low, std::uint32_t high);
  void read(std::string_view name, std::uint64_t& out, std::uint64_t low, std::uint64_t high);
  void read(std::string_view name, std::string& out);
  void read(std::string_view name, std::vector<std::string>& out);
  void read_ms(std::string_view name, base::milliseconds& out, std::int64_t low, std::int64_t high);
  void read_digest(std::string_view name, base::sha256_digest& out);
  void read_class(std::string_view name, request_class& out);
  void require(std::string_view name);

  /// Records an error unless there already is one.
  void fail(error_code code, std::string_view name, std::string detail);

  /// The first error, or unknown_member for a member that was never read.
  result<void> finish();

private:
  const nlohmann::json* member(std::string_view name);
  void wrong_type(std::string_view name, const nlohmann::json& found, const char* allowed);

  const nlohmann::json& object_;
  std::string pointer_;
  std::vector<std::string> known_;
  error error_;
  bool has_error_ = false;
};

result<service> read_service(const std::string& name, const nlohmann::json& object);
result<route> read_route(const std::string& name, const nlohmann::json& object);
result<workspace> read_workspace(const std::string& name, const nlohmann::json& object);
result<key> read_key(const std::string& name, const nlohmann::json& object);

} // namespace kingcupshunt::config
