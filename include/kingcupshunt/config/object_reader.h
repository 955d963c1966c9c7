#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/entities.h"
#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

/// Escapes one name for use in a JSON pointer.
std::string escape_pointer_token(std::string_view token);

/// Reads the members of one JSON object and remembers the first error. An absent member keeps the
/// default that the caller put into `out`. The object must outlive the reader.
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
  void read_json(std::string_view name, nlohmann::json& out);
  void require(std::string_view name);
  bool has(std::string_view name) const;

  /// Records an error unless there already is one.
  void fail(error_code code, std::string_view name, std::string detail);
  void fail(error e);

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

} // namespace kingcupshunt::config
