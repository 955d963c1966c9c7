#include "kingcupshunt/storage/error.h"

namespace kingcupshunt::storage {

const char* message_of(error_code code) noexcept {
  switch (code) {
  case error_code::io:
    return "input or output failed";
  case error_code::no_space:
    return "no space left";
  case error_code::corrupt:
    return "the file is damaged";
  case error_code::other_owner:
    return "the folder belongs to another instance or fleet";
  case error_code::newer_format:
    return "the folder was written by a newer version";
  case error_code::in_use:
    return "another process uses the folder";
  case error_code::failed_before:
    return "an earlier write failed, a restart is needed";
  }
  return "unknown error";
}

std::string describe(const error& e) {
  std::string out = e.file;
  if (e.code == error_code::corrupt) {
    out += " at byte " + std::to_string(e.offset);
  }
  if (!out.empty()) {
    out += ": ";
  }
  out += message_of(e.code);
  if (!e.detail.empty()) {
    out += ": " + e.detail;
  }
  return out;
}

} // namespace kingcupshunt::storage
