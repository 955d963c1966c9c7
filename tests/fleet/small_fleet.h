#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/document.h"
#include "kingcupshunt/fleet/control_core.h"
#include "kingcupshunt/fleet/entry_link.h"

namespace test {

using namespace kingcupshunt;
using namespace kingcupshunt::fleet;
using peer::message_kind;

inline constexpr base::milliseconds step{10};

/// Three control instances and an entry over a network that drops messages from and to the
/// instances in `cut`. Disks have no latency, but for those in `stalled`.
struct small_fleet {
  struct control {
    std::unique_ptr<document_log> log;
    std::unique_ptr<control_core> core;
    std::deque<consensus::write_batch> writes;
    std::vector<server_record> stored; ///< survives a restart
    std::vector<std::function<void(bool)>> storing;
  };
  struct message {
    std::string from, to, body;
    message_kind kind{};
  };

  explicit small_fleet(std::vector<std::string> first = {"c1", "c2", "c3"})
      : ids(std::move(first)) {
    for (const auto& id : ids) {
      make_control(id, ids, ids);
    }
    make_entry();
  }

  void make_entry() {
    seen.clear();
    entry_link_settings s;
    s.self = "e1";
    s.entry_address = "10.0.0.9:80";
    entry_link_hooks hooks;
    hooks.send = [this](std::string_view to, message_kind kind, std::string body) {
      send("e1", to, kind, std::move(body));
    };
    hooks.is_ready = [] { return true; };
    hooks.is_leaving = [] { return false; };
    hooks.on_server = [this](const server_record& r) { seen[r.id] = r; };
    hooks.on_document = [](const config::snapshot&) {};
    hooks.on_controls = [] {};
    hooks.log = [this](std::string_view event, std::string_view detail) {
      events.push_back(std::string(event) + " " + std::string(detail));
    };
    entry = std::make_unique<entry_link>(std::move(s), std::move(hooks));
    entry->set_seeds(ids);
  }

  /// Starts a control instance that is told of `seeds`. Without initial voters, it joins the
  /// others.
  void make_control(const std::string& id, const std::vector<std::string>& seeds,
                    const std::vector<std::string>& initial_voters) {
    auto& c = controls[id];
    control_settings settings;
    settings.self = id;
    settings.store = id;
    settings.start = base::hash64(id) + ++starts;
    control_hooks hooks;
    hooks.send = [this, id](std::string_view to, message_kind kind, std::string body) {
      send(id, to, kind, std::move(body));
    };
    hooks.parse = [this](const std::string& text) -> document_result<config::record_list> {
      return parse(text);
    };
    hooks.log = [this](std::string_view event, std::string_view detail) {
      events.push_back(std::string(event) + " " + std::string(detail));
    };
    hooks.run_aside = [this](const std::function<void()>& work, const std::function<void()>& done) {
      aside.push_back([work, done] {
        work();
        done();
      });
    };
    hooks.store_records = [&c](std::function<void(bool)> done) {
      c.storing.push_back(std::move(done));
    };
    c.storing.clear();
    c.writes.clear();
    c.core = std::make_unique<control_core>(std::move(settings), std::move(hooks));
    for (const auto& other : seeds) {
      c.core->add_control(other);
    }
    consensus::replica_settings replica;
    replica.self = {id, id};
    replica.initial_voters = initial_voters;
    replica.seed = base::hash64(id);
    document_log_hooks log_hooks;
    log_hooks.send = [this, id](std::string_view to, message_kind kind, std::string body) {
      send(id, to, kind, std::move(body));
    };
    log_hooks.persist = [&c](consensus::write_batch batch) {
      c.writes.push_back(std::move(batch));
    };
    log_hooks.save_snapshot = [](const consensus::snapshot&) {};
    log_hooks.on_document = [&c](const versioned_document& d) { c.core->on_document(d); };
    c.log = std::make_unique<document_log>(std::move(replica), std::move(log_hooks),
                                           consensus::recovered_state{}, now);
    c.core->set_log(c.log.get());
    c.core->restore(c.stored, now);
  }

  /// Kills a control instance and starts it again from what it has stored of the servers.
  void restart(const std::string& id) { make_control(id, ids, ids); }

  /// Kills all instances at once.
  void restart_all() {
    net.clear();
    for (const auto& id : ids) {
      restart(id);
    }
    make_entry();
  }

  /// Sends an announcement to one control instance. Empty while it is unanswered.
  std::shared_ptr<std::optional<bool>> announce(const std::string& id, server_record record) {
    auto answer = std::make_shared<std::optional<bool>>();
    controls.at(id).core->announce(
        std::move(record), [answer](bool ok) { *answer = ok; }, now);
    return answer;
  }

  void send(const std::string& from, std::string_view to, message_kind kind, std::string body) {
    if (body.size() > peer::max_body_bytes) {
      ++dropped_as_too_large; // as the transport does
      return;
    }
    if (!cut.contains(from) && !cut.contains(to)) {
      message m{from, std::string(to), std::move(body), kind};
      if (change_message) {
        change_message(m);
      }
      net.push_back(std::move(m));
    }
  }

  /// Log lines of this event.
  std::size_t count_events(std::string_view event) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [&](const std::string& line) { return line.starts_with(event); }));
  }

  void run(base::duration time) {
    const auto end = now + time;
    while (now < end) {
      now += step;
      for (auto& m : std::exchange(net, {})) {
        deliver(m);
      }
      if (!holds_aside) {
        for (const auto& work : std::exchange(aside, {})) {
          work();
        }
      }
      for (auto& [id, c] : controls) {
        while (!c.writes.empty()) {
          const auto sequence = c.writes.front().sequence;
          c.writes.pop_front();
          c.log->log().on_persisted(sequence, true, now);
        }
        if (!stalled.contains(id) && !c.storing.empty()) {
          c.stored = c.core->records();
          for (const auto& done : std::exchange(c.storing, {})) {
            done(true);
          }
        }
        c.log->tick(now);
        c.core->tick(now);
      }
      entry->tick(now);
    }
  }

  void deliver(const message& m) {
    if (cut.contains(m.from) || cut.contains(m.to)) {
      return;
    }
    if (m.to == "e1") {
      entry->receive(m.from, m.kind, m.body, now);
      return;
    }
    const auto it = controls.find(m.to);
    if (it == controls.end()) {
      return; // an instance that a test plays itself
    }
    auto& c = it->second;
    if (m.kind >= message_kind::log_append && m.kind <= message_kind::log_timeout_now) {
      c.log->receive(m.from, m.kind, m.body, now);
    } else {
      c.core->receive(m.from, m.kind, m.body, now);
    }
  }

  document_log& leader() {
    for (auto& [id, c] : controls) {
      if (!cut.contains(id) && c.log->log().is_ready()) {
        return *c.log;
      }
    }
    FAIL("no leader");
    return *controls.begin()->second.log;
  }

  std::vector<std::string> ids; ///< control instances of the first start
  base::time_point now{base::seconds(1000)};
  std::map<std::string, control, std::less<>> controls;
  std::unique_ptr<entry_link> entry;
  std::deque<message> net;
  std::function<void(message&)> change_message; ///< before a message is sent; may be empty
  std::function<config::record_list(const std::string& text)> parse = [](const std::string& text) {
    return config::to_records(nlohmann::json::parse(text));
  };
  std::vector<std::function<void()>> aside; ///< work beside the event loops, done with each step
  bool holds_aside = false;                 ///< it is not done
  std::vector<std::string> events;          ///< logged by the control instances and the entry
  std::size_t dropped_as_too_large = 0;
  std::set<std::string, std::less<>> cut;
  std::set<std::string, std::less<>> stalled; ///< control instances whose disk writes nothing
  std::uint64_t starts = 0;
  std::map<std::string, server_record> seen;
};

inline versioned_document document(std::uint64_t version, const std::string& service) {
  const std::string secret(64, '0');
  const nlohmann::json all = {{"services", {{service, {{"secret_sha256", secret}}}}}};
  return {version, all.dump()};
}

/// A document whose text takes `bytes` more than it needs.
inline versioned_document padded(versioned_document document, std::size_t bytes) {
  document.text += std::string(bytes, ' ');
  return document;
}

/// Proposes the document to the leader. Empty while it is unanswered.
inline std::shared_ptr<std::optional<bool>> propose(small_fleet& f,
                                                    const versioned_document& document) {
  auto answer = std::make_shared<std::optional<bool>>();
  f.leader().propose(
      document, [answer](bool ok) { *answer = ok; }, f.now);
  return answer;
}

inline server_record server(const std::string& id, std::uint64_t sequence, server_state state) {
  server_record r;
  r.id = id;
  r.service = "fitting";
  r.address = "10.0.1.1:80";
  r.started_ms = 5;
  r.sequence = sequence;
  r.state = state;
  return r;
}

} // namespace test
