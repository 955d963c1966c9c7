#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "kingcupshunt/balance/server_board.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet::testing {

constexpr double cold_rate = 4.7; ///< requests per second
constexpr base::milliseconds fleet_step{5};
constexpr base::milliseconds processing_time{90};

/// Control instances with their log, the boards of entries, and servers that are cold at times, in
/// memory. Messages of one link arrive in order, after 1 to 4 ms and the delay of `delay_of`.
struct cold_fleet {
  struct control {
    std::unique_ptr<document_log> log;
    std::unique_ptr<control_core> core;
    std::deque<consensus::write_batch> writes;
  };
  struct entry {
    std::unique_ptr<balance::server_board> board;
    std::string data_centre;
    std::string relay; ///< empty: none
    base::time_point full_at{};
    base::time_point ask_at{};
    std::uint32_t late = 0; ///< permits
  };
  struct backend {
    server_record record;
    base::time_point cold_until{};
    std::vector<base::time_point> sent; ///< while cold
  };
  struct message {
    std::string from, to, body;
    peer::message_kind kind{};
  };
  struct running {
    std::string entry, server;
    std::uint64_t serial = 0;
    base::time_point since{};
  };

  cold_fleet(std::vector<std::string> control_ids, int entry_count, int data_centres)
      : ids(std::move(control_ids)) {
    for (const auto& id : ids) {
      add_control(id);
    }
    for (int i = 0; i < entry_count; ++i) {
      auto& e = entries["e" + std::to_string(100 + i)];
      balance::board_settings settings;
      settings.data_centre = "dc" + std::to_string(i % data_centres);
      settings.seed = static_cast<std::uint64_t>(i + 1);
      e.data_centre = settings.data_centre;
      e.relay = ids.front();
      e.board = std::make_unique<balance::server_board>(settings);
      e.full_at = now + base::milliseconds(rng.below(1000));
      set_terms(e);
    }
  }

  void set_terms(entry& e) const {
    e.board->set_cold_terms({{"fitting", {cold_rate, base::seconds(3)}}}, now);
  }

  void add_control(const std::string& id) {
    auto& c = controls[id];
    control_settings settings;
    settings.self = id;
    settings.start = base::hash64(id);
    control_hooks hooks;
    hooks.send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
      send(id, to, kind, std::move(body));
    };
    hooks.parse = [](const std::string& text) -> document_result<config::record_list> {
      return config::to_records(nlohmann::json::parse(text));
    };
    c.core = std::make_unique<control_core>(std::move(settings), std::move(hooks));
    for (const auto& other : ids) {
      c.core->add_control(other);
    }
    consensus::replica_settings replica;
    replica.self = {id, id};
    replica.initial_voters = ids;
    replica.seed = base::hash64(id);
    document_log_hooks log_hooks;
    log_hooks.send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
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
  }

  /// A server starts and is announced to all entries.
  void start_server(const std::string& id, const std::string& data_centre, base::duration cold) {
    auto& b = backends[id];
    b.record.id = id;
    b.record.service = "fitting";
    b.record.address = "10.0.0.1:80";
    b.record.data_centre = data_centre;
    b.record.slots = 2;
    b.record.started_ms = static_cast<std::uint64_t>(base::to_ms(now.time_since_epoch()));
    b.record.cold_left_ms = static_cast<std::uint32_t>(base::to_ms(cold));
    b.cold_until = now + cold;
    for (auto& [name, e] : entries) {
      e.board->set_record(b.record, now);
    }
  }

  bool is_cut(std::string_view a, std::string_view b) const {
    return down.contains(a) || down.contains(b) || (cut.contains(a) != cut.contains(b));
  }

  void send(std::string_view from, std::string_view to, peer::message_kind kind, std::string body) {
    if (is_cut(from, to)) {
      return;
    }
    auto& free_at = link_at[std::string(from) + ">" + std::string(to)];
    const auto delay = delay_of ? delay_of(from, to) : base::duration{};
    free_at =
        std::max(free_at, now + base::milliseconds(1 + static_cast<int>(rng.below(4))) + delay);
    net.emplace(free_at, message{std::string(from), std::string(to), std::move(body), kind});
  }

  void deliver(const message& m) {
    if (is_cut(m.from, m.to)) {
      return;
    }
    if (const auto c = controls.find(m.to); c != controls.end()) {
      const bool is_log =
          m.kind >= peer::message_kind::log_append && m.kind <= peer::message_kind::log_timeout_now;
      if (is_log) {
        c->second.log->receive(m.from, m.kind, m.body, now);
      } else {
        c->second.core->receive(m.from, m.kind, m.body, now);
      }
      return;
    }
    auto& e = entries.at(m.to);
    if (m.from != e.relay) {
      return;
    }
    if (m.kind == peer::message_kind::permit_grant) {
      e.late += e.board->add_cold_permits(*peer::unpack<permit_grant>(m.body), now);
    } else if (m.kind == peer::message_kind::load_total) {
      e.board->apply_total(*peer::unpack<load_report>(m.body), now);
    }
  }

  void change_relay(entry& e, const std::string& relay) const {
    e.relay = relay;
    e.board->change_relay(entries.size() > max_single_relay_entries);
    e.board->set_relay(!relay.empty(), static_cast<std::uint32_t>(entries.size()), now);
    e.full_at = now;
  }

  void tick_entry(const std::string& id, entry& e) {
    e.board->tick(now);
    if (now >= e.ask_at) {
      e.ask_at = now + base::milliseconds(500);
      entry_ask ask;
      ask.data_centre = e.data_centre;
      ask.is_ready = true;
      for (const auto& c : ids) {
        send(id, c, peer::message_kind::entry_ask, peer::pack(ask));
      }
    }
    if (e.relay.empty()) {
      return;
    }
    auto report = e.board->take_report();
    if (now >= e.full_at) {
      e.full_at = now + base::seconds(1);
      report = e.board->full_report();
      report.is_full = true;
    }
    e.board->add_cold_report(report, now);
    if (report.is_full || !report.loads.empty() || !report.cold.empty()) {
      send(id, e.relay, peer::message_kind::load_pulse, peer::pack(report));
    }
  }

  /// One request of a caller at a random entry.
  void request() {
    auto it = entries.begin();
    std::advance(it, static_cast<long>(rng.below(entries.size())));
    auto& [id, e] = *it;
    e.board->note_request("fitting", now);
    const auto chosen = e.board->begin({"fitting", ++serial, serial % 3 == 0}, {}, now);
    if (!chosen) {
      ++refused;
      return;
    }
    auto& b = backends.at(chosen.value().id);
    if (now < b.cold_until) {
      b.sent.push_back(now);
    }
    live.push_back({id, b.record.id, serial, now});
  }

  void finish_requests() {
    while (!live.empty() && now - live.front().since >= processing_time) {
      const auto r = live.front();
      live.pop_front();
      health::attempt a;
      a.end = health::attempt_end::ok;
      a.status = 200;
      a.total = processing_time;
      const auto& b = backends.at(r.server);
      if (now < b.cold_until) {
        a.cold_left = b.cold_until - now;
      }
      auto& board = *entries.at(r.entry).board;
      board.end(r.server, r.serial, a, now);
    }
  }

  void run(base::duration time, double requests_per_second) {
    const auto end = now + time;
    while (now < end) {
      now += fleet_step;
      while (!net.empty() && net.begin()->first <= now) {
        const auto m = std::move(net.begin()->second);
        net.erase(net.begin());
        deliver(m);
      }
      for (auto& [id, c] : controls) {
        while (!c.writes.empty()) {
          const auto sequence = c.writes.front().sequence;
          c.writes.pop_front();
          c.log->log().on_persisted(sequence, true, now);
        }
        if (!down.contains(id)) {
          c.log->tick(now);
          c.core->tick(now);
        }
      }
      finish_requests();
      if (base::to_ms(now.time_since_epoch()) % 25 == 0) {
        for (auto& [id, e] : entries) {
          tick_entry(id, e);
        }
      }
      owed += requests_per_second * base::to_seconds(fleet_step);
      for (; owed >= 1; owed -= 1) {
        request();
      }
    }
  }

  /// Greatest number of requests that one server got in any second while it was cold, of those sent
  /// at `from` or later.
  std::size_t most_in_a_second(base::time_point from = {}) const {
    std::size_t most = 0;
    for (const auto& [id, b] : backends) {
      std::deque<base::time_point> window;
      for (const auto at : b.sent) {
        if (at < from) {
          continue;
        }
        window.push_back(at);
        while (at - window.front() >= base::seconds(1)) {
          window.pop_front();
        }
        most = std::max(most, window.size());
      }
    }
    return most;
  }

  std::size_t sent_since(const std::string& server, base::time_point from) const {
    const auto& sent = backends.at(server).sent;
    return static_cast<std::size_t>(
        std::ranges::count_if(sent, [&](const auto at) { return at >= from; }));
  }

  std::vector<std::string> ids;
  base::time_point now{base::seconds(1000)};
  base::rng rng{7};
  std::map<std::string, control, std::less<>> controls;
  std::map<std::string, entry, std::less<>> entries;
  std::map<std::string, backend, std::less<>> backends;
  std::multimap<base::time_point, message> net;
  std::map<std::string, base::time_point> link_at;
  std::set<std::string, std::less<>> cut;  ///< instances on one side of a partition
  std::set<std::string, std::less<>> down; ///< instances that have stopped
  std::function<base::duration(std::string_view from, std::string_view to)> delay_of;
  std::deque<running> live;
  std::uint64_t serial = 0;
  std::size_t refused = 0;
  double owed = 0;
};

} // namespace kingcupshunt::fleet::testing
