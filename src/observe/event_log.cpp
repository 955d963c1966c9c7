#include "kingcupshunt/observe/event_log.h"

#include <glog/logging.h>

#include "kingcupshunt/observe/build.h"

namespace kingcupshunt::observe {

namespace {

bool needs_quotes(std::string_view value) noexcept {
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\x7f') {
      return true;
    }
  }
  return false;
}

void append_quoted(std::string& out, std::string_view value) {
  out.push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      // A line break in a value would let its author forge a second event.
      out.push_back('?');
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

} // namespace

std::string format_event(std::string_view name, std::initializer_list<field> fields) {
  std::string out = "event=";
  out.append(name);
  for (const auto& it : fields) {
    out.push_back(' ');
    out.append(it.key);
    out.push_back('=');
    if (needs_quotes(it.value)) {
      append_quoted(out, it.value);
    } else {
      out.append(it.value);
    }
  }
  return out;
}

void log_info(std::string_view name, std::initializer_list<field> fields) {
  LOG(INFO) << format_event(name, fields);
}

void log_warning(std::string_view name, std::initializer_list<field> fields) {
  LOG(WARNING) << format_event(name, fields);
}

void log_error(std::string_view name, std::initializer_list<field> fields) {
  LOG(ERROR) << format_event(name, fields);
}

void start_logging(const char* program_name) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program_name);
  const auto& b = this_build();
  log_info("program", {{"version", b.version}, {"commit", b.commit}, {"sources", b.sources}});
}

} // namespace kingcupshunt::observe
