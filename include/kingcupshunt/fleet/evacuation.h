#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::fleet {

/// Greatest number of data centres that are evacuated at once. The whole set, 16 KB at most, is in
/// each log entry, and in answers to entries that have another one.
inline constexpr std::size_t max_evacuations = 64;
/// Bytes. As in the records of servers, so that each data centre that they state can be evacuated.
inline constexpr std::size_t max_data_centre_name = 256;

/// The data centres whose servers get no requests, as ordered by operators.
struct evacuation_set {
  /// Log index of the entry that holds the set; 0: none is known. In an entry that is proposed or
  /// stored: any other number than 0, replaced when the entry is applied.
  std::uint64_t number = 0;
  std::vector<std::string> data_centres; ///< sorted, each once

  bool contains(std::string_view data_centre) const;
  /// "a,b" for log lines; "none" when empty.
  std::string describe() const;

  bool operator==(const evacuation_set&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("n", number), MSGPACK_NVP("d", data_centres))
};

/// An operator's order that a data centre is evacuated, or the withdrawal of it.
struct evacuation_order {
  std::string data_centre;
  bool is_start = true; ///< false: the evacuation ends
};

/// Why no data centre can have this name; empty when one can.
std::string_view fault_of_data_centre(std::string_view name);

/// The set after `order`, under a number that is not 0.
evacuation_set after(evacuation_set set, const evacuation_order& order);

} // namespace kingcupshunt::fleet
