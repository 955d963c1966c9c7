#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kingcupshunt/consensus/replica.h"

namespace test {

using namespace kingcupshunt;
using base::milliseconds;

/// Data folder that loses unsynced writes in a crash.
struct model_disk {
  consensus::recovered_state durable;
  std::string store;
  milliseconds delay{1};
  bool is_failing = false;

  void write(const consensus::write_batch& b) {
    auto& entries = durable.entries;
    if (b.reset) {
      entries.clear();
    }
    if (b.truncate_from) {
      std::erase_if(entries, [&](auto& e) { return e.index >= *b.truncate_from; });
    }
    entries.insert(entries.end(), b.entries.begin(), b.entries.end());
    if (b.state) {
      durable.state = *b.state;
    }
  }
};

/// Replicas in simulated time over a network that loses, delays, doubles and reorders messages.
/// The state machine of each is the list of applied payloads.
class cluster {
public:
  struct node {
    model_disk disk;
    std::unique_ptr<consensus::replica> replica;
    std::vector<std::string> applied;
    std::uint64_t incarnation = 0;
  };

  explicit cluster(std::size_t n, std::uint64_t seed) : rng_(seed) {
    for (std::size_t i = 0; i < n; ++i) {
      ids_.push_back(std::string(1, static_cast<char>('a' + i)));
    }
    for (const auto& id : ids_) {
      nodes_[id].disk.store = id + "-1";
      start(id);
    }
  }

  /// Starts a replica from what its disk holds.
  void start(const std::string& id) {
    auto& n = nodes_[id];
    const auto incarnation = ++n.incarnation;
    n.applied.clear();
    consensus::replica_settings s;
    s.self = {id, n.disk.store};
    s.initial_voters = ids_;
    s.seed = rng_.below(1U << 30U);
    s.compaction_entries = compaction_entries;
    s.kept_entries = 4;
    s.snapshot_chunk_bytes = 64;
    consensus::replica_hooks h;
    h.send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
      post(id, std::string(to), kind, std::move(body));
    };
    h.persist = [this, id, incarnation](consensus::write_batch b) {
      schedule(nodes_[id].disk.delay, [this, id, incarnation, b = std::move(b)] {
        auto& owner = nodes_[id];
        if (owner.incarnation == incarnation && owner.replica) {
          if (!owner.disk.is_failing) {
            owner.disk.write(b);
          }
          owner.replica->on_persisted(b.sequence, !owner.disk.is_failing, now_);
        }
      });
    };
    h.save_snapshot = [this, id, incarnation](const consensus::snapshot& saved) {
      schedule(nodes_[id].disk.delay, [this, id, incarnation, saved] {
        auto& owner = nodes_[id];
        if (owner.incarnation == incarnation && owner.replica) {
          owner.disk.durable.base = saved;
          owner.replica->on_snapshot_saved(saved.index, true, now_);
        }
      });
    };
    h.apply = [this, id](const consensus::entry& e) {
      auto& owner = nodes_[id];
      owner.applied.push_back(e.payload);
      if (owner.replica && owner.replica->is_leader() && owner.replica->term() == e.term) {
        acknowledged.insert(e.payload);
      }
      check_applied(id);
    };
    h.take_snapshot = [this, id] { return peer_pack(nodes_[id].applied); };
    h.restore = [this, id](std::uint64_t, std::string_view data) {
      nodes_[id].applied = peer_unpack(data);
      check_applied(id);
    };
    n.replica.reset();
    auto disk = n.disk.durable;
    std::erase_if(disk.entries, [&](auto& e) { return e.index <= disk.base.index; });
    if (!disk.entries.empty() && disk.entries.front().index != disk.base.index + 1) {
      disk.entries.clear();
    }
    n.replica = std::make_unique<consensus::replica>(s, h, disk, now_);
  }

  /// Stops a replica. Writes that are not synced are lost.
  void crash(const std::string& id) {
    ++nodes_[id].incarnation;
    nodes_[id].replica.reset();
  }

  /// Puts an empty data folder in the place of the former one.
  void replace_disk(const std::string& id) {
    crash(id);
    nodes_[id].disk.durable = {};
    nodes_[id].disk.store = id + "-" + std::to_string(nodes_[id].incarnation);
    nodes_[id].disk.is_failing = false;
  }

  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal() { cuts_.clear(); }

  void run(milliseconds time) {
    const auto end = now_ + time;
    while (true) {
      const bool is_tick = events_.empty() || events_.begin()->first > next_tick_;
      const auto next = is_tick ? next_tick_ : events_.begin()->first;
      if (next > end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, next);
      if (is_tick) {
        next_tick_ += milliseconds(50);
        tick();
      } else {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
      }
    }
  }

  /// Leader with the greatest term, or null.
  consensus::replica* leader() {
    consensus::replica* out = nullptr;
    for (auto& [id, n] : nodes_) {
      if (n.replica && n.replica->is_leader() &&
          (out == nullptr || n.replica->term() > out->term())) {
        out = n.replica.get();
      }
    }
    return out;
  }

  bool run_until(const std::function<bool()>& is_done, milliseconds limit) {
    for (const auto end = now_ + limit; now_ < end && !is_done();) {
      run(milliseconds(10));
    }
    return is_done();
  }

  node& operator[](const std::string& id) { return nodes_[id]; }
  const std::vector<std::string>& ids() const { return ids_; }
  base::time_point now() const { return now_; }
  base::rng& rng() { return rng_; }
  /// Longest sequence of commands that any replica has applied.
  const std::vector<std::string>& history() const { return history_; }

  /// Commands that a leader applied in the term in which it took them.
  std::set<std::string> acknowledged;
  /// What a check found wrong; empty when nothing.
  std::string violation;
  double loss = 0;
  double duplication = 0;
  milliseconds max_delay{5};
  std::size_t compaction_entries = 20;

private:
  static std::string peer_pack(const std::vector<std::string>& all) {
    msgpack::sbuffer buf;
    msgpack::pack(buf, all);
    return {buf.data(), buf.size()};
  }
  static std::vector<std::string> peer_unpack(std::string_view data) {
    return msgpack::unpack(data.data(), data.size()).get().as<std::vector<std::string>>();
  }

  void schedule(base::duration delay, std::function<void()> f) {
    events_.emplace(now_ + delay, std::move(f));
  }

  void post(const std::string& from, const std::string& to, peer::message_kind kind,
            std::string body) {
    const int copies = rng_.unit() < loss ? 0 : rng_.unit() < duplication ? 2 : 1;
    for (int i = 0; i < copies && !cuts_.contains({from, to}); ++i) {
      const auto delay =
          milliseconds(1 + rng_.below(static_cast<std::uint64_t>(max_delay.count())));
      schedule(delay, [this, from, to, kind, body] {
        if (auto& n = nodes_[to]; n.replica && !cuts_.contains({from, to})) {
          n.replica->receive(from, kind, body, now_);
        }
      });
    }
  }

  void tick() {
    for (auto& [id, n] : nodes_) {
      if (!n.replica) {
        continue;
      }
      n.replica->tick(now_);
      if (n.replica->is_leader()) {
        const auto [it, is_new] = leaders_.emplace(n.replica->term(), id);
        if (!is_new && it->second != id) {
          violation = "two leaders in term " + std::to_string(n.replica->term());
        }
      }
    }
  }

  /// Every replica applies a prefix of the one history.
  void check_applied(const std::string& id) {
    const auto& mine = nodes_[id].applied;
    const auto common = std::min(mine.size(), history_.size());
    const auto from = common > 0 && mine.size() <= history_.size() ? common - 1 : 0;
    if (!std::equal(mine.begin() + static_cast<std::ptrdiff_t>(from),
                    mine.begin() + static_cast<std::ptrdiff_t>(common),
                    history_.begin() + static_cast<std::ptrdiff_t>(from))) {
      violation = "replica " + id + " applied another history";
    }
    if (mine.size() > history_.size()) {
      history_ = mine;
    }
  }

  base::rng rng_;
  std::vector<std::string> ids_;
  std::map<std::string, node> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::multimap<base::time_point, std::function<void()>> events_;
  base::time_point now_{milliseconds(1000000)};
  base::time_point next_tick_{milliseconds(1000000)};
  std::map<std::uint64_t, std::string> leaders_;
  std::vector<std::string> history_;
};

} // namespace test
