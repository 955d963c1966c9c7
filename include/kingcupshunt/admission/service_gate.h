#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::admission {

/// Why a request is not passed on to the servers.
enum class gate_refusal : std::uint8_t {
  no_time, ///< it could not start by `latest_start`
  full,    ///< the queue is full of requests of the same or a higher priority
  paused   ///< every server has asked for a pause
};

using gate_result = std::optional<gate_refusal>; ///< empty: the request may proceed
using gate_function = std::function<void(gate_result)>;

/// A request that is to be sent to a server.
struct gate_request {
  std::uint32_t rank = 1;        ///< 0 is the highest priority
  base::time_point latest_start; ///< a later start would miss the deadline
  std::string workspace = {};    ///< empty on a route open to all
  double weight = 1;             ///< of the workspace, relative to the others
};

/// Capacity of the service when a request arrives or a slot is freed.
struct gate_capacity {
  std::uint32_t free_slots = 0; ///< of all servers, as known to this instance
  double starts_per_second = 0; ///< expected for this instance, 0: not known
  /// At other instances, of the same or a higher rank. When this is known, `starts_per_second` is
  /// that of all instances.
  std::uint32_t waiting_elsewhere = 0;
};

/// Order of waiting requests of one rank.
enum class gate_order : std::uint8_t {
  arrival,
  latest_start,      ///< those that must start soonest first
  fair,              ///< workspaces share by weight, each in order of arrival
  fair_latest_start, ///< workspaces share by weight, each in order of latest start
};

struct gate_settings {
  std::size_t queue_limit = 256; ///< maximum number of waiting requests
  gate_order order = gate_order::arrival;
};

/// Admits requests of one service while servers have free slots. Waiting requests are ordered by
/// rank, then by `gate_order`. A request that can't start in time is refused as soon as that is
/// known, not when its deadline passes.
class service_gate {
public:
  explicit service_gate(gate_settings settings = {}) : settings_(settings) {}

  /// Calls `done` exactly once, immediately or later.
  void enter(const gate_request& request, const gate_capacity& capacity, base::time_point now,
             gate_function done);

  /// Refuses waiting requests that can no longer start in time and admits as many others as there
  /// are free slots. Returns the number of admitted requests.
  std::size_t dispatch(const gate_capacity& capacity, base::time_point now);

  /// Refuses all waiting requests.
  void refuse_all(gate_refusal reason);

  std::size_t waiting() const noexcept { return waiting_.size(); }
  /// Waiting requests by rank.
  std::map<std::uint32_t, std::uint32_t> waiting_by_rank() const;
  /// Expected time until a new request of `rank` could start.
  base::duration expected_wait(std::uint32_t rank, const gate_capacity& capacity) const;

private:
  struct order {
    std::uint32_t rank = 0;
    double place = 0; ///< within the rank, as `gate_order` says
    std::uint64_t arrival = 0;
    friend bool operator<(const order& a, const order& b) {
      return std::tie(a.rank, a.place, a.arrival) < std::tie(b.rank, b.place, b.arrival);
    }
  };
  struct waiting_request {
    base::time_point latest_start;
    gate_function done;
    std::string workspace;
    double weight = 1;
  };
  /// Fair queueing within one rank, in virtual time: the place of a workspace's next request is
  /// 1 / weight behind its last one.
  struct rank_shares {
    double virtual_time = 0;
    std::map<std::string, double, std::less<>> next_places;
  };

  double place_of(const gate_request& request);
  waiting_request take_first();
  void forget_shares(std::uint32_t rank);

  gate_settings settings_;
  std::map<order, waiting_request> waiting_;
  std::map<std::uint32_t, rank_shares> shares_;
  std::uint64_t arrivals_ = 0;
};

} // namespace kingcupshunt::admission
