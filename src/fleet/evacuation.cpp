#include "kingcupshunt/fleet/evacuation.h"

#include <algorithm>

namespace kingcupshunt::fleet {

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
  return has_control ? "the name of the data centre has a control character" : "";
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
