#pragma once

#include <functional>
#include <map>
#include <string>

namespace kingcupshunt::control {

/// Header names to values.
using http_headers = std::map<std::string, std::string>;

/// A request with its whole body in memory.
struct http_request {
  std::string method;
  std::string path;                         ///< without query, decoded
  std::map<std::string, std::string> query; ///< decoded
  http_headers headers;                     ///< names in lower case
  std::string body;
  std::string caller_address;

  /// Value of a header or query member, or an empty string.
  std::string header(const std::string& name) const;
  std::string parameter(const std::string& name) const;
};

struct http_response {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  http_headers headers{}; ///< besides Content-Type and the framing
};

/// Answers a request by calling `done` exactly once, within the call or later, on the same event
/// loop.
using http_handler = std::function<void(const http_request&, std::function<void(http_response)>)>;

/// JSON error answer {"error": code, "message": text}.
http_response error_response(unsigned status, const std::string& code, const std::string& message);

/// Splits a request target into path and query and decodes both. False when it is malformed.
bool parse_target(const std::string& target, http_request& out);

} // namespace kingcupshunt::control
