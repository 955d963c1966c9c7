#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/health/attempt.h"
#include "kingcupshunt/proxy/refusal.h"
#include "kingcupshunt/proxy/request_head.h"

namespace kingcupshunt::proxy {

template <class T>
using decided = base::result<T, refusal>;

/// Where to send one try.
struct upstream_target {
  std::string id;       ///< names the upstream in reports and pools
  std::string instance; ///< instance id that the upstream must confirm; may be empty
  std::string address;
  std::uint16_t port = 0;
};

/// How to establish a new connection to an upstream.
struct connection_plan {
  bool is_direct_first = true; ///< false: through the tunnel first
  std::string tunnel;          ///< "ip:port" of an instance that can connect to it; may be empty
  /// Greatest time for each way, when it is shorter than the connect timeout. Empty: as set.
  std::optional<base::duration> timeout;
};

/// How a new connection to an upstream was established, or that it was not.
struct connection_outcome {
  std::string upstream;
  bool is_connected = false;
  bool is_tunnelled = false; ///< connected through another instance
  bool has_direct_failed = false;
  std::string failed_tunnel; ///< tunnel that did not lead to the upstream; empty: none
};

/// An answer stored for resends of a non-repeatable request.
struct stored_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// Result of reserving an idempotency key.
struct reservation {
  std::uint64_t attempt_id = 0;        ///< id of the attempt that may send the request
  std::optional<stored_answer> answer; ///< set: the request has already run; send this answer
};

/// Decisions that the entry delegates. All hooks are called on the instance's event loop. Those
/// with a `done` argument call it exactly once on the same loop, during the call or later.
struct hooks {
  /// Waits until the instance can decide about requests, or until it is clear that it cannot soon.
  /// Called before `authorize`. May be empty: an instance that has just started then refuses
  /// requests at once.
  std::function<void(std::function<void(decided<void>)> done)> wait_until_ready;

  /// Checks the key, the route and the freshness of the configuration. Called for every request.
  std::function<decided<authorized_request>(const request_head&)> authorize;

  /// Takes a token of the workspace's rate and waits for a turn in the service's queue.
  std::function<void(const request_head&, const authorized_request&,
                     std::function<void(decided<void>)> done)>
      admit;

  /// Called when the entry itself refuses a request; `tried` holds the ids of the servers tried.
  /// May be empty.
  std::function<void(const request_head&, const refusal&, const std::vector<std::string>& tried)>
      on_refusal;

  /// Releases the turn taken by `admit`.
  std::function<void(const authorized_request&)> finish;

  /// Chooses an upstream that is not in `tried` and occupies one of its slots until `report`.
  std::function<decided<upstream_target>(const authorized_request&, std::uint64_t fingerprint,
                                         const std::vector<std::string>& tried)>
      pick;

  /// Requests permission for the next try; `done` is called at once unless the request is
  /// suspected of crashing servers. After success `pick` or `abandon_try` is called. May be empty.
  std::function<void(const authorized_request&, std::uint64_t fingerprint,
                     std::function<void(decided<void>)> done)>
      plan_try;

  /// Gives up a try that `plan_try` allowed, when `pick` is not called for it. May be empty.
  std::function<void(std::uint64_t fingerprint)> abandon_try;

  /// Called after `report`. `done` is called when the caller may be answered or the request may be
  /// tried again: at once unless the connection ended without a whole answer. May be empty.
  std::function<void(const health::attempt&, std::function<void()> done)> settle_try;

  /// Called right before a request is sent to the upstream that was picked, when the connection is
  /// established. False: it must not be sent there, and another upstream is picked. May be empty.
  std::function<bool(const std::string& upstream, bool is_open_route)> may_send;

  /// Plans a new connection to the upstream. May be empty: it is direct.
  std::function<connection_plan(const std::string& upstream)> plan_connection;
  /// Called as soon as the direct connection of a plan has failed and its tunnel remains. False:
  /// the tunnel is not tried. May be empty: it is tried.
  std::function<bool(const std::string& upstream)> note_direct_failure;
  /// Called after each attempt to establish a connection that was planned. May be empty.
  std::function<void(const connection_outcome&)> note_connection;

  /// Called when the whole streamed body was sent to the upstream: from now on the upstream does
  /// not wait for the caller any more. May be empty.
  std::function<void(const authorized_request&, const std::string& upstream)> note_body_sent;

  /// Called before an answer is passed on as it arrives: from now on its time is the caller's as
  /// well. May be empty.
  std::function<void(const authorized_request&, const std::string& upstream)> note_answer_relayed;

  /// Reports the result of a try and releases its slot.
  std::function<void(const authorized_request&, const health::attempt&)> report;

  /// Called before an answer is passed on that says that its upstream leaves. May be empty.
  std::function<void(const authorized_request&, const std::string& upstream)> note_leaving;

  /// True when another try is allowed after `last`. Called only before the request's deadline.
  std::function<bool(const authorized_request&, const health::attempt& last)> may_retry;

  /// Time after which a lookup without an answer may be sent to a second server; empty: not at all.
  std::function<std::optional<base::duration>(const authorized_request&)> hedge_delay;

  /// Takes a hedge out of the retry budget; false when the budget does not allow it. May be empty:
  /// always allowed.
  std::function<bool(const authorized_request&)> take_hedge;

  /// Reserves the idempotency key of a non-repeatable request before its first byte is sent. May be
  /// empty: no reservations.
  std::function<void(const request_head&, const authorized_request&, std::uint64_t fingerprint,
                     std::function<void(decided<reservation>)> done)>
      reserve;

  /// Stores the answer of a reservation. Without an answer the key keeps the state "may have run".
  std::function<void(std::uint64_t attempt_id, std::optional<stored_answer>)> complete;

  /// Releases a reservation whose request certainly did not run.
  std::function<void(std::uint64_t attempt_id)> release;
};

} // namespace kingcupshunt::proxy
