#include "kingcupshunt/fleet/server_record.h"

#include <algorithm>

namespace kingcupshunt::fleet {

namespace {

bool is_control(char c) noexcept {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

/// Heads of requests and log lines name ids and addresses.
bool is_plain(std::string_view text) noexcept {
  return !text.empty() && text.size() <= max_record_text_bytes &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7f'; });
}

bool is_name(std::string_view text) noexcept {
  return text.size() <= max_record_text_bytes && std::ranges::none_of(text, is_control);
}

} // namespace

std::string_view fault_of(const server_record& record) noexcept {
  if (!is_plain(record.id)) {
    return "the id is missing, too long or has unprintable characters";
  }
  if (record.state > server_state::gone) {
    return "the state is not known";
  }
  // A farewell states no more than id and start.
  const bool is_gone = record.state == server_state::gone;
  if (!(is_gone && record.address.empty()) && !is_plain(record.address)) {
    return "the address is missing, too long or has unprintable characters";
  }
  if (!is_name(record.service) || (!is_gone && record.service.empty())) {
    return "the service is missing, too long or has control characters";
  }
  if (!is_name(record.data_centre) || record.home.size() > max_record_text_bytes) {
    return "the data centre or home is too long or has control characters";
  }
  if (record.slots == 0 || record.slots > max_server_slots) {
    return "the slots are out of range";
  }
  if (record.started_ms > max_started_ms || record.sequence > max_sequence) {
    return "the start or sequence is out of range";
  }
  return {};
}

} // namespace kingcupshunt::fleet
