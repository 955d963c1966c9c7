#include "kingcupshunt/proxy/header_rewrite.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

std::string_view view_of(boost::beast::string_view s) noexcept {
  return {s.data(), s.size()};
}

bool is_equal_nocase(std::string_view a, std::string_view b) noexcept {
  return iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool has_prefix_nocase(std::string_view s, std::string_view prefix) noexcept {
  return s.size() >= prefix.size() && is_equal_nocase(s.substr(0, prefix.size()), prefix);
}

std::string lower(std::string_view s) {
  std::string out(s);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::string percent_decoded(std::string_view s) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (std::size_t i = 0; i < s.size(); ++i) {
    if (s[i] == '%' && i + 2 < s.size()) {
      const auto high = digits.find(static_cast<char>(std::tolower(s[i + 1])));
      const auto low = digits.find(static_cast<char>(std::tolower(s[i + 2])));
      if (high != std::string_view::npos && low != std::string_view::npos) {
        out += static_cast<char>(high * 16 + low);
        i += 2;
        continue;
      }
    }
    out += s[i];
  }
  return out;
}

/// Fields that a Connection header cannot remove: the entry itself decides by them.
bool is_always_kept(std::string_view name) noexcept {
  return is_equal_nocase(name, "host") || is_equal_nocase(name, "idempotency-key") ||
         is_equal_nocase(name, "content-type");
}

bool is_named_in(std::string_view list, std::string_view name) noexcept {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    auto item = list.substr(0, comma);
    list.remove_prefix(std::min(comma + 1, list.size()));
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (is_equal_nocase(item, name)) {
      return true;
    }
  }
  return false;
}

std::string connection_values(const http::fields& fields) {
  std::string all;
  const auto range = fields.equal_range(http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    all.append(it->value().data(), it->value().size()).append(",");
  }
  return all;
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void append_framing(std::string& out, const body_framing& framing) {
  if (framing.is_chunked) {
    append_field(out, "Transfer-Encoding", "chunked");
  } else if (framing.length) {
    append_field(out, "Content-Length", std::to_string(*framing.length));
  }
}

bool is_replaced_in_request(std::string_view name, const wire_names& names) noexcept {
  return is_equal_nocase(name, "authorization") || is_equal_nocase(name, "expect") ||
         is_equal_nocase(name, "content-length") || is_equal_nocase(name, names.request_id) ||
         is_equal_nocase(name, names.caller_timeout) ||
         is_equal_nocase(name, names.upstream_timeout) || is_equal_nocase(name, names.workspace) ||
         is_equal_nocase(name, names.expected_instance) ||
         has_prefix_nocase(name, "x-kingcupshunt-");
}

/// Whole seconds are rounded up, so that a caller that obeys is not refused again.
std::string retry_after_value(base::milliseconds wait, const wire_names& names) {
  const auto ms = std::max<std::int64_t>(wait.count(), 1);
  if (!names.has_fractional_retry_after) {
    return std::to_string((ms + 999) / 1000);
  }
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(ms) / 1000);
  return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

bool is_hop_by_hop(std::string_view name, std::string_view connection_value) noexcept {
  static constexpr std::array<std::string_view, 9> names = {"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authorization",
                                                            "proxy-authenticate",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade"};
  const auto is_name = [name](std::string_view other) { return is_equal_nocase(name, other); };
  return std::any_of(names.begin(), names.end(), is_name) ||
         (is_named_in(connection_value, name) && !is_always_kept(name));
}

bool contains_key(std::string_view text, std::string_view key) {
  if (key.size() < min_key_length) {
    return false;
  }
  const auto wanted = lower(key);
  if (lower(text).find(wanted) != std::string::npos) {
    return true;
  }
  return text.find('%') != std::string_view::npos &&
         lower(percent_decoded(text)).find(wanted) != std::string::npos;
}

std::string upstream_head(const request_header& head, const std::optional<std::string>& key,
                          std::string_view workspace, std::string_view request_id,
                          const body_framing& framing, const wire_names& names) {
  const auto connection = connection_values(head);
  std::string out;
  out.reserve(512);
  out.append(view_of(head.method_string())).append(" ");
  out.append(view_of(head.target())).append(" HTTP/1.1\r\n");
  for (const auto& field : head) {
    const auto name = view_of(field.name_string());
    const auto value = view_of(field.value());
    if (is_replaced_in_request(name, names) || is_hop_by_hop(name, connection)) {
      continue;
    }
    if (key && (contains_key(name, *key) || contains_key(value, *key))) {
      continue;
    }
    append_field(out, name, value);
  }
  append_framing(out, framing);
  if (!workspace.empty()) {
    append_field(out, names.workspace, workspace);
  }
  append_field(out, names.request_id, request_id);
  return out;
}

std::string try_fields(std::int64_t remaining_ms, std::string_view instance,
                       const wire_names& names) {
  std::string out;
  append_field(out, names.upstream_timeout,
               std::to_string(std::max<std::int64_t>(remaining_ms, 0)));
  if (!names.expected_instance.empty() && !instance.empty()) {
    append_field(out, names.expected_instance, instance);
  }
  return out.append("\r\n");
}

std::string chunk_size_line(std::size_t n) {
  std::array<char, 24> line{};
  const int size = std::snprintf(line.data(), line.size(), "%zx\r\n", n);
  return {line.data(), static_cast<std::size_t>(size)};
}

std::string caller_head(const response_header& head, const body_framing& framing,
                        std::string_view request_id, bool is_close, const wire_names& names) {
  const auto connection = connection_values(head);
  std::string out = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
  out.reserve(512);
  out.append(view_of(head.reason())).append("\r\n");
  for (const auto& field : head) {
    const auto name = view_of(field.name_string());
    const bool is_replaced = is_equal_nocase(name, "content-length") ||
                             is_equal_nocase(name, names.request_id) ||
                             has_prefix_nocase(name, "x-kingcupshunt-");
    if (!is_replaced && !is_hop_by_hop(name, connection)) {
      append_field(out, name, view_of(field.value()));
    }
  }
  append_framing(out, framing);
  append_field(out, names.request_id, request_id);
  if (is_close) {
    append_field(out, "Connection", "close");
  }
  return out.append("\r\n");
}

std::string refusal_answer(const refusal& r, const std::string& request_id, bool is_head,
                           bool is_close, const wire_names& names) {
  const auto body = refusal_body(r, request_id);
  const auto phrase = http::obsolete_reason(static_cast<http::status>(r.status));
  std::string out = "HTTP/1.1 " + std::to_string(r.status) + " ";
  out.append(view_of(phrase)).append("\r\n");
  append_field(out, "Content-Type", "application/json");
  append_field(out, "Content-Length", std::to_string(body.size()));
  append_field(out, "X-Kingcupshunt-Reason", r.reason);
  append_field(out, "X-Kingcupshunt-Ran", to_string(r.ran));
  append_field(out, names.request_id, request_id);
  if (r.retry_after) {
    append_field(out, "Retry-After", retry_after_value(*r.retry_after, names));
  }
  if (is_close) {
    append_field(out, "Connection", "close");
  }
  out.append("\r\n");
  return is_head ? out : out.append(body);
}

bool is_usable_request_id(std::string_view id, const std::optional<std::string>& key) {
  constexpr std::size_t max_request_id_length = 64;
  const auto is_plain = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !id.empty() && id.size() <= max_request_id_length &&
         std::all_of(id.begin(), id.end(), is_plain) && !(key && contains_key(id, *key));
}

} // namespace kingcupshunt::proxy
