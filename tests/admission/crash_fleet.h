#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "kingcupshunt/admission/crash_suspects.h"
#include "kingcupshunt/base/rendezvous.h"
#include "kingcupshunt/base/rng.h"

/// Simulated instances and servers in simulated time; one fingerprint crashes every server that
/// runs it, and its callers send it again and again.
namespace kingcupshunt::support {

using base::duration;
using base::milliseconds;
using base::time_point;

struct crash_options {
  std::uint64_t seed = 1;
  std::size_t instances = 5;
  std::size_t servers = 10;
  int poison_callers = 1;                  ///< copies sent at once after each failure
  duration poison_time = milliseconds(20); ///< longest time from its start to the crash
  duration max_delay = milliseconds(100);
};

class crash_fleet {
public:
  static constexpr std::uint64_t poison = 1;

  explicit crash_fleet(crash_options o) : options_(o), rng_(o.seed) {
    instances_.resize(o.instances);
    servers_.resize(o.servers);
    membership::fleet_view v;
    v.version = 1;
    for (std::size_t i = 0; i < o.instances; ++i) {
      v.members.push_back({"i" + std::to_string(i), "dc", "", "", true});
    }
    for (std::size_t i = 0; i < o.instances; ++i) {
      start(i, v);
    }
    view_ = v;
  }

  std::function<void()> on_crash;
  int servers_lost = 0;
  int harmless_done = 0;
  int harmless_refused = 0;
  int poison_refused = 0;
  int poison_overlaps = 0; ///< the poison ran at two servers at once after the first crash
  time_point now{};
  base::rng& rng() { return rng_; }

  void at(duration after, std::function<void()> action) {
    events_.push({now + after, next_++, std::move(action)});
  }

  void run(duration d) {
    const auto end = now + d;
    while (!events_.empty() && events_.top().when <= end) {
      auto e = events_.top();
      events_.pop();
      now = e.when;
      e.action();
    }
    now = end;
  }

  /// One request by a caller who sends it again, through any instance, until it is done.
  void call(std::uint64_t fingerprint, duration run_time, int tries_left) {
    if (tries_left <= 0) {
      return;
    }
    std::size_t i = rng_.below(instances_.size());
    while (!instances_[i].is_alive) {
      i = (i + 1) % instances_.size();
    }
    submit(i, fingerprint, run_time, tries_left);
  }

  /// Innocent fingerprints that some instance still suspects.
  std::size_t suspected_harmless() const {
    std::size_t n = 0;
    for (const auto& i : instances_) {
      for (const auto fingerprint : i.core->table().active()) {
        n += fingerprint != poison ? 1 : 0;
      }
    }
    return n;
  }

  std::size_t coordinator_of_poison() const {
    return base::rendezvous_pick(std::to_string(poison), view_.active_ids());
  }

  /// Kills an instance that does not carry the poison, and removes it from the view a second later.
  void kill(std::size_t i) {
    for (const auto& s : servers_) {
      for (const auto& r : s.running) {
        if (r.instance == i && r.fingerprint == poison) {
          return;
        }
      }
    }
    instances_[i].is_alive = false;
    for (auto& s : servers_) {
      std::erase_if(s.running, [&](const running_request& r) { return r.instance == i; });
    }
    at(base::seconds(1), [this, i] {
      ++view_.version;
      view_.members[i].is_active = false;
      for (auto& n : instances_) {
        at(random(milliseconds(500)), [this, &n, v = view_] { n.core->set_view(v, now); });
      }
    });
  }

private:
  struct instance {
    std::unique_ptr<admission::crash_suspects> core;
    std::set<std::size_t> dead_servers;
    bool is_alive = true;
  };
  struct running_request {
    std::uint64_t id = 0;
    std::uint64_t fingerprint = 0;
    std::size_t instance = 0;
    duration run_time{};
    int tries_left = 0;
  };
  struct backend {
    bool is_alive = true;
    std::uint64_t incarnation = 1;
    std::vector<running_request> running;
  };
  struct event {
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };

  static std::string name(std::size_t s) { return "s" + std::to_string(s); }
  duration random(duration d) {
    return duration(static_cast<duration::rep>(rng_.below(static_cast<std::uint64_t>(d.count()))));
  }

  void start(std::size_t i, const membership::fleet_view& v) {
    admission::crash_suspects_hooks h;
    h.send = [this, i](std::string_view to, peer::message_kind kind, std::string body) {
      const auto target = static_cast<std::size_t>(std::stoul(std::string(to.substr(1))));
      at(random(options_.max_delay), [=, this, b = std::move(body)] {
        if (instances_[target].is_alive) {
          instances_[target].core->receive("i" + std::to_string(i), kind, b, now);
        }
      });
    };
    h.pick_idle = [this, i](std::uint64_t) { return pick(i, true); };
    admission::crash_suspects_settings s;
    s.self = "i" + std::to_string(i);
    instances_[i].core = std::make_unique<admission::crash_suspects>(s, std::move(h));
    instances_[i].core->set_view(v, now);
    at(random(milliseconds(50)), [this, i] { tick(i); });
  }

  void tick(std::size_t i) {
    if (instances_[i].is_alive) {
      instances_[i].core->tick(now);
      at(milliseconds(50), [this, i] { tick(i); });
    }
  }

  std::optional<std::string> pick(std::size_t i, bool is_idle) {
    const auto first = rng_.below(servers_.size());
    std::size_t carriers = 0;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      carriers += instances_[i].core->is_isolation_server(name(s)) ? 1 : 0;
    }
    if (is_idle && 3 * (carriers + 1) > servers_.size() && carriers > 0) {
      return std::nullopt; // leaves two thirds of the servers to other requests
    }
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      const auto s = (first + k) % servers_.size();
      const bool has_running = std::ranges::any_of(
          servers_[s].running, [&](const running_request& r) { return r.instance == i; });
      if (!instances_[i].dead_servers.contains(s) && !(is_idle && has_running) &&
          !instances_[i].core->is_isolation_server(name(s))) {
        return name(s);
      }
    }
    return std::nullopt;
  }

  void submit(std::size_t i, std::uint64_t fingerprint, duration run_time, int tries_left) {
    instances_[i].core->admit(
        fingerprint, now, now + base::seconds(5), [=, this](proxy::decided<admission::run_plan> p) {
          if (!p) {
            auto& n = fingerprint == poison ? poison_refused : harmless_refused;
            n += p.error().reason == "crash_suspect" ? 1 : 0;
            at(random(milliseconds(200)),
               [=, this] { call(fingerprint, run_time, tries_left - 1); });
            return;
          }
          const auto server = p.value().isolated_at ? p.value().isolated_at : pick(i, false);
          // The connection and the idempotency reservation take a moment before the first byte.
          at(random(milliseconds(3)),
             [=, this] { send(i, fingerprint, run_time, tries_left, server); });
        });
  }

  void retry(std::size_t i, std::uint64_t fingerprint, duration run_time, int tries_left) {
    at(milliseconds(5), [=, this] {
      // Either this instance tries again or its caller does, at once and possibly several times.
      if (instances_[i].is_alive && rng_.below(2) == 0) {
        submit(i, fingerprint, run_time, tries_left - 1);
        return;
      }
      const int copies = fingerprint == poison ? options_.poison_callers : 1;
      for (int c = 0; c < copies; ++c) {
        call(fingerprint, run_time, tries_left - 1);
      }
    });
  }

  void send(std::size_t i, std::uint64_t fingerprint, duration run_time, int tries_left,
            const std::optional<std::string>& server) {
    auto& n = instances_[i];
    if (!n.is_alive) {
      return;
    }
    if (!server || !n.core->begin(fingerprint, *server, now)) {
      n.core->abandon(fingerprint, now);
      retry(i, fingerprint, run_time, tries_left);
      return;
    }
    const auto s = static_cast<std::size_t>(std::stoul(server->substr(1)));
    if (!servers_[s].is_alive) {
      n.core->end(fingerprint, *server, health::attempt_end::connect_failed, now,
                  [=, this] { retry(i, fingerprint, run_time, tries_left); });
      return;
    }
    if (fingerprint == poison && servers_lost > 0) {
      for (const auto& other : servers_) {
        for (const auto& r : other.running) {
          poison_overlaps += r.fingerprint == poison ? 1 : 0;
        }
      }
    }
    const auto id = next_++;
    servers_[s].running.push_back({id, fingerprint, i, run_time, tries_left});
    at(fingerprint == poison ? random(options_.poison_time) : run_time, [=, this] {
      if (fingerprint == poison) {
        crash(s, id);
      } else {
        complete(s, id);
      }
    });
  }

  void complete(std::size_t s, std::uint64_t id) {
    auto& list = servers_[s].running;
    const auto it = std::ranges::find(list, id, &running_request::id);
    if (it == list.end()) {
      return;
    }
    const auto r = *it;
    list.erase(it);
    instances_[r.instance].core->end(r.fingerprint, name(s), health::attempt_end::ok, now,
                                     [this] { ++harmless_done; });
  }

  void crash(std::size_t s, std::uint64_t id) {
    auto& sv = servers_[s];
    if (!sv.is_alive ||
        std::ranges::find(sv.running, id, &running_request::id) == sv.running.end()) {
      return;
    }
    ++servers_lost;
    if (on_crash) {
      on_crash();
    }
    sv.is_alive = false;
    for (const auto& r : std::exchange(sv.running, {})) {
      at(random(milliseconds(5)), [=, this] {
        if (instances_[r.instance].is_alive) {
          instances_[r.instance].core->end(
              r.fingerprint, name(s), health::attempt_end::closed_unanswered, now,
              [=, this] { retry(r.instance, r.fingerprint, r.run_time, r.tries_left); });
        }
      });
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      at(milliseconds(5) + random(milliseconds(25)),
         [this, i, s, incident = sv.incarnation * 100 + s] {
           if (instances_[i].is_alive) {
             instances_[i].dead_servers.insert(s);
             instances_[i].core->server_died(name(s), incident, now);
           }
         });
    }
    at(base::seconds(2), [this, s] {
      servers_[s].is_alive = true;
      ++servers_[s].incarnation;
      for (auto& n : instances_) {
        n.dead_servers.erase(s);
      }
    });
  }

  crash_options options_;
  base::rng rng_;
  membership::fleet_view view_;
  std::vector<instance> instances_;
  std::vector<backend> servers_;
  std::priority_queue<event> events_;
  std::uint64_t next_ = 1000;
};

} // namespace kingcupshunt::support
