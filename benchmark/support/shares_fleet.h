#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/rates/client.h"
#include "kingcupshunt/rates/local_share.h"
#include "kingcupshunt/rates/owner.h"

/// Simulated entries and owners of rates in simulated time, with owners that are killed, frozen or
/// cut off. Used by tests and by shares_table.
namespace kingcupshunt::support {

using base::duration;
using base::time_point;

struct shares_options {
  std::size_t entries = 17;
  std::uint64_t seed = 1;
  rates::limit limit{20, 20};
  bool has_former_shares = false; ///< equal shares of at least three requests, as before attachment
};

/// The shares before `attachment`: a baseline.
class former_share {
public:
  bool take(const rates::limit& l, double instances, time_point now) {
    refill(l, instances, now);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  void note_granted(const rates::limit& l, double instances, time_point now) {
    refill(l, instances, now);
    tokens_ = std::max(tokens_ - 1, -5 * l.rate / instances);
  }

private:
  void refill(const rates::limit& l, double instances, time_point now) {
    const double burst = std::max(l.burst / instances, 3.0);
    tokens_ = at_ == time_point{}
                  ? burst
                  : std::min(burst, tokens_ + l.rate / instances * base::to_seconds(now - at_));
    at_ = now;
  }

  double tokens_ = 0;
  time_point at_{};
};

/// One workspace "w", five control instances, any number of entries.
class shares_fleet {
public:
  static constexpr std::size_t controls = 5;
  static constexpr base::milliseconds step{5};
  static constexpr base::milliseconds contact_interval{500};
  static constexpr base::milliseconds tick_interval{25};

  struct control {
    std::string id;
    std::unique_ptr<rates::owner> owner;
    bool is_alive = true;
    bool is_frozen = false;
    std::uint64_t incarnation = 1;
    time_point contact_at{}; ///< with the majority
  };
  struct entry {
    std::string id;
    std::unique_ptr<rates::client> client;
    std::unique_ptr<rates::local_share> share;
    former_share former;
    std::vector<time_point> granting_at = std::vector<time_point>(controls);
  };

  explicit shares_fleet(shares_options options) : options_(options), rng_(options.seed) {
    view_.version = 1;
    for (std::size_t i = 0; i < controls; ++i) {
      controls_.push_back({"c" + std::to_string(i), nullptr});
      view_.members.push_back({controls_.back().id, "", "", "", true});
    }
    for (std::size_t i = 0; i < controls; ++i) {
      start(i);
    }
    for (std::size_t i = 0; i < options_.entries; ++i) {
      make_entry(i);
    }
    run(base::seconds(30)); // owners have waited, the bucket is full
  }

  /// Cuts messages between an entry and a control instance, both ways.
  std::function<bool(std::size_t entry, std::size_t control)> is_cut;
  std::vector<double> admitted; ///< times in seconds
  std::uint64_t refused = 0;

  time_point now() const { return now_; }
  double seconds() const { return base::to_seconds(now_.time_since_epoch()); }
  base::rng& rng() { return rng_; }

  /// Control instance that owns the rate.
  std::size_t owner() const {
    const auto id = entries_.front().client->owner_of("w");
    const auto it = std::ranges::find(controls_, id, &control::id);
    return static_cast<std::size_t>(it - controls_.begin());
  }
  void kill(std::size_t i) { controls_[i].is_alive = false; }
  void restart(std::size_t i) {
    controls_[i].is_alive = true;
    ++controls_[i].incarnation;
    start(i);
  }
  void freeze(std::size_t i, bool is_frozen) { controls_[i].is_frozen = is_frozen; }

  void request(std::size_t i) {
    auto& e = entries_[i];
    e.client->acquire("w", now_, now_ + base::seconds(2),
                      [this, i](const rates::acquired& result) { decide(i, result); });
  }

  void run(duration time) {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += step;
      ++steps_;
      deliver();
      contact();
      if (steps_ % (tick_interval / step) == 0) {
        tick();
      }
    }
  }

private:
  struct message {
    time_point due;
    std::size_t entry = 0;
    std::size_t control = 0;
    bool is_to_control = true;
    bool is_contact = false;
    time_point sent;
    std::uint64_t incarnation = 0; ///< of the control instance, when sent to it
    std::string body;
  };

  void start(std::size_t i) {
    auto& c = controls_[i];
    rates::owner_settings settings;
    settings.self = c.id;
    settings.incarnation = c.incarnation;
    if (c.incarnation > 1 && !options_.has_former_shares) {
      settings.first_wait = base::milliseconds(300);
    }
    rates::owner_hooks hooks;
    hooks.send = [this, i](std::string_view to, peer::message_kind, std::string body) {
      const auto it = std::ranges::find(entries_, to, &entry::id);
      if (it != entries_.end()) {
        send({now_ + step, static_cast<std::size_t>(it - entries_.begin()), i, false, false, now_,
              0, std::move(body)});
      }
    };
    hooks.limit_of = [this](std::string_view) { return options_.limit; };
    hooks.is_fresh = [this, i] {
      return now_ - controls_[i].contact_at < base::milliseconds(2500);
    };
    c.owner = std::make_unique<rates::owner>(std::move(settings), std::move(hooks));
    c.owner->set_view(view_, now_);
    c.contact_at = now_;
  }

  void make_entry(std::size_t i) {
    entry e;
    e.id = "e" + std::to_string(1000 + i);
    rates::client_settings settings;
    settings.max_wait = base::milliseconds(60);
    rates::client_hooks hooks;
    hooks.send = [this, i](std::string_view to, peer::message_kind, std::string body) {
      const auto it = std::ranges::find(controls_, to, &control::id);
      const auto at = static_cast<std::size_t>(it - controls_.begin());
      send({now_ + step, i, at, true, false, now_, 0, std::move(body)});
    };
    hooks.on_answer = [this, i](std::string_view workspace, std::uint32_t free, time_point sent) {
      entries_[i].share->note_answer(workspace, free, sent);
    };
    e.client = std::make_unique<rates::client>(settings, std::move(hooks));
    e.share = std::make_unique<rates::local_share>(
        rates::local_share_settings{.seed = options_.seed * 1000 + i});
    entries_.push_back(std::move(e));
    entries_.back().client->set_view(view_, now_);
  }

  void decide(std::size_t i, const rates::acquired& result) {
    auto& e = entries_[i];
    const auto n = static_cast<double>(options_.entries);
    const rates::share_basis basis{n, e.granting_at[owner()]};
    bool is_admitted = static_cast<bool>(result);
    if (is_admitted) {
      e.share->note_granted("w", options_.limit, n, now_);
      e.former.note_granted(options_.limit, n, now_);
    } else if (result.error().reason != rates::refusal_reason::over_rate) {
      is_admitted = options_.has_former_shares ? e.former.take(options_.limit, n, now_)
                                               : e.share->take("w", options_.limit, basis, now_);
    }
    if (is_admitted) {
      admitted.push_back(seconds());
    } else {
      ++refused;
    }
  }

  void send(message m) {
    if (!is_cut || !is_cut(m.entry, m.control)) {
      m.incarnation = controls_[m.control].incarnation;
      net_.push_back(std::move(m));
    }
  }

  void deliver() {
    std::deque<message> kept;
    while (!net_.empty()) {
      auto m = std::move(net_.front());
      net_.pop_front();
      if (m.due > now_ || (m.is_to_control && controls_[m.control].is_frozen)) {
        kept.push_back(std::move(m));
        continue;
      }
      const auto& c = controls_[m.control];
      const bool is_lost = m.is_to_control && (!c.is_alive || c.incarnation != m.incarnation);
      if (!is_lost && (!is_cut || !is_cut(m.entry, m.control))) {
        receive(m);
      }
    }
    for (auto& m : kept) {
      net_.push_back(std::move(m));
    }
  }

  void receive(message& m) {
    auto& c = controls_[m.control];
    auto& e = entries_[m.entry];
    if (!m.is_to_control) {
      if (m.is_contact) {
        e.granting_at[m.control] = std::max(e.granting_at[m.control], m.sent);
      } else {
        e.client->receive(c.id, peer::message_kind::rate_grant, m.body, now_);
      }
      return;
    }
    if (!options_.has_former_shares) {
      c.owner->note_heard(e.id, false, now_);
    }
    if (!m.is_contact) {
      c.owner->receive(e.id, peer::message_kind::rate_ask, m.body, now_);
    } else if (c.owner->is_granting(now_)) {
      send({now_ + step, m.entry, m.control, false, true, m.sent, 0, {}});
    }
  }

  void contact() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if ((steps_ + static_cast<std::int64_t>(i)) % (contact_interval / step) != 0) {
        continue;
      }
      for (std::size_t k = 0; k < controls; ++k) {
        send({now_ + step, i, k, true, true, now_, 0, {}});
      }
    }
  }

  void tick() {
    for (auto& c : controls_) {
      if (c.is_alive && !c.is_frozen) {
        c.contact_at = now_;
        c.owner->tick(now_);
      }
    }
    for (auto& e : entries_) {
      e.client->tick(now_);
    }
  }

  shares_options options_;
  base::rng rng_;
  membership::fleet_view view_;
  std::vector<control> controls_;
  std::vector<entry> entries_;
  std::deque<message> net_;
  std::int64_t steps_ = 0;
  time_point now_{base::seconds(1000)};
};

/// Most of `times` (seconds, in order) within any `window` seconds.
inline std::size_t most_within(const std::vector<double>& times, double window) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] > window) {
      ++first;
    }
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// What happens to the owner of the rate in `disturb`.
enum class owner_trouble { none, killed, killed_long, killed_twice, frozen, cut, cut_from_half };

inline const char* to_string(owner_trouble t) {
  switch (t) {
  case owner_trouble::none:
    return "none";
  case owner_trouble::killed:
    return "killed, back after 0.8 s";
  case owner_trouble::killed_long:
    return "killed, back after 5 s";
  case owner_trouble::killed_twice:
    return "killed twice";
  case owner_trouble::frozen:
    return "frozen";
  case owner_trouble::cut:
    return "cut off";
  case owner_trouble::cut_from_half:
    return "cut off from half";
  }
  return "";
}

/// Sends `per_second` requests at random entries for 20 s, with the trouble of the owner after 5 s
/// for `time`. All control instances share it when they are killed.
inline void disturb(shares_fleet& f, std::size_t entries, double per_second, owner_trouble t,
                    duration time) {
  const auto begin = f.now();
  const auto at = [&](double s) { return begin + base::from_seconds(s); };
  const auto owner = f.owner();
  const auto kill_all = [&] {
    for (std::size_t i = 0; i < shares_fleet::controls; ++i) {
      f.kill(i);
    }
  };
  const auto restart_all = [&] {
    for (std::size_t i = 0; i < shares_fleet::controls; ++i) {
      f.restart(i);
    }
  };
  std::deque<std::pair<time_point, std::function<void()>>> events;
  const auto end = at(5) + time;
  switch (t) {
  case owner_trouble::none:
    break;
  case owner_trouble::killed:
  case owner_trouble::killed_long:
    events = {{at(5), kill_all}, {end, restart_all}};
    break;
  case owner_trouble::killed_twice:
    events = {{at(5), kill_all},
              {end, restart_all},
              {end + base::milliseconds(2500), kill_all},
              {end + base::milliseconds(3300), restart_all}};
    break;
  case owner_trouble::frozen:
    events = {{at(5), [&f, owner] { f.freeze(owner, true); }},
              {end, [&f, owner] { f.freeze(owner, false); }}};
    break;
  case owner_trouble::cut:
  case owner_trouble::cut_from_half:
    events = {{at(5),
               [&f, owner, t] {
                 f.is_cut = [owner, t](std::size_t e, std::size_t c) {
                   return c == owner && (t == owner_trouble::cut || e % 2 == 0);
                 };
               }},
              {end, [&f] { f.is_cut = {}; }}};
    break;
  }
  double due = 0;
  while (f.now() < at(20)) {
    while (!events.empty() && f.now() >= events.front().first) {
      events.front().second();
      events.pop_front();
    }
    due += per_second * base::to_seconds(shares_fleet::step);
    for (; due >= 1; due -= 1) {
      f.request(f.rng().below(entries));
    }
    f.run(shares_fleet::step);
  }
  f.run(base::seconds(1));
}

} // namespace kingcupshunt::support
