#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace kingcupshunt::observe {

/// One key=value pair of an event. Numbers are converted on construction.
struct field {
  field(std::string_view k, std::string_view v) : key(k), value(v) {}
  field(std::string_view k, const char* v) : key(k), value(v) {}
  field(std::string_view k, const std::string& v) : key(k), value(v) {}
  field(std::string_view k, bool v) : key(k), value(v ? "true" : "false") {}
  template <class N>
  field(std::string_view k, N v) requires std::is_arithmetic_v<N> : key(k),
                                                                    value(std::to_string(v)) {}

  std::string_view key;
  std::string value;
};

/// Formats `event=NAME key=value ...`; values with spaces, quotes or control characters are quoted.
std::string format_event(std::string_view name, std::initializer_list<field> fields);

/// Writes one event line at info, warning or error level through glog.
void log_info(std::string_view name, std::initializer_list<field> fields);
void log_warning(std::string_view name, std::initializer_list<field> fields);
void log_error(std::string_view name, std::initializer_list<field> fields);

/// Prepares glog to write to standard error, and names the build. Call once before the first event.
void start_logging(const char* program_name);

} // namespace kingcupshunt::observe
