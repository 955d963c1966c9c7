#include "traffic.h"

#include <algorithm>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

using peer::message_kind;

constexpr base::milliseconds probe_timeout{250};

} // namespace

traffic::traffic(const runtime& rt, fleet_state& fleet) : rt_(rt), fleet_(fleet), prober_(rt.io) {
  make_health(base::clock::now());
  make_rates();
  make_admission();
}

void traffic::make_health(base::time_point) {
  const auto record = [this](observe::decision d) { rt_.record(std::move(d)); };
  const auto floor_of = [this](std::string_view service) {
    const auto found = fleet_.configuration().find_service(service);
    return found ? found->floor : 1.0;
  };

  health::registry_settings registry;
  registry.self = rt_.settings.id;
  registry.seed = rt_.seed + 3;
  registry_ = std::make_unique<health::registry>(
      registry, health::registry_hooks{rt_.send,
                                       [this](std::string_view service, base::time_point now) {
                                         apply_service(service, now);
                                       },
                                       record});

  health::reporter_settings report;
  report.self = rt_.settings.id;
  report.data_centre = rt_.settings.data_centre;
  report.probe_timeout = probe_timeout;
  health::reporter_hooks on_report;
  on_report.send = rt_.send;
  on_report.floor_of = floor_of;
  on_report.start_probe = [this](std::string_view service, std::string_view upstream) {
    start_probe(service, upstream);
  };
  on_report.on_states = [this](std::string_view service, const auto& states, base::time_point now) {
    balancer_->set_states(service, states, now);
  };
  on_report.on_self_faulty = [this](std::string_view service, bool is_faulty,
                                    std::string_view evidence) {
    if (is_faulty) {
      faulty_services_[std::string(service)] = std::string(evidence);
    } else {
      faulty_services_.erase(std::string(service));
    }
  };
  on_report.on_decision = record;
  reporter_ = std::make_unique<health::reporter>(report, std::move(on_report));

  health::service_owner_settings owner;
  owner.self = rt_.settings.id;
  service_owner_ = std::make_unique<health::service_owner>(
      owner, health::service_owner_hooks{
                 rt_.send, floor_of, [this](base::time_point now) { return fleet_.is_fresh(now); },
                 record});

  balance::balancer_settings balance;
  balance.self = rt_.settings.id;
  balance.data_centre = rt_.settings.data_centre;
  balance.seed = rt_.seed + 4;
  balance::balancer_hooks on_balance;
  on_balance.send = rt_.send;
  on_balance.max_connections = [this](std::string_view service) {
    const auto s = fleet_.configuration().find_service(service);
    return s ? s->max_connections : 330U;
  };
  on_balance.on_limit = [this](const fleet::limit_note& note) {
    rt_.metrics.count("server_limit_changes_total", note.is_limited ? "limited" : "ended");
    rt_.record({"server.limit", "server", note.server, note.is_limited ? "limited" : "ended",
                "per_second=" + std::to_string(note.per_second), 0});
    limits_->observe(note);
  };
  on_balance.on_leaving = [this](std::string_view server, std::uint32_t in_flight) {
    rt_.metrics.count("server_leaving_total", "own_answer");
    rt_.record({"server.leaving", "server", std::string(server), "leaving",
                "in_flight=" + std::to_string(in_flight), 0});
  };
  on_balance.on_pause = [this](const balance::pause_change& change) {
    rt_.metrics.count("server_pauses_total", "own_answer");
    rt_.record({"server.paused", "server", std::string(change.server), "own_answer",
                "for_ms=" + std::to_string(base::to_ms(change.pause)) +
                    " in_flight=" + std::to_string(change.in_flight),
                0});
  };
  balancer_ = std::make_unique<balance::balancer>(balance, std::move(on_balance));
  balance::limit_exchange_hooks on_exchange;
  on_exchange.send = rt_.send;
  on_exchange.on_permits = [this](const fleet::permit_grant& grant, base::time_point now) {
    balancer_->add_permits(grant, now);
  };
  on_exchange.on_limit = [this](const fleet::limit_note& note) { balancer_->set_limit(note); };
  limits_ = std::make_unique<balance::limit_exchange>(rt_.settings.id, std::move(on_exchange));
}

void traffic::make_rates() {
  const auto record = [this](const observe::decision& d) { rt_.record(d); };
  const auto count = [this](std::string_view name, std::uint64_t n) {
    rt_.metrics.count("rates_total", name, static_cast<double>(n));
  };
  rates::owner_settings owner;
  owner.self = rt_.settings.id;
  owner.incarnation = rt_.incarnation;
  rates::owner_hooks on_owner;
  on_owner.send = rt_.send;
  on_owner.limit_of = [this](std::string_view workspace) -> std::optional<rates::limit> {
    const auto found = fleet_.configuration().find_workspace(workspace);
    return found ? std::optional(rates::limit{found->rate, found->burst}) : std::nullopt;
  };
  on_owner.is_fresh = [this] {
    return fleet_.is_fresh_within(rates::freshness_bound, base::clock::now());
  };
  on_owner.is_view_held = [this](std::uint64_t version) { return fleet_.is_view_held(version); };
  on_owner.on_decision = record;
  on_owner.on_count = count;
  rate_owner_ = std::make_unique<rates::owner>(owner, std::move(on_owner));

  rates::client_settings client;
  client.incarnation = rt_.incarnation;
  rate_client_ =
      std::make_unique<rates::client>(client, rates::client_hooks{rt_.send, record, count});
}

void traffic::make_admission() {
  const auto record = [this](const observe::decision& d) { rt_.record(d); };
  admission::retry_hooks on_retry;
  on_retry.on_denial = [this](std::string_view denial) {
    rt_.metrics.count("retry_denials_total", denial);
  };
  on_retry.on_decision = record;
  retries_ =
      std::make_unique<admission::retry_policy>(admission::retry_settings{}, std::move(on_retry));
  hedging_ = std::make_unique<admission::hedging>();

  admission::crash_suspects_settings suspects;
  suspects.self = rt_.settings.id;
  admission::crash_suspects_hooks on_suspect;
  on_suspect.send = rt_.send;
  on_suspect.pick_idle = [this](std::uint64_t fingerprint) { return pick_idle(fingerprint); };
  on_suspect.check_server = [this](const std::string& server) { check_server(server); };
  on_suspect.is_fresh = [this] { return fleet_.is_fresh(base::clock::now()); };
  on_suspect.on_decision = record;
  on_suspect.on_count = [this](std::string_view name) {
    rt_.metrics.count("crash_suspects_total", name);
  };
  suspects_ = std::make_unique<admission::crash_suspects>(suspects, std::move(on_suspect));
}

// Updates all components that depend on the servers of a service.
void traffic::apply_service(std::string_view service, base::time_point now) {
  const auto servers = registry_->upstreams(service);
  balancer_->set_upstreams(service, servers, now);
  reporter_->set_upstreams(service, servers, now);
  service_owner_->set_upstreams(service, servers, now);
  std::size_t slots = 0;
  auto& incarnations = incarnations_[std::string(service)];
  incarnations.clear();
  for (const auto& it : servers) {
    slots += it.info.is_draining ? 0 : it.info.slots;
    incarnations[it.info.id] = it.info.incarnation;
  }
  slots_[std::string(service)] = slots;
  if (const auto it = queues_.find(service); it != queues_.end()) {
    it->second->set_slots(slots, now);
  }
}

void traffic::apply_configuration(base::time_point) {
  for (const auto& [name, queue] : queues_) {
    if (const auto service = fleet_.configuration().find_service(name)) {
      queue->set_queue_limit(service->queue_limit);
    }
  }
}

void traffic::set_view(const membership::fleet_view& view, base::time_point now) {
  registry_->set_view(view, now);
  reporter_->set_view(view, now);
  service_owner_->set_view(view, now);
  balancer_->set_view(view, now);
  limits_->set_view(view, now);
  rate_owner_->set_view(view, now);
  rate_client_->set_view(view, now);
  suspects_->set_view(view, now);
}

bool traffic::receive(std::string_view from, message_kind kind, std::string_view body,
                      base::time_point now) {
  switch (kind) {
  case message_kind::registry_update:
  case message_kind::registry_digest:
    registry_->receive(from, kind, body, now);
    return true;
  case message_kind::health_evidence:
    service_owner_->receive(from, kind, body, now);
    return true;
  case message_kind::health_verdicts:
    reporter_->receive(from, kind, body, now);
    return true;
  case message_kind::rate_ask:
    rate_owner_->receive(from, kind, body, now);
    return true;
  case message_kind::rate_grant:
    rate_client_->receive(from, kind, body, now);
    return true;
  case message_kind::limit_report:
  case message_kind::permit_grant:
    limits_->receive(from, kind, body, now);
    return true;
  case message_kind::load_report:
    balancer_->receive(from, kind, body, now);
    return true;
  case message_kind::crash_suspects:
    suspects_->receive(from, kind, body, now);
    return true;
  default:
    return false;
  }
}

void traffic::tick(base::time_point now) {
  registry_->tick(now);
  reporter_->tick(now);
  service_owner_->tick(now);
  balancer_->tick(now);
  limits_->tick(now);
}

void traffic::fast_tick(base::time_point now) {
  rate_owner_->tick(now);
  rate_client_->tick(now);
  suspects_->tick(now);
  for (const auto& [name, queue] : queues_) {
    queue->tick(now);
  }
}

bool traffic::is_waiting() const {
  return rate_client_->next_due().has_value() || rate_owner_->next_due().has_value() ||
         running() > 0 || waiting() > 0;
}

std::size_t traffic::running() const {
  std::size_t n = 0;
  for (const auto& [name, queue] : queues_) {
    n += queue->running();
  }
  return n;
}

std::size_t traffic::waiting() const {
  std::size_t n = 0;
  for (const auto& [name, queue] : queues_) {
    n += queue->waiting();
  }
  return n;
}

double traffic::load() const {
  double max_load = 0;
  for (const auto& [name, queue] : queues_) {
    const auto limit = queue->limit();
    if (limit > 0) {
      max_load =
          std::max(max_load, static_cast<double>(queue->running()) / static_cast<double>(limit));
    }
  }
  return max_load;
}

void traffic::start_probe(std::string_view service, std::string_view upstream) {
  const auto found = fleet_.configuration().find_service(service);
  const auto path = found ? found->health_path : std::string("/healthz");
  prober_.probe(std::string(upstream), path, probe_timeout,
                [this, service = std::string(service),
                 upstream = std::string(upstream)](health::probe_outcome outcome) {
                  rt_.metrics.count("probes_total",
                                    outcome == health::probe_outcome::ok ? "ok" : "failed");
                  reporter_->probe_done(service, upstream, outcome, base::clock::now());
                });
}

// Identifies the crash of a server's current incarnation; the same value on all instances.
std::uint64_t traffic::incident_of(std::string_view server) const {
  for (const auto& [service, servers] : incarnations_) {
    if (const auto it = servers.find(server); it != servers.end()) {
      return base::hash64(server, it->second);
    }
  }
  return base::hash64(server);
}

// Distinguishes a crashed server from one that only lost a connection by connecting again.
void traffic::check_server(const std::string& server) {
  // Computed before the check, since a server that restarts in the meantime has a new incarnation.
  const auto incident = incident_of(server);
  prober_.check_alive(server, [this, server, incident](bool is_alive) {
    const auto now = base::clock::now();
    if (is_alive) {
      suspects_->server_alive(server, now);
    } else {
      suspects_->server_died(server, incident, now);
    }
  });
}

} // namespace kingcupshunt::node
