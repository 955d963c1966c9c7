#include "kingcupshunt/settings/error.h"

namespace kingcupshunt::settings {

const char* message_of(error_code code) noexcept {
  switch (code) {
  case error_code::unreadable:
    return "can't be read";
  case error_code::invalid:
    return "invalid settings";
  case error_code::insecure_file:
    return "can be read by others";
  }
  return "unknown error";
}

std::string describe(const error& e) {
  return e.file + ": " + message_of(e.code) + (e.detail.empty() ? "" : ": " + e.detail);
}

} // namespace kingcupshunt::settings
