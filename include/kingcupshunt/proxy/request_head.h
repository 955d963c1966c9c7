#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/config/entities.h"

namespace kingcupshunt::proxy {

/// The parts of a request's head that are used for decisions.
struct request_head {
  std::string request_id;
  std::string method;
  std::string host; ///< without port
  std::string path; ///< without query
  std::string caller_address;
  std::optional<std::string> bearer_key;
  std::optional<std::string> idempotency_key;
  std::optional<std::uint64_t> content_length;      ///< empty: chunked or no body
  std::optional<base::milliseconds> caller_timeout; ///< time the caller waits, when stated
  base::time_point arrival_time{};                  ///< when the whole head had arrived
  std::uint64_t connection_serial = 0;              ///< 1: the first request of its connection
};

/// A request with its route and workspace.
struct authorized_request {
  std::shared_ptr<const config::service> service;
  std::shared_ptr<const config::route> route;
  std::shared_ptr<const config::workspace> workspace; ///< null on a route without authorization
  base::time_point deadline;
  /// Time at which `hooks::admit` granted the turn; shared by the copies of one request.
  std::shared_ptr<base::time_point> turn_started{};
  std::uint64_t serial = 0; ///< number of the request on this instance
  /// The body is passed on as it arrives, so the server waits for the caller.
  bool has_streamed_body = false;
};

} // namespace kingcupshunt::proxy
