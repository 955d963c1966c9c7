#include "kingcupshunt/fleet/evacuation.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace kingcupshunt::fleet {

namespace {

/// The JSON library refuses to write text that is not UTF-8.
bool is_utf8(std::string_view text) {
  try {
    (void)nlohmann::json(text).dump();
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

} // namespace

bool evacuation_set::contains(std::string_view data_centre) const {
  return std::ranges::binary_search(data_centres, data_centre);
}

std::string evacuation_set::describe() const {
  std::string out;
  for (const auto& name : data_centres) {
    out += (out.empty() ? "" : ",") + name;
  }
  return out.empty() ? "none" : out;
}

std::string_view fault_of_data_centre(std::string_view name) {
  if (name.empty()) {
    return "the name of the data centre is missing";
  }
  if (name.size() > max_data_centre_name) {
    return "the name of the data centre is longer than 256 bytes";
  }
  const bool has_control = std::ranges::any_of(
      name, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
  if (has_control) {
    return "the name of the data centre has a control character";
  }
  return is_utf8(name) ? "" : "the name of the data centre is not UTF-8";
}

evacuation_set after(evacuation_set set, const evacuation_order& order) {
  ++set.number;
  std::erase(set.data_centres, order.data_centre);
  if (order.is_start) {
    set.data_centres.push_back(order.data_centre);
    std::ranges::sort(set.data_centres);
  }
  return set;
}

} // namespace kingcupshunt::fleet
