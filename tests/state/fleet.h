#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/state/client.h"
#include "kingcupshunt/state/distribution.h"
#include "kingcupshunt/state/follower.h"
#include "kingcupshunt/state/server.h"

namespace test {

using namespace kingcupshunt;
using base::milliseconds;

/// Voters, and instances with a client and a follower, in simulated time over a faulty network.
class fleet {
public:
  struct instance {
    // Of a voter.
    consensus::recovered_state durable;
    std::unique_ptr<state::server> server;
    std::uint64_t incarnation = 0;
    // Of every instance.
    std::unique_ptr<state::client> client;
    std::unique_ptr<state::follower> follower;
    std::unique_ptr<state::distribution> tree;
    config::snapshot config;
    nlohmann::json document = nlohmann::json::object();
    std::uint64_t greatest = 0;
  };

  fleet(std::size_t voters, std::size_t others, std::uint64_t seed) : rng_(seed) {
    for (std::size_t i = 0; i < voters + others; ++i) {
      const auto id = (i < voters ? "v" : "e") + std::to_string(i);
      (i < voters ? voters_ : others_).push_back(id);
    }
    for (const auto& id : voters_) {
      start(id);
    }
    for (const auto& id : others_) {
      start(id);
    }
  }

  void start(const std::string& id) {
    auto& n = all_[id];
    const auto incarnation = ++n.incarnation;
    const auto send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
      post(id, std::string(to), kind, std::move(body));
    };
    n.greatest = 0;
    n.client =
        std::make_unique<state::client>(state::client_settings{voters_, rng_.below(~0ULL)}, send);
    n.tree = std::make_unique<state::distribution>(state::distribution_settings{id}, send);
    state::follower_hooks f;
    f.send = send;
    f.on_delta = [this, id](const state::delta& d) { return put(id, d); };
    f.on_image = [this, id](const state::image& i) {
      auto& owner = all_[id];
      owner.document = nlohmann::json::parse(i.config);
      owner.config = {};
      note_revision(id, i.revision);
      return bool(owner.config.apply(owner.document));
    };
    f.make_config = [this, id] { return all_[id].document.dump(); };
    f.on_pushed = [this, id](const std::string& root, const state::delta& d) {
      all_[id].tree->relay(root, d);
    };
    state::follower_settings fs;
    fs.max_deltas = 20;
    fs.answer_bytes = 600;
    n.follower = std::make_unique<state::follower>(fs, f);
    if (id[0] == 'v') {
      start_server(id, incarnation, send);
    }
  }

  void crash(const std::string& id) {
    auto& n = all_[id];
    ++n.incarnation;
    n.server.reset();
    n.client.reset();
    n.follower.reset();
  }

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

  bool run_until(const std::function<bool()>& is_done, milliseconds limit) {
    for (const auto end = now_ + limit; now_ < end && !is_done();) {
      run(milliseconds(10));
    }
    return is_done();
  }

  state::server* leader() {
    for (const auto& id : voters_) {
      if (auto& s = all_[id].server; s && s->log().is_ready()) {
        return s.get();
      }
    }
    return nullptr;
  }

  /// Reports the greatest revision of each instance to all others, as freshness messages do.
  void gossip() {
    for (auto& [id, n] : all_) {
      for (auto& [other, m] : all_) {
        if (n.follower && m.follower && id != other) {
          n.follower->on_behind(other, m.follower->revision(), now_);
        }
      }
    }
  }

  instance& operator[](const std::string& id) { return all_[id]; }
  const std::vector<std::string>& voters() const { return voters_; }
  const std::vector<std::string>& others() const { return others_; }
  base::time_point now() const { return now_; }
  base::rng& rng() { return rng_; }

  std::string violation;
  double loss = 0;
  double duplication = 0;
  milliseconds max_delay{5};
  std::uint64_t messages = 0;

private:
  void start_server(const std::string& id, std::uint64_t incarnation,
                    const peer::send_function& send) {
    auto& n = all_[id];
    state::server_settings s;
    s.replica.self = {id, id + "-store"};
    s.replica.initial_voters = voters_;
    s.replica.seed = rng_.below(~0ULL);
    s.replica.compaction_entries = 30;
    s.replica.kept_entries = 5;
    state::server_hooks h;
    h.send = send;
    h.persist = [this, id, incarnation](const consensus::write_batch& b) {
      later(id, incarnation, [this, id, b] {
        auto& d = all_[id].durable;
        if (b.reset) {
          d.entries.clear();
        }
        std::erase_if(d.entries,
                      [&](auto& e) { return e.index >= b.truncate_from.value_or(~0ULL); });
        d.entries.insert(d.entries.end(), b.entries.begin(), b.entries.end());
        d.state = b.state.value_or(d.state);
        all_[id].server->log().on_persisted(b.sequence, true, now_);
      });
    };
    h.save_snapshot = [this, id, incarnation](const consensus::snapshot& saved) {
      later(id, incarnation, [this, id, saved] {
        all_[id].durable.base = saved;
        all_[id].server->log().on_snapshot_saved(saved.index, true, now_);
      });
    };
    h.on_delta = [this, id](const state::delta& d) {
      auto& owner = all_[id];
      if (owner.follower) {
        owner.follower->apply_local(d, now_);
      }
      if (owner.server && owner.server->log().is_leader()) {
        owner.tree->push(d);
      }
    };
    h.on_restored = [this, id] {
      if (auto& owner = all_[id]; owner.server) {
        owner.follower->replace_local(owner.server->current().make_image(), now_);
      }
    };
    auto found = n.durable;
    if (!found.entries.empty() && found.entries.back().index < found.base.index) {
      found.entries.clear();
    }
    n.server = std::make_unique<state::server>(s, h, found, now_);
    n.follower->replace_local(n.server->current().make_image(), now_);
  }

  void later(const std::string& id, std::uint64_t incarnation, std::function<void()> f) {
    events_.emplace(now_ + milliseconds(2), [this, id, incarnation, f = std::move(f)] {
      if (all_[id].incarnation == incarnation) {
        f();
      }
    });
  }

  bool put(const std::string& id, const state::delta& d) {
    auto& n = all_[id];
    note_revision(id, d.revision);
    if (d.config.empty()) {
      return true;
    }
    const auto delta = nlohmann::json::parse(d.config);
    n.document.merge_patch(delta);
    return bool(n.config.apply(delta));
  }

  void note_revision(const std::string& id, std::uint64_t revision) {
    auto& n = all_[id];
    if (revision < n.greatest) {
      violation = "the revision of " + id + " went back";
    }
    n.greatest = revision;
  }

  void post(const std::string& from, const std::string& to, peer::message_kind kind,
            std::string body) {
    ++messages;
    const bool is_local = from == to;
    const int copies = !is_local && rng_.unit() < loss ? 0 : rng_.unit() < duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay =
          milliseconds(1 + rng_.below(static_cast<std::uint64_t>(max_delay.count())));
      events_.emplace(now_ + delay,
                      [this, from, to, kind, body] { deliver(from, to, kind, body); });
    }
  }

  void deliver(const std::string& from, const std::string& to, peer::message_kind kind,
               const std::string& body) {
    auto& n = all_[to];
    if (!n.client) {
      return;
    }
    if (kind == peer::message_kind::state_proposal_answer) {
      n.client->receive(from, kind, body, now_);
    } else if (kind == peer::message_kind::state_delta ||
               kind == peer::message_kind::state_fetch_delta) {
      n.follower->receive(from, kind, body, now_);
    } else if (n.server) {
      n.server->receive(from, kind, body, now_);
    }
  }

  void tick() {
    for (auto& [id, n] : all_) {
      if (n.client) {
        n.client->tick(now_);
        n.follower->tick(now_);
        n.tree->set_view(n.follower->view(), now_);
      }
      if (n.server) {
        n.server->tick(now_);
      }
    }
  }

  base::rng rng_;
  std::vector<std::string> voters_;
  std::vector<std::string> others_;
  std::map<std::string, instance> all_;
  std::multimap<base::time_point, std::function<void()>> events_;
  base::time_point now_{milliseconds(1000000)};
  base::time_point next_tick_{milliseconds(1000000)};
};

} // namespace test
