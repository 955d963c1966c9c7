#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fleet_state.h"
#include "kingcupshunt/admission/crash_suspects.h"
#include "kingcupshunt/admission/fair_queue.h"
#include "kingcupshunt/admission/hedging.h"
#include "kingcupshunt/admission/retry_policy.h"
#include "kingcupshunt/balance/balancer.h"
#include "kingcupshunt/balance/limit_exchange.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/health/registry.h"
#include "kingcupshunt/health/reporter.h"
#include "kingcupshunt/health/service_owner.h"
#include "kingcupshunt/proxy/hooks.h"
#include "kingcupshunt/rates/client.h"
#include "kingcupshunt/rates/owner.h"
#include "prober.h"
#include "runtime.h"

namespace kingcupshunt::node {

/// Decides about requests on one instance: servers, health, rates, queues and retries.
class traffic {
public:
  traffic(const runtime& rt, fleet_state& fleet);

  /// Handles messages of registry, health, rates, load and crash suspects. False: not one of these
  /// kinds.
  bool receive(std::string_view from, peer::message_kind kind, std::string_view body,
               base::time_point now);
  void tick(base::time_point now);
  /// Advances rates, crash suspects and queues, which requests wait for. Call every 10 ms while
  /// is_waiting, else with each tick.
  void fast_tick(base::time_point now);
  bool is_waiting() const;
  void set_view(const membership::fleet_view& view, base::time_point now);

  /// Call when the configuration in force changed. Updates the queue limits of the services.
  void apply_configuration(base::time_point now);

  /// Callbacks for the entry server. They refer to this object.
  proxy::hooks make_hooks();

  health::registry& registry() noexcept { return *registry_; }
  const health::registry& registry() const noexcept { return *registry_; }
  const health::reporter& reporter() const noexcept { return *reporter_; }
  const health::service_owner& service_owner() const noexcept { return *service_owner_; }
  const rates::owner& rate_owner() const noexcept { return *rate_owner_; }
  const admission::crash_suspects& suspects() const noexcept { return *suspects_; }
  std::size_t running() const;
  std::size_t waiting() const;
  /// Maximum over the services of running requests divided by the concurrency limit.
  double load() const;
  /// True while the owner of a service reports that this instance's requests fail at servers that
  /// are healthy according to other instances.
  bool is_faulty() const noexcept { return !faulty_services_.empty(); }

private:
  // traffic.cpp
  void make_health(base::time_point now);
  void make_rates();
  void make_admission();
  void apply_service(std::string_view service, base::time_point now);
  void start_probe(std::string_view service, std::string_view upstream);
  void check_server(const std::string& server);
  std::uint64_t incident_of(std::string_view server) const;

  // traffic_hooks.cpp
  proxy::decided<proxy::authorized_request> authorize(const proxy::request_head& head);
  void admit(const proxy::request_head& head, const proxy::authorized_request& request,
             std::function<void(proxy::decided<void>)> done);
  void enter_queue(const proxy::authorized_request& request,
                   std::function<void(proxy::decided<void>)> done);
  void finish(const proxy::authorized_request& request);
  void plan_try(const proxy::authorized_request& request, std::uint64_t fingerprint,
                std::function<void(proxy::decided<void>)> done);
  std::optional<std::string> pick_idle(std::uint64_t fingerprint);
  balance::result<std::string> pick_regular(const proxy::authorized_request& request,
                                            std::vector<std::string> tried, base::time_point now);
  balance::result<std::string> pick_isolated(const proxy::authorized_request& request,
                                             const std::string& server, base::time_point now);
  proxy::decided<proxy::upstream_target> pick(const proxy::authorized_request& request,
                                              std::uint64_t fingerprint,
                                              const std::vector<std::string>& tried);
  void report(const proxy::authorized_request& request, const health::attempt& a);
  bool may_retry(const proxy::authorized_request& request, const health::attempt& last);
  void reserve(const proxy::request_head& head, const proxy::authorized_request& request,
               std::uint64_t fingerprint,
               std::function<void(proxy::decided<proxy::reservation>)> done);
  void complete(std::uint64_t attempt_id, std::optional<proxy::stored_answer> answer);
  admission::fair_queue& queue_of(const config::service& service, base::time_point now);
  void record_refusal(std::string_view kind, std::string_view subject, const proxy::refusal& r);

  runtime rt_;
  fleet_state& fleet_;
  prober prober_;
  base::rng random_{rt_.seed + 9}; ///< chooses between the parts of a route
  std::unique_ptr<health::registry> registry_;
  std::unique_ptr<health::reporter> reporter_;
  std::unique_ptr<health::service_owner> service_owner_;
  std::unique_ptr<balance::balancer> balancer_;
  std::unique_ptr<balance::limit_exchange> limits_;
  std::unique_ptr<rates::owner> rate_owner_;
  std::unique_ptr<rates::client> rate_client_;
  std::unique_ptr<admission::retry_policy> retries_;
  std::unique_ptr<admission::hedging> hedging_;
  std::unique_ptr<admission::crash_suspects> suspects_;
  std::map<std::string, std::unique_ptr<admission::fair_queue>, std::less<>> queues_;
  std::map<std::string, std::size_t, std::less<>> slots_; ///< usable slots, by service
  /// Incarnations of servers, by service and server id.
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>>
      incarnations_;
  std::map<std::string, std::string, std::less<>> faulty_services_; ///< evidence, by service
  std::map<std::uint64_t, std::string> service_of_suspect_; ///< by fingerprint, during admission
  std::map<std::uint64_t, std::string> isolated_at_;        ///< by fingerprint, until picked
};

} // namespace kingcupshunt::node
