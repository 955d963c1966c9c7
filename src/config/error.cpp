#include "kingcupshunt/config/error.h"

namespace kingcupshunt::config {

const char* message_of(error_code code) noexcept {
  switch (code) {
  case error_code::not_json:
    return "not valid JSON";
  case error_code::unknown_member:
    return "unknown member";
  case error_code::wrong_type:
    return "wrong type";
  case error_code::out_of_range:
    return "value out of range";
  case error_code::missing_member:
    return "required member is missing";
  case error_code::unknown_reference:
    return "reference to an entity that does not exist";
  case error_code::duplicate:
    return "duplicate";
  }
  return "unknown error";
}

std::string describe(const error& e) {
  std::string out;
  if (!e.file.empty()) {
    out += e.file + ": ";
  }
  if (!e.pointer.empty()) {
    out += e.pointer + ": ";
  }
  out += message_of(e.code);
  if (!e.detail.empty()) {
    out += ": " + e.detail;
  }
  return out;
}

} // namespace kingcupshunt::config
