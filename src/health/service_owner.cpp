#include "kingcupshunt/health/service_owner.h"

#include <algorithm>
#include <utility>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/rendezvous.h"

namespace kingcupshunt::health {

namespace {

// Verdicts are pushed to instances whose last evidence is at most this old; their lifetime counts
// from that evidence.
constexpr base::seconds max_evidence_age{1};

base::duration lengthen_by_drift(base::duration d) {
  return base::from_seconds(base::to_seconds(d) * (1 + base::clock_drift_bound));
}

} // namespace

service_owner::service_owner(service_owner_settings settings, service_owner_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void service_owner::set_upstreams(std::string_view service, const std::vector<upstream>& servers,
                                  base::time_point now) {
  const std::string name(service);
  upstreams_[name] = servers;
  if (const auto it = owned_.find(name); it != owned_.end()) {
    it->second.health->set_upstreams(servers, now);
  } else if (is_owner(name)) {
    take_ownership(name, now);
  }
}

bool service_owner::is_owner(std::string_view service) const {
  const auto active = view_.active_ids();
  const auto owner = base::rendezvous_pick(service, active);
  return owner < active.size() && active[owner] == settings_.self;
}

void service_owner::set_view(const membership::fleet_view& view, base::time_point now) {
  // A view that was skipped may have named another owner, who may still act.
  const bool is_skipped = view.version > view_.version + 1 || view.version < view_.version;
  view_ = view;
  update_ownership(is_skipped, now);
}

void service_owner::update_ownership(bool is_restarted, base::time_point now) {
  for (auto it = owned_.begin(); it != owned_.end();) {
    if (is_owner(it->first)) {
      if (is_restarted) {
        it->second.since = now;
        it->second.is_deciding_reported = false;
        it->second.health->reset(now);
      }
      ++it;
      continue;
    }
    if (hooks_.on_decision) {
      hooks_.on_decision({"owner.change", "service", it->first, "released",
                          "view=" + std::to_string(view_.version), 0});
    }
    it = owned_.erase(it);
  }
  for (const auto& [service, servers] : upstreams_) {
    if (!owned_.contains(service) && is_owner(service)) {
      take_ownership(service, now);
    }
  }
}

void service_owner::take_ownership(const std::string& service, base::time_point now) {
  auto& o = owned_[service];
  o.since = now;
  auto settings = settings_.service;
  settings.seed = base::hash64(service, settings.seed);
  o.health = std::make_unique<service_health>(service, settings, hooks_.on_decision);
  if (const auto it = upstreams_.find(service); it != upstreams_.end()) {
    o.health->set_upstreams(it->second, now);
  }
  if (hooks_.on_decision) {
    hooks_.on_decision({"owner.change", "service", service, "waiting",
                        "view=" + std::to_string(view_.version) + " owner=" + settings_.self, 0});
  }
}

// The former owner stops acting when it is no longer fresh, and what it granted ends one lifetime
// later. In between, only ejections that instances still hold may be renewed: they are a part of
// what the former owner granted, so both together stay within the floor.
std::optional<owner_phase> service_owner::phase(std::string_view service,
                                                base::time_point now) const {
  const auto it = owned_.find(service);
  if (it == owned_.end() || (hooks_.is_fresh && !hooks_.is_fresh(now))) {
    return std::nullopt;
  }
  const auto age = now - it->second.since;
  const auto collecting_time = lengthen_by_drift(settings_.freshness_bound);
  if (age < collecting_time) {
    return owner_phase::collecting;
  }
  return age < collecting_time + lengthen_by_drift(settings_.service.lifetime)
             ? owner_phase::renewing
             : owner_phase::deciding;
}

void service_owner::receive(std::string_view from, peer::message_kind kind, std::string_view body,
                            base::time_point now) {
  if (kind != peer::message_kind::health_evidence) {
    return;
  }
  const auto m = peer::unpack<evidence_message>(body);
  if (!m) {
    ++malformed_;
    return;
  }
  const auto it = owned_.find(m->service);
  if (it == owned_.end()) {
    return;
  }
  const std::string sender(from);
  auto& o = it->second;
  o.echoes[sender] = {m->sent_us, now};
  o.health->add_evidence(from, *m, now);
  evaluate(m->service, o, now);
  send_verdicts(m->service, o, sender, now);
}

void service_owner::tick(base::time_point now) {
  for (auto& [service, o] : owned_) {
    evaluate(service, o, now);
  }
}

void service_owner::evaluate(const std::string& service, owned& o, base::time_point now) {
  const auto allowed_phase = phase(service, now);
  const double floor = hooks_.floor_of ? hooks_.floor_of(service) : 1.0;
  if (allowed_phase == owner_phase::deciding && !std::exchange(o.is_deciding_reported, true) &&
      hooks_.on_decision) {
    hooks_.on_decision({"owner.change", "service", service, "deciding",
                        "view=" + std::to_string(view_.version) + " owner=" + settings_.self, 0});
  }
  const bool is_changed =
      o.health->evaluate(allowed_phase.value_or(owner_phase::collecting), floor, now);
  std::erase_if(o.echoes,
                [&](const auto& item) { return now - item.second.second > max_evidence_age; });
  if (!is_changed) {
    return;
  }
  for (const auto& [instance, echo] : o.echoes) {
    send_verdicts(service, o, instance, now);
  }
}

void service_owner::send_verdicts(const std::string& service, owned& o, const std::string& to,
                                  base::time_point now) {
  const auto allowed_phase = phase(service, now);
  const auto echo = o.echoes.find(to);
  if (!allowed_phase || *allowed_phase == owner_phase::collecting || echo == o.echoes.end() ||
      !hooks_.send) {
    return;
  }
  verdicts_message m;
  m.service = service;
  m.view_version = view_.version;
  // Starts at the clock, so that a restarted owner continues above its earlier numbers.
  const auto clock = std::chrono::duration_cast<base::microseconds>(now.time_since_epoch());
  sequence_ = std::max(sequence_ + 1, static_cast<std::uint64_t>(clock.count()));
  m.sequence = sequence_;
  m.echo_us = echo->second.first;
  o.health->fill(m, to, now);
  hooks_.send(to, peer::message_kind::health_verdicts, peer::pack(m));
}

std::vector<withheld> service_owner::withheld_servers(std::string_view service) const {
  const auto it = owned_.find(service);
  return it == owned_.end() ? std::vector<withheld>{} : it->second.health->withheld_servers();
}

} // namespace kingcupshunt::health
