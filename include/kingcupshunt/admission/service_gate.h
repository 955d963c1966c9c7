#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

/// Why a request does not get to the servers.
enum class gate_refusal : std::uint8_t {
  no_time, ///< it could not be served before its deadline
  full     ///< more urgent requests take all room
};

using gate_result = std::optional<gate_refusal>; ///< empty: the request may go
using gate_function = std::function<void(gate_result)>;

/// A request before its service.
struct gate_request {
  std::uint32_t rank = 1;        ///< 0 goes first
  base::time_point latest_start; ///< beyond it an answer would come too late to be of use
};

/// What is known of the service when a request arrives or a slot is freed.
struct gate_capacity {
  std::uint32_t free_slots = 0; ///< of all servers, as far as known here
  double starts_per_second = 0; ///< that this instance can expect, 0: not known
};

struct gate_settings {
  std::size_t queue_limit = 256; ///< waiting requests of one service on one instance
};

/// Lets requests of one service through while servers have room. Those that wait go by rank, then
/// by arrival. A request whose turn can't come in time is refused when that is clear, not when its
/// time is over.
class service_gate {
public:
  explicit service_gate(gate_settings settings = {}) : settings_(settings) {}

  /// Runs `done` once, at once or later.
  void enter(const gate_request& request, const gate_capacity& capacity, base::time_point now,
             gate_function done);

  /// Lets waiting requests through, as many as there are free slots, and refuses those that are
  /// out of time. Returns how many went through.
  std::size_t dispatch(const gate_capacity& capacity, base::time_point now);

  std::size_t waiting() const noexcept { return waiting_.size(); }
  /// Time until a request of `rank` would have its turn.
  base::duration expected_wait(std::uint32_t rank, const gate_capacity& capacity) const;

private:
  using order = std::pair<std::uint32_t, std::uint64_t>; ///< rank and arrival
  struct waiting_request {
    base::time_point latest_start;
    gate_function done;
  };

  gate_settings settings_;
  std::map<order, waiting_request> waiting_;
  std::uint64_t arrivals_ = 0;
};

} // namespace kingcupshunt::admission
