#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/fleet/messages.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/rates/ownership.h"
#include "kingcupshunt/rates/permit_issuer.h"

namespace kingcupshunt::balance {

struct limit_exchange_hooks {
  peer::send_function send; ///< must also deliver messages to this instance itself
  std::function<void(const fleet::permit_grant&, base::time_point now)> on_permits;
  /// Another instance has observed the beginning or end of a limit.
  std::function<void(const fleet::limit_note&)> on_limit;
};

/// Limits of backend servers in a fleet of equal instances. One instance, chosen by rendezvous
/// hashing among the active ones, issues the permits of a server; those that have observed its
/// limit report to it and receive permits.
class limit_exchange {
public:
  limit_exchange(std::string self, limit_exchange_hooks hooks);

  void set_view(const membership::fleet_view& view, base::time_point now);
  /// Applies a change of a limit that this instance has observed in an answer.
  void observe(const fleet::limit_note& note);
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

private:
  struct issued_server {
    std::map<std::string, base::time_point, std::less<>> reported_at; ///< by instance
  };

  void on_report(std::string_view from, const fleet::limit_report& report, base::time_point now);
  void send_note(std::string_view to, const fleet::limit_note& note);

  std::string self_;
  limit_exchange_hooks hooks_;
  rates::owner_map owners_;
  std::map<std::string, fleet::limit_note, std::less<>> observed_; ///< limits, by server
  std::map<std::string, issued_server, std::less<>> issued_;
  rates::permit_issuer issuer_;
  base::time_point renew_at_{};
};

} // namespace kingcupshunt::balance
