#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace kingcupshunt::fleet {

enum class server_state : std::uint8_t {
  ready = 0,
  draining = 1, ///< completes its requests, receives no new ones
  gone = 2      ///< has ended, or may end without further notice; final for its incarnation
};

} // namespace kingcupshunt::fleet

MSGPACK_ADD_ENUM(kingcupshunt::fleet::server_state)

namespace kingcupshunt::fleet {

/// Bounds of a record. Another writer may announce servers too, with any values.
inline constexpr std::size_t max_record_text_bytes = 256; ///< of each text
inline constexpr std::size_t max_nameless_records = 16;   ///< kept of a list, to be counted
inline constexpr std::uint32_t max_server_slots = 10'000;
/// The year 2100. All later announcements of a server with a greater start would be old ones.
inline constexpr std::uint64_t max_started_ms = 4'102'444'800'000;
inline constexpr std::uint64_t max_sequence = std::uint64_t{1} << 53U; ///< exact in JSON

/// Last announcement of a backend server, and the control instance that received it.
struct server_record {
  std::string id;
  std::string service;
  std::string address; ///< "ip:port"
  std::string data_centre;
  std::uint32_t slots = 1; ///< requests that it processes concurrently
  server_state state = server_state::ready;
  std::uint64_t started_ms = 0;   ///< Unix time of its start; orders incarnations
  std::uint64_t sequence = 0;     ///< increases with each announcement of an incarnation
  std::uint32_t cold_left_ms = 0; ///< remaining warm-up time, in which it is slow
  std::string home;               ///< control instance that it announces itself to
  bool is_silent = false;         ///< its home has missed several announcements
  bool is_restored = false;       ///< persisted before a restart, or listed among those that left

  bool operator==(const server_record&) const = default;
  MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id), MSGPACK_NVP("s", service), MSGPACK_NVP("a", address),
                     MSGPACK_NVP("z", data_centre), MSGPACK_NVP("n", slots),
                     MSGPACK_NVP("t", state), MSGPACK_NVP("b", started_ms),
                     MSGPACK_NVP("q", sequence), MSGPACK_NVP("c", cold_left_ms),
                     MSGPACK_NVP("h", home), MSGPACK_NVP("x", is_silent),
                     MSGPACK_NVP("o", is_restored))
};

/// Why `record` names no server to use. Empty when it does.
std::string_view fault_of(const server_record& record) noexcept;

} // namespace kingcupshunt::fleet

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// A record that can't be read becomes one without an id, so that it takes no other with it.
  template <>
  struct convert<std::vector<kingcupshunt::fleet::server_record>> {
    const msgpack::object& operator()(const msgpack::object& from,
                                      std::vector<kingcupshunt::fleet::server_record>& to) const {
      if (from.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
      }
      to.clear();
      std::size_t n = 0; // without an id; an odd element takes a byte, a record hundreds
      for (std::uint32_t i = 0; i < from.via.array.size; ++i) {
        kingcupshunt::fleet::server_record record;
        try {
          from.via.array.ptr[i].convert(record);
        } catch (const msgpack::type_error&) {
          record = {}; // counted by the receiver, as fault_of says
        }
        n += record.id.empty() ? 1 : 0;
        if (!record.id.empty() || n <= kingcupshunt::fleet::max_nameless_records) {
          to.push_back(std::move(record));
        }
      }
      return from;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack
