#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/service_health.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/observe/decision.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::health {

struct service_owner_settings {
  std::string self;
  base::duration freshness_bound = base::seconds(2);
  service_settings service;
};

struct service_owner_hooks {
  /// Messages to the own id must come back through `reporter::receive`.
  peer::send_function send;
  /// Share of the announced capacity that stays usable; 1 when the service is unknown.
  std::function<double(std::string_view service)> floor_of;
  /// Whether this instance is fresh in the present view (membership).
  std::function<bool(base::time_point now)> is_fresh;
  std::function<void(observe::decision)> on_decision;
};

/// Decides the ejections of the services that this instance owns. The owner of a service is chosen
/// by rendezvous hashing over the active members of the fleet view.
class service_owner {
public:
  service_owner(service_owner_settings settings, service_owner_hooks hooks);

  void set_upstreams(std::string_view service, const std::vector<upstream>& servers,
                     base::time_point now);
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Takes health_evidence; ignores other kinds.
  void receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);

  bool is_owner(std::string_view service) const;
  /// What this instance may do for a service; empty when it is not the owner or not fresh.
  std::optional<owner_phase> phase(std::string_view service, base::time_point now) const;
  /// Servers that this owner withholds; empty when not the owner.
  std::vector<withheld> withheld_servers(std::string_view service) const;
  std::uint64_t malformed_count() const noexcept { return malformed_; }

private:
  struct owned {
    std::unique_ptr<service_health> health;
    base::time_point since{};
    std::map<std::string, std::pair<std::uint64_t, base::time_point>> echoes; ///< by instance
    bool is_deciding_reported = false;
  };

  void take_ownership(const std::string& service, base::time_point now);
  void evaluate(const std::string& service, owned& o, base::time_point now);
  void send_verdicts(const std::string& service, owned& o, const std::string& to,
                     base::time_point now);
  void update_ownership(bool is_restarted, base::time_point now);

  service_owner_settings settings_;
  service_owner_hooks hooks_;
  membership::fleet_view view_;
  std::map<std::string, std::vector<upstream>, std::less<>> upstreams_;
  std::map<std::string, owned, std::less<>> owned_;
  std::uint64_t sequence_ = 0;
  std::uint64_t malformed_ = 0;
};

} // namespace kingcupshunt::health
