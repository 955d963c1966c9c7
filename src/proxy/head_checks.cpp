#include "kingcupshunt/proxy/head_checks.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include <boost/beast/core/string.hpp>

#include "kingcupshunt/base/http_status.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;

namespace {

bool is_control(char c) noexcept {
  const auto u = static_cast<unsigned char>(c);
  return u < 0x20 || u == 0x7f;
}

std::string_view view_of(boost::beast::string_view s) noexcept {
  return {s.data(), s.size()};
}

bool is_digits(std::string_view s) noexcept {
  return !s.empty() && s.size() <= 18 &&
         std::all_of(s.begin(), s.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Checks Content-Length and Transfer-Encoding. Returns an error message, or nullptr.
const char* check_framing(const http::fields& fields) {
  const auto lengths = fields.count(http::field::content_length);
  const auto codings = fields.count(http::field::transfer_encoding);
  if (lengths > 1) {
    return "Content-Length is repeated";
  }
  if (codings > 1) {
    return "Transfer-Encoding is repeated";
  }
  if (lengths > 0 && codings > 0) {
    return "both Content-Length and Transfer-Encoding are present";
  }
  if (lengths > 0 && !is_digits(view_of(fields[http::field::content_length]))) {
    return "Content-Length is not a number";
  }
  if (codings > 0 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked")) {
    return "Transfer-Encoding other than chunked";
  }
  return nullptr;
}

int hex_value(char c) noexcept {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

refusal bad_target(std::string message) {
  return bad_request("bad_target", std::move(message));
}

/// Checks for empty and dot segments. Returns an error message, or nullptr.
const char* check_segments(std::string_view path) noexcept {
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    const auto segment = path.substr(start, end - start);
    if (segment.empty() && end != path.size()) {
      return "the path has an empty segment";
    }
    if (segment == "." || segment == "..") {
      return "the path has a dot segment";
    }
    start = end + 1;
  }
  return nullptr;
}

} // namespace

std::size_t find_head_end(std::string_view data, std::size_t from) noexcept {
  const auto at = data.find("\r\n\r\n", from < 3 ? 0 : from - 3);
  return at == std::string_view::npos ? at : at + 4;
}

const char* check_raw_head(std::string_view head, std::size_t max_fields) noexcept {
  std::size_t lines = 0;
  for (std::size_t i = 0; i < head.size(); ++i) {
    const char c = head[i];
    if (c == '\r') {
      if (i + 1 >= head.size() || head[i + 1] != '\n') {
        return "a carriage return without line feed";
      }
      ++i;
      ++lines;
      const bool is_folded = i + 1 < head.size() && (head[i + 1] == ' ' || head[i + 1] == '\t');
      if (is_folded) {
        return "a folded header line";
      }
    } else if (is_control(c) && c != '\t') {
      return c == '\n' ? "a line feed without carriage return" : "a control character";
    } else if (c == '\t' && lines == 0) {
      return "a tab in the first line";
    }
  }
  // The first line and the blank line are not fields.
  return lines > max_fields + 2 ? too_many_fields : nullptr;
}

refusal bad_request(std::string reason, std::string message) {
  return refusal{400, std::move(reason), std::move(message), ran_state::no, std::nullopt};
}

std::optional<refusal> check_request(const request_header& head) {
  if (head.version() != 11) {
    return refusal{505, "http_version_not_supported", "only HTTP/1.1 is supported", ran_state::no,
                   std::nullopt};
  }
  const auto method = view_of(head.method_string());
  if (method == "CONNECT" || method == "TRACE") {
    return refusal{405, "method_not_supported", "CONNECT and TRACE are not supported",
                   ran_state::no, std::nullopt};
  }
  if (head.count(http::field::upgrade) > 0) {
    return refusal{501, "upgrade_not_supported", "protocol upgrades are not supported",
                   ran_state::no, std::nullopt};
  }
  if (head.count(http::field::host) != 1) {
    return bad_request("bad_host", "the Host header is missing or repeated");
  }
  if (host_of(view_of(head[http::field::host])).empty()) {
    return bad_request("bad_host", "the Host header is not valid");
  }
  if (const char* problem = check_framing(head)) {
    return bad_request("bad_framing", problem);
  }
  const bool has_expect = head.count(http::field::expect) > 0;
  if (has_expect && !boost::beast::iequals(head[http::field::expect], "100-continue")) {
    return refusal{417, "expectation_not_supported", "only Expect: 100-continue is supported",
                   ran_state::no, std::nullopt};
  }
  if (head.count("Idempotency-Key") > 1) {
    return bad_request("bad_idempotency_key", "the Idempotency-Key header is repeated");
  }
  return std::nullopt;
}

const char* check_answer(const response_header& head, bool is_bodyless,
                         bool may_end_with_connection) {
  if (!base::is_http_status(head.result_int())) {
    return "a status that HTTP does not know";
  }
  if (head.result_int() == 101) {
    return "an upgrade that was not requested";
  }
  if (const char* problem = check_framing(head)) {
    return problem;
  }
  const bool has_framing =
      head.count(http::field::content_length) > 0 || head.count(http::field::transfer_encoding) > 0;
  const auto status = head.result_int();
  if (!has_framing && !may_end_with_connection && !is_bodyless && status != 204 && status != 304 &&
      status >= 200) {
    return "neither Content-Length nor chunked";
  }
  return nullptr;
}

std::string host_of(std::string_view field) {
  std::string host;
  const bool is_v6 = field.starts_with('[');
  std::size_t i = 0;
  for (; i < field.size(); ++i) {
    const char c = field[i];
    if (c == ':' && !is_v6) {
      break;
    }
    const bool is_allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' ||
                            c == '-' || c == '_' || (is_v6 && (c == ':' || c == ']' || c == '['));
    if (!is_allowed) {
      return {};
    }
    host += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    if (is_v6 && c == ']') {
      ++i;
      break;
    }
  }
  if (i < field.size()) {
    const auto port = field.substr(i);
    if (port[0] != ':' || !is_digits(port.substr(1))) {
      return {};
    }
  }
  return host;
}

base::result<std::string, refusal> path_of(std::string_view target) {
  if (!target.starts_with('/')) {
    return bad_target("the target is not a path");
  }
  if (target.find('#') != std::string_view::npos) {
    return bad_target("the target has a fragment");
  }
  const auto raw = target.substr(0, target.find('?'));
  std::string path;
  path.reserve(raw.size());
  for (std::size_t i = 0; i < raw.size(); ++i) {
    char c = raw[i];
    if (c == '%') {
      const int high = i + 2 < raw.size() ? hex_value(raw[i + 1]) : -1;
      const int low = i + 2 < raw.size() ? hex_value(raw[i + 2]) : -1;
      if (high < 0 || low < 0) {
        return bad_target("the path has an invalid percent sign");
      }
      c = static_cast<char>(high * 16 + low);
      i += 2;
      if (c == '/') {
        return bad_target("the path has an encoded separator");
      }
    }
    if (is_control(c) || c == '\\') {
      return bad_target("the path has a control character or backslash");
    }
    path += c;
  }
  if (const char* problem = check_segments(path)) {
    return bad_target(problem);
  }
  return path;
}

base::result<std::optional<std::string>, refusal> bearer_key_of(const request_header& head,
                                                                std::string_view scheme) {
  const auto count = head.count(http::field::authorization);
  if (count > 1) {
    return bad_request("bad_authorization", "the Authorization header is repeated");
  }
  auto value = view_of(head[http::field::authorization]);
  const bool is_bearer =
      value.size() > scheme.size() && value[scheme.size()] == ' ' &&
      boost::beast::iequals({value.data(), scheme.size()}, {scheme.data(), scheme.size()});
  if (!is_bearer) {
    return std::optional<std::string>{};
  }
  value.remove_prefix(scheme.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return std::optional<std::string>{value};
}

std::optional<double> server_limit_of(std::string_view value) noexcept {
  double limit = 0;
  const auto* end = value.data() + value.size();
  const auto [last, ec] = std::from_chars(value.data(), end, limit);
  const bool is_valid = ec == std::errc() && last == end && std::isfinite(limit) && limit >= 0;
  return is_valid ? std::optional(limit) : std::nullopt;
}

std::optional<base::duration> cold_left_of(std::string_view value) noexcept {
  const auto ms = server_limit_of(value); // the same syntax
  if (!ms) {
    return std::nullopt;
  }
  return base::from_seconds(std::min(*ms / 1000, base::to_seconds(max_cold_left)));
}

} // namespace kingcupshunt::proxy
