#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/rates/client.h"
#include "kingcupshunt/rates/owner.h"

/// Simulated fleet of rate owners and clients in simulated time, with faults of network, clocks,
/// processes and views. Used by the property tests and by rates_table.
namespace kingcupshunt::support {

using base::duration;
using base::time_point;

inline time_point at_seconds(double s) {
  return time_point{} + base::from_seconds(s);
}

struct fleet_options {
  std::size_t instances = 15;
  std::uint64_t seed = 1;
  duration delay = base::microseconds(1500); ///< one way
  duration jitter{};                         ///< greatest additional delay; reorders
  double loss = 0;
  double duplication = 0;
  double drift = 0;          ///< clocks run between 1 - drift/2 and 1 + drift/2
  bool is_timer_fine = true; ///< timers at next_due beside the ticks of 50 ms
  std::size_t view_history = 8;
};

struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

class rates_fleet {
public:
  struct instance {
    std::string id;
    std::unique_ptr<rates::owner> owner;
    std::unique_ptr<rates::client> client;
    double clock_rate = 1;
    duration clock_offset{};
    std::uint64_t incarnation = 1;
    bool is_alive = true;
    std::uint64_t view_version = 0;
    time_point partitioned_since = time_point::max();
    traffic sent;
  };

  explicit rates_fleet(fleet_options options) : options_(options), rng_(options.seed) {
    for (std::size_t i = 0; i < options_.instances; ++i) {
      instance n;
      n.id = "i" + std::to_string(100 + i);
      n.clock_rate = 1 + options_.drift * (rng_.unit() - 0.5);
      n.clock_offset = base::from_seconds(1000 * rng_.unit());
      instances_.push_back(std::move(n));
    }
    membership::fleet_view v;
    v.version = 1;
    for (const auto& n : instances_) {
      v.members.push_back({n.id, "dc", "", "", true});
    }
    views_.push_back(v);
    held_at_.push_back(time_point{});
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      start(i);
      schedule_tick(i);
    }
  }

  std::map<std::string, rates::limit, std::less<>> limits;
  /// Cuts messages between two instances when it returns true.
  std::function<bool(std::size_t from, std::size_t to)> is_cut;

  std::vector<instance>& instances() { return instances_; }
  time_point now() const { return now_; }
  base::rng& rng() { return rng_; }
  const membership::fleet_view& view() const { return views_.back(); }

  time_point local(std::size_t i) const {
    const auto& n = instances_[i];
    return time_point{} + n.clock_offset +
           base::from_seconds(base::to_seconds(now_.time_since_epoch()) * n.clock_rate);
  }

  void at(time_point when, std::function<void()> what) {
    events_.push({std::max(when, now_), next_event_++, std::move(what)});
  }

  void run_until(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      auto e = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = std::max(now_, e.when);
      e.what();
    }
    now_ = std::max(now_, end);
  }

  /// One request; `done` gets the outcome and the simulated wait.
  void request(std::size_t i, const std::string& workspace,
               std::function<void(const rates::acquired&, duration)> done) {
    if (!instances_[i].is_alive) {
      return;
    }
    const auto start = now_;
    instances_[i].client->acquire(
        workspace, local(i), local(i) + base::seconds(2),
        [this, start, done](const rates::acquired& outcome) { done(outcome, now_ - start); });
    schedule_due(i);
  }

  void kill(std::size_t i) { instances_[i].is_alive = false; }

  void restart(std::size_t i) {
    ++instances_[i].incarnation;
    instances_[i].is_alive = true;
    start(i);
  }

  /// Proposes a view in which `i` is active or not. Each instance applies it at the time that
  /// `apply_delay` gives; a majority holds it when more than half have applied it.
  void change_view(std::size_t i, bool is_active, const std::function<duration()>& apply_delay,
                   std::uint64_t version_step = 1) {
    auto v = views_.back();
    v.version += version_step;
    v.members[i].is_active = is_active;
    views_.push_back(v);
    held_at_.push_back(time_point::max());
    const auto index = views_.size() - 1;
    for (std::size_t k = 0; k < instances_.size(); ++k) {
      at(now_ + apply_delay(), [this, k, index] { apply(k, index); });
    }
  }

  bool is_settled() const { return held_at_.back() != time_point::max(); }

private:
  struct event {
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const event& o) const {
      return when != o.when ? when > o.when : order > o.order;
    }
  };

  void start(std::size_t i) {
    auto& n = instances_[i];
    rates::owner_hooks oh;
    oh.send = [this, i](std::string_view to, peer::message_kind kind, std::string body) {
      send(i, to, kind, std::move(body));
    };
    oh.limit_of = [this](std::string_view w) -> std::optional<rates::limit> {
      const auto it = limits.find(w);
      return it == limits.end() ? std::nullopt : std::optional(it->second);
    };
    oh.is_fresh = [this, i] { return is_fresh(i); };
    oh.is_view_held = [this](std::uint64_t version) { return is_held(version); };
    n.owner = std::make_unique<rates::owner>(
        rates::owner_settings{n.id, n.incarnation, options_.view_history}, std::move(oh));
    rates::client_hooks ch;
    ch.send = [this, i](std::string_view to, peer::message_kind kind, std::string body) {
      send(i, to, kind, std::move(body));
    };
    rates::client_settings cs;
    cs.incarnation = n.incarnation;
    n.client = std::make_unique<rates::client>(cs, std::move(ch));
    // A process that starts takes the newest held view, so it was synced before.
    std::size_t newest = 0;
    for (std::size_t k = 0; k < views_.size(); ++k) {
      newest = held_at_[k] <= now_ ? k : newest;
    }
    n.view_version = 0;
    apply(i, newest);
  }

  void apply(std::size_t i, std::size_t index) {
    auto& n = instances_[i];
    const auto& v = views_[index];
    if (!n.is_alive || v.version <= n.view_version) {
      return;
    }
    n.view_version = v.version;
    std::size_t holders = 0;
    for (const auto& other : instances_) {
      holders += other.view_version >= v.version ? 1 : 0;
    }
    if (holders >= v.majority() && held_at_[index] == time_point::max()) {
      held_at_[index] = now_;
    }
    n.owner->set_view(v, local(i));
    n.client->set_view(v, local(i));
  }

  bool is_held(std::uint64_t version) const {
    for (std::size_t k = 0; k < views_.size(); ++k) {
      if (views_[k].version >= version && held_at_[k] <= now_) {
        return true;
      }
    }
    return false;
  }

  // The weakest freshness that the design allows: an instance that missed a held view stays fresh
  // for the whole bound after it.
  bool is_fresh(std::size_t i) const {
    const auto& n = instances_[i];
    if (n.partitioned_since != time_point::max() &&
        now_ - n.partitioned_since >= rates::freshness_bound) {
      return false;
    }
    for (std::size_t k = 0; k < views_.size(); ++k) {
      if (views_[k].version > n.view_version && held_at_[k] != time_point::max() &&
          now_ - held_at_[k] >= rates::freshness_bound) {
        return false;
      }
    }
    return true;
  }

  void send(std::size_t from, std::string_view to, peer::message_kind kind, std::string body) {
    const auto it = std::ranges::find(instances_, to, &instance::id);
    if (it == instances_.end()) {
      return;
    }
    const auto target = static_cast<std::size_t>(it - instances_.begin());
    if (target == from) {
      at(now_, [=, this, b = std::move(body)] { deliver(from, target, kind, b); });
      return;
    }
    instances_[from].sent.messages += 1;
    instances_[from].sent.bytes += body.size() + 32; // frame length, version, kind and HMAC
    const int copies = options_.duplication > 0 && rng_.unit() < options_.duplication ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      if (options_.loss > 0 && rng_.unit() < options_.loss) {
        continue;
      }
      if (is_cut && is_cut(from, target)) {
        continue;
      }
      auto d = options_.delay;
      if (options_.jitter > duration{}) {
        d += base::from_seconds(base::to_seconds(options_.jitter) * rng_.unit());
      }
      at(now_ + d, [=, this, b = body] { deliver(from, target, kind, b); });
    }
  }

  void deliver(std::size_t from, std::size_t to, peer::message_kind kind, const std::string& body) {
    auto& n = instances_[to];
    if (!n.is_alive) {
      return;
    }
    n.owner->receive(instances_[from].id, kind, body, local(to));
    n.client->receive(instances_[from].id, kind, body, local(to));
    schedule_due(to);
  }

  void tick(std::size_t i) {
    auto& n = instances_[i];
    if (n.is_alive) {
      n.owner->tick(local(i));
      n.client->tick(local(i));
    }
  }

  void schedule_tick(std::size_t i) {
    at(now_ + base::from_seconds(0.05 / instances_[i].clock_rate), [this, i] {
      tick(i);
      schedule_tick(i);
    });
  }

  void schedule_due(std::size_t i) {
    if (!options_.is_timer_fine) {
      return;
    }
    const auto& n = instances_[i];
    auto due = n.owner->next_due();
    if (const auto other = n.client->next_due(); other && (!due || *other < *due)) {
      due = other;
    }
    if (!due || (due_.contains(i) && due_[i] > now_ && due_[i] <= now_ + (*due - local(i)))) {
      return;
    }
    const auto when = now_ + std::max<duration>(*due - local(i), base::microseconds(100));
    due_[i] = when;
    at(when, [this, i, when] {
      if (due_[i] == when) {
        tick(i);
        schedule_due(i);
      }
    });
  }

  fleet_options options_;
  base::rng rng_;
  std::vector<instance> instances_;
  std::vector<membership::fleet_view> views_;
  std::vector<time_point> held_at_;
  std::priority_queue<event> events_;
  std::map<std::size_t, time_point> due_;
  std::uint64_t next_event_ = 0;
  time_point now_{};
};

/// Greatest excess of admissions over rate x window + burst in any window; at most 0 when the
/// invariant holds. `times` are in seconds and in order.
inline double worst_excess(const std::vector<double>& times, double rate, double burst) {
  double least = 1e300;
  double worst = -burst;
  for (std::size_t i = 0; i < times.size(); ++i) {
    least = std::min(least, static_cast<double>(i) - rate * times[i]);
    worst = std::max(worst, static_cast<double>(i + 1) - rate * times[i] - least - burst);
  }
  return worst;
}

} // namespace kingcupshunt::support
