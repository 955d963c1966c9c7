#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "kingcupshunt/membership/freshness.h"
#include "membership/simulation.h"

namespace simulation {

namespace membership = kingcupshunt::membership;

/// Instances with a freshness core each, and one log of revisions that they pull from each other.
class fresh_fleet {
public:
  struct instance {
    std::unique_ptr<membership::freshness> core;
    skewed_clock clock;
    std::uint64_t applied = 0;
    std::uint32_t incarnation = 0;
    bool is_up = true;
  };

  fresh_fleet(std::size_t n, std::size_t members, std::size_t flat_limit, std::uint64_t seed)
      : net(seed), flat_limit_(flat_limit) {
    log.push_back({}); // revision 0
    log.push_back(view_of(members));
    instances.resize(n);
    for (std::size_t i = 0; i < n; ++i) {
      instances[i].clock.rate = 0.995 + 0.01 * net.random.unit();
      instances[i].clock.offset = milliseconds(1'000'000 + net.random.below(1'000'000));
      restart(i);
    }
  }

  network net;
  std::vector<instance> instances;
  std::vector<std::optional<membership::fleet_view>> log; ///< by revision; a view where it changed
  double pull_success = 1.0; ///< share of the tries to take over a delta that succeed
  std::map<std::uint64_t, duration> acknowledged; ///< by any instance: revision to time
  /// Revisions that a majority of synced members held at one moment, and when that was first so.
  std::map<std::uint64_t, duration> held;
  std::optional<std::uint64_t> wrongly_acknowledged;

  std::uint64_t head() const { return log.size() - 1; }
  time_point local(std::size_t i) const { return instances[i].clock.at(net.now); }
  bool is_fresh(std::size_t i) const {
    return instances[i].is_up && instances[i].core->is_fresh(local(i));
  }

  void restart(std::size_t i) {
    auto& self = instances[i];
    self.is_up = true;
    self.applied = 0;
    ++self.incarnation;
    membership::freshness_settings settings;
    settings.self_id = id_of(i);
    settings.incarnation = self.incarnation;
    settings.started_at = local(i);
    settings.flat_limit = flat_limit_;
    settings.seed = net.random.below(1U << 30U);
    membership::freshness_hooks hooks;
    hooks.on_behind = [this, i](std::string_view peer, std::uint64_t) { pull(i, number_of(peer)); };
    hooks.on_held = [this](std::uint64_t revision) {
      acknowledged.emplace(revision, net.now);
      update_held();
      if (held.empty() || held.rbegin()->first < revision) {
        wrongly_acknowledged = revision;
      }
    };
    self.core = std::make_unique<membership::freshness>(
        settings,
        [this, i](std::string_view to, message_kind kind, std::string body) {
          net.send(i, number_of(to), kind, std::move(body));
        },
        hooks);
  }

  /// Takes over everything that `from` has applied, as a delta or as a whole state.
  void pull(std::size_t i, std::size_t from) {
    if (instances[from].is_up && net.is_open(i, from) && net.is_open(from, i) &&
        net.random.unit() < pull_success) {
      apply(i, instances[from].applied);
    }
  }

  void apply(std::size_t i, std::uint64_t revision) {
    auto& self = instances[i];
    if (self.applied == 0 && revision > 0) { // a whole state: the latest view and the one before
      std::vector<const membership::fleet_view*> views;
      for (std::uint64_t r = 1; r <= revision; ++r) {
        if (log[r]) {
          views.push_back(&*log[r]);
        }
      }
      self.core->set_view(*views.back(), local(i));
      if (views.size() > 1) {
        self.core->set_previous_view(*views[views.size() - 2]);
      }
      self.applied = revision;
      self.core->set_applied(revision, local(i));
    }
    while (self.applied < revision) {
      ++self.applied;
      if (log[self.applied]) {
        self.core->set_view(*log[self.applied], local(i));
      }
      self.core->set_applied(self.applied, local(i));
    }
  }

  /// Takes the state at a read index that the voters confirm.
  void sync_with_voters(std::size_t i) {
    apply(i, head());
    instances[i].core->set_synced(local(i));
  }

  /// Appends a change through an instance that has applied the whole log.
  bool propose(std::size_t i) {
    if (!instances[i].is_up || instances[i].applied != head()) {
      return false;
    }
    log.emplace_back();
    apply(i, head());
    return true;
  }

  /// The same with a change of the view, which the former view must allow.
  bool propose(std::size_t i, const membership::fleet_view& view) {
    if (!instances[i].is_up || instances[i].applied != head() ||
        !instances[i].core->is_view_settled()) {
      return false;
    }
    log.emplace_back(view);
    apply(i, head());
    return true;
  }

  const membership::fleet_view& latest_view() const {
    return **std::find_if(log.rbegin(), log.rend(), [](const auto& v) { return v.has_value(); });
  }

  void step(duration length = milliseconds(50)) {
    net.run_until(net.now + length, [this](auto from, auto to, auto kind, const auto& body) {
      if (instances[to].is_up) {
        instances[to].core->receive(id_of(from), kind, body, local(to));
      }
    });
    for (std::size_t i = 0; i < instances.size(); ++i) {
      auto& self = instances[i];
      if (!self.is_up) {
        continue;
      }
      if (self.applied == 0) {
        const auto from = net.random.below(instances.size());
        if (from != i) {
          pull(i, from);
        }
      }
      self.core->tick(local(i));
    }
    update_held();
  }

  void run(duration length) {
    for (const auto end = net.now + length; net.now < end;) {
      step();
    }
  }

  /// Whether a majority of synced members of `view` holds `revision` now.
  bool has_majority(const membership::fleet_view& view, std::uint64_t revision) const {
    std::size_t n = 0;
    for (const auto& member : view.members) {
      const auto& i = instances[number_of(member.id)];
      n += i.is_up && i.core && i.core->is_synced() && i.applied >= revision ? 1U : 0U;
    }
    return n >= view.majority();
  }

  /// Finds with full knowledge what is held by a majority now, of the old and the new view while
  /// the change of the view is not held itself.
  void update_held() {
    const auto known = held.empty() ? 0 : held.rbegin()->first;
    for (auto revision = head(); revision > known; --revision) {
      auto view_at = revision;
      while (!log[view_at]) {
        --view_at;
      }
      bool is_held = has_majority(*log[view_at], revision);
      if (is_held && view_at > 1 && known < view_at) {
        auto former = view_at - 1;
        while (!log[former]) {
          --former;
        }
        is_held = has_majority(*log[former], revision);
      }
      if (is_held) {
        held.emplace(revision, net.now);
        return;
      }
    }
  }

  /// The instance that is fresh although it lacks a revision held by a majority over 2 s ago.
  std::optional<std::size_t> find_violation() const {
    for (auto it = held.rbegin(); it != held.rend(); ++it) {
      if (net.now - it->second <= milliseconds(2000)) {
        continue;
      }
      for (std::size_t i = 0; i < instances.size(); ++i) {
        if (is_fresh(i) && instances[i].applied < it->first) {
          return i;
        }
      }
      return std::nullopt; // older revisions are implied
    }
    return std::nullopt;
  }

private:
  std::size_t flat_limit_;
};

} // namespace simulation
