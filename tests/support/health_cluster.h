#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/health/reporter.h"
#include "kingcupshunt/health/service_owner.h"

namespace support {

namespace base = kingcupshunt::base;
namespace health = kingcupshunt::health;
namespace membership = kingcupshunt::membership;
namespace observe = kingcupshunt::observe;
namespace peer = kingcupshunt::peer;

/// Events in virtual time; events of the same time run in the order in which they were added.
class event_queue {
public:
  using action = std::function<void(base::time_point)>;

  void at(base::time_point t, action f) { heap_.push({t, next_++, std::move(f)}); }

  /// Runs all events up to and including `end`.
  void run_until(base::time_point end) {
    while (!heap_.empty() && heap_.top().t <= end) {
      auto e = heap_.top();
      heap_.pop();
      e.f(e.t);
    }
  }

private:
  struct event {
    base::time_point t;
    std::uint64_t n;
    action f;
    bool operator<(const event& o) const { return t != o.t ? t > o.t : n > o.n; }
  };
  std::priority_queue<event> heap_;
  std::uint64_t next_ = 0;
};

struct cluster_settings {
  int instances = 15;
  int data_centres = 3;
  std::string service = "fitting";
  double floor = 0.6;
  std::uint64_t seed = 1;
  base::duration tick = base::milliseconds(50);
  health::service_settings detection;
};

/// Reporters and owners of all instances of a fleet, joined by a network with delay and loss.
class health_cluster {
public:
  struct node {
    std::unique_ptr<health::reporter> reporter;
    std::unique_ptr<health::service_owner> owner;
    bool is_alive = true;
    bool is_fresh = true;
    bool is_self_faulty = false;
  };

  health_cluster(cluster_settings s, event_queue& q) : settings(std::move(s)), queue(q) {}

  void start(base::time_point now) {
    clock = now;
    view.version = 1;
    for (int i = 0; i < settings.instances; ++i) {
      view.members.push_back({"i" + std::to_string(100 + i),
                              "dc" + std::to_string(i % settings.data_centres), "", "", true});
    }
    for (const auto& member : view.members) {
      add(member);
      auto& n = nodes[member.id];
      n.reporter->set_view(view, now);
      n.owner->set_view(view, now);
      queue.at(now + base::milliseconds(rng.below(50)),
               [this, id = member.id](auto t) { tick(id, t); });
    }
  }

  void set_upstreams(const std::vector<health::upstream>& servers, base::time_point now) {
    for (auto& [id, n] : nodes) {
      n.reporter->set_upstreams(settings.service, servers, now);
      n.owner->set_upstreams(settings.service, servers, now);
    }
  }

  void set_view(base::time_point now) {
    ++view.version;
    for (auto& [id, n] : nodes) {
      n.reporter->set_view(view, now);
      n.owner->set_view(view, now);
    }
  }

  /// Ends an instance; the view follows after `until_noticed`.
  void kill(const std::string& id, base::time_point now, base::duration until_noticed) {
    nodes[id].is_alive = false;
    queue.at(now + until_noticed, [this, id](auto t) {
      for (auto& member : view.members) {
        member.is_active = member.is_active && member.id != id;
      }
      set_view(t);
    });
  }

  std::string owner_id() const {
    for (const auto& [id, n] : nodes) {
      if (n.is_alive && n.owner->is_owner(settings.service)) {
        return id;
      }
    }
    return {};
  }

  std::string data_centre_of(const std::string& instance) const {
    const auto* member = view.find(instance);
    return member == nullptr ? "" : member->data_centre;
  }

  cluster_settings settings;
  event_queue& queue;
  membership::fleet_view view;
  std::map<std::string, node> nodes;
  base::rng rng{settings.seed};
  std::function<bool(const std::string& from, const std::string& to)> is_lost;
  std::function<void(const std::string& instance, const std::vector<health::server_status>&,
                     base::time_point)>
      on_states;
  std::function<void(const std::string& instance, const std::string& id, base::time_point)>
      on_probe;
  std::function<void(const std::string& instance, const observe::decision&, base::time_point)>
      on_decision;
  base::time_point clock{};

private:
  void add(const membership::fleet_member& member) {
    auto& n = nodes[member.id];
    const auto id = member.id;
    const auto send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
      deliver(id, std::string(to), kind, std::move(body));
    };
    const auto decide = [this, id](const observe::decision& d) {
      if (on_decision) {
        on_decision(id, d, clock);
      }
    };
    health::reporter_settings rs;
    rs.self = id;
    rs.data_centre = member.data_centre;
    health::reporter_hooks rh;
    rh.send = send;
    rh.floor_of = [this](std::string_view) { return settings.floor; };
    rh.start_probe = [this, id](std::string_view, std::string_view upstream) {
      if (on_probe) {
        on_probe(id, std::string(upstream), clock);
      }
    };
    rh.on_states = [this, id](std::string_view, const auto& states, base::time_point t) {
      if (on_states) {
        on_states(id, states, t);
      }
    };
    rh.on_self_faulty = [&n](std::string_view, bool is_faulty, std::string_view) {
      n.is_self_faulty = is_faulty;
    };
    n.reporter = std::make_unique<health::reporter>(rs, rh);
    health::service_owner_settings os;
    os.self = id;
    os.service = settings.detection;
    os.service.seed = settings.seed;
    health::service_owner_hooks oh;
    oh.send = send;
    oh.floor_of = rh.floor_of;
    oh.is_fresh = [&n](base::time_point) { return n.is_fresh; };
    oh.on_decision = decide;
    n.owner = std::make_unique<health::service_owner>(os, oh);
  }

  void deliver(const std::string& from, std::string to, peer::message_kind kind, std::string body) {
    if (is_lost && is_lost(from, to)) {
      return;
    }
    const bool is_local = data_centre_of(from) == data_centre_of(to);
    const auto delay = base::microseconds(is_local ? 300 : 1500);
    queue.at(clock + delay, [this, from, to = std::move(to), kind, body = std::move(body)](auto t) {
      clock = t;
      auto& n = nodes[to];
      if (!n.is_alive || !nodes[from].is_alive) {
        return;
      }
      n.reporter->receive(from, kind, body, t);
      n.owner->receive(from, kind, body, t);
    });
  }

  void tick(const std::string& id, base::time_point t) {
    clock = t;
    auto& n = nodes[id];
    if (!n.is_alive) {
      return;
    }
    n.reporter->tick(t);
    n.owner->tick(t);
    queue.at(t + settings.tick, [this, id](auto next) { tick(id, next); });
  }
};

} // namespace support
