#include "kingcupshunt/control/http_message.h"

#include <string_view>

#include <nlohmann/json.hpp>

namespace kingcupshunt::control {

namespace {

int hex_value(char c) noexcept {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

bool percent_decode(std::string_view text, std::string& out) {
  out.clear();
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) {
      return false;
    }
    const int high = hex_value(text[i + 1]);
    const int low = hex_value(text[i + 2]);
    if (high < 0 || low < 0) {
      return false;
    }
    out.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return true;
}

bool parse_query(std::string_view text, std::map<std::string, std::string>& out) {
  while (!text.empty()) {
    const auto end = text.find('&');
    const auto pair = text.substr(0, end);
    const auto equals = pair.find('=');
    std::string name;
    std::string value;
    if (!percent_decode(pair.substr(0, equals), name)) {
      return false;
    }
    if (equals != std::string_view::npos && !percent_decode(pair.substr(equals + 1), value)) {
      return false;
    }
    out[name] = value;
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  return true;
}

std::string value_of(const std::map<std::string, std::string>& all, const std::string& name) {
  const auto it = all.find(name);
  return it == all.end() ? std::string{} : it->second;
}

} // namespace

std::string http_request::header(const std::string& name) const {
  return value_of(headers, name);
}

std::string http_request::parameter(const std::string& name) const {
  return value_of(query, name);
}

http_response error_response(unsigned status, const std::string& code, const std::string& message) {
  const nlohmann::json body = {{"error", code}, {"message", message}};
  return {status, "application/json",
          body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

bool parse_target(const std::string& target, http_request& out) {
  const std::string_view view = target;
  const auto question = view.find('?');
  if (!percent_decode(view.substr(0, question), out.path) || out.path.empty() ||
      out.path.front() != '/') {
    return false;
  }
  return question == std::string_view::npos || parse_query(view.substr(question + 1), out.query);
}

} // namespace kingcupshunt::control
