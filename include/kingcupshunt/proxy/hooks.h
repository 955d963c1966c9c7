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
  std::string instance; ///< id that the upstream itself is to confirm; may be empty
  std::string address;
  std::uint16_t port = 0;
};

/// An answer kept for resends of a non-repeatable request.
struct stored_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// Outcome of asking for a reservation of an idempotency key.
struct reservation {
  std::uint64_t attempt_id = 0;        ///< names the attempt that may send
  std::optional<stored_answer> answer; ///< set: the request ran before, give this answer
};

/// Decisions that the entry asks for. All are called on the instance's event loop; those with a
/// `done` argument call it exactly once, at once or later, on the same loop.
struct hooks {
  /// Waits until the instance can decide about requests, or will not be able to soon. Called before
  /// `authorize`. May be empty: an instance that has just started refuses at once.
  std::function<void(std::function<void(decided<void>)> done)> wait_until_ready;

  /// Checks key, route and freshness. Called for every request, not for every connection.
  std::function<decided<authorized_request>(const request_head&)> authorize;

  /// Takes a token of the workspace's rate and waits for a turn in the service's queue.
  std::function<void(const request_head&, const authorized_request&,
                     std::function<void(decided<void>)> done)>
      admit;

  /// The entry answers with a refusal of its own; `tried` names the servers met. May be empty.
  std::function<void(const request_head&, const refusal&, const std::vector<std::string>& tried)>
      on_refusal;

  /// Gives the turn taken by `admit` back.
  std::function<void(const authorized_request&)> finish;

  /// Chooses an upstream other than those in `tried`; takes one slot there until `report`.
  std::function<decided<upstream_target>(const authorized_request&, std::uint64_t fingerprint,
                                         const std::vector<std::string>& tried)>
      pick;

  /// Asks whether the next try may be made; `done` is called at once unless the request is
  /// suspected of crashing servers. After success `pick` follows, or `abandon_try`. May be empty.
  std::function<void(const authorized_request&, std::uint64_t fingerprint,
                     std::function<void(decided<void>)> done)>
      plan_try;

  /// Gives up a try that `plan_try` allowed and `pick` was not asked for. May be empty.
  std::function<void(std::uint64_t fingerprint)> abandon_try;

  /// Called after `report`. `done` is called when the caller may be answered or the request be
  /// tried again: at once unless the connection was cut. May be empty.
  std::function<void(const health::attempt&, std::function<void()> done)> settle_try;

  /// Tells how a try ended and gives its slot back.
  std::function<void(const authorized_request&, const health::attempt&)> report;

  /// Whether another try is allowed after `last`. Called only when time is left.
  std::function<bool(const authorized_request&, const health::attempt& last)> may_retry;

  /// Time after which a lookup may be sent a second time; empty when it may not.
  std::function<std::optional<base::duration>(const authorized_request&)> hedge_delay;

  /// Takes the second try of a late lookup out of the retry budget. May be empty: always allowed.
  std::function<bool(const authorized_request&)> take_hedge;

  /// Reserves the idempotency key of a non-repeatable request before its first byte is sent.
  /// Empty: no reservations.
  std::function<void(const request_head&, const authorized_request&, std::uint64_t fingerprint,
                     std::function<void(decided<reservation>)> done)>
      reserve;

  /// Stores the answer of a reservation. Without an answer the key stays "may have run".
  std::function<void(std::uint64_t attempt_id, std::optional<stored_answer>)> complete;

  /// Releases a reservation whose request certainly did not run.
  std::function<void(std::uint64_t attempt_id)> release;
};

} // namespace kingcupshunt::proxy
