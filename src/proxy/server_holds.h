#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// A request that occupies a backend server while its caller sends a body or reads an answer.
struct server_hold {
  std::string service;
  std::function<std::uint64_t()> moved; ///< bytes received from the caller and sent to it so far
  std::function<bool()> is_waiting;     ///< the request waits for its caller now
  std::function<void()> end;            ///< ends the request and frees the server
};

/// Ends requests whose callers have stalled while others need a server of the same service. Not
/// thread-safe.
class server_holds {
public:
  /// `least_rate` is the rate, in bytes per second, below which a caller counts as stalled.
  explicit server_holds(double least_rate) : least_rate_(least_rate) {}

  /// Time between two calls of `tick` while there are holds.
  static constexpr base::milliseconds tick_interval{100};
  /// A caller is judged after the request has waited for it so long.
  static constexpr base::milliseconds judged_time{500};

  /// Adds a hold until the returned object is destroyed.
  [[nodiscard]] std::shared_ptr<void> add(server_hold hold, base::time_point now);

  /// A request waits for a server of `service` until the returned object is destroyed.
  [[nodiscard]] std::shared_ptr<void> want(const std::string& service, base::time_point now);

  /// A request was refused since no server of `service` or no connection to one was free.
  void note_refused(const std::string& service, base::time_point now);

  /// Adds the time since the last call to what each request has waited for its caller, and ends the
  /// stalled ones of services that others want. Returns their number.
  std::size_t tick(base::time_point now);

  bool is_empty() const noexcept { return holds_.empty(); }

  /// Called when there is a first hold, after which `tick` is to be called. May be empty.
  std::function<void()> on_first;

private:
  struct entry {
    server_hold hold;
    base::duration waited{}; ///< for the caller, since `moved_before`
    std::uint64_t moved_before = 0;
    base::time_point ticked_at;
  };
  struct demand {
    std::weak_ptr<void> waiting; ///< alive while any request waits
    base::time_point until{};    ///< of a refusal
  };

  demand& demand_of(const std::string& service, base::time_point now);
  bool is_wanted(const std::string& service, base::time_point now) const;
  bool is_stalled(entry& e, base::time_point now) const;

  double least_rate_;
  std::vector<std::weak_ptr<entry>> holds_;
  std::unordered_map<std::string, demand> demands_;
};

} // namespace kingcupshunt::proxy
