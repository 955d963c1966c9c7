#pragma once

#include <cmath>
#include <deque>
#include <optional>
#include <set>

#include "../../tests/support/health_cluster.h"
#include "kingcupshunt/balance/balancer.h"

namespace simulation {

using namespace support;
namespace balance = kingcupshunt::balance;

/// How servers are chosen and excluded.
enum class way {
  full,              ///< balancer, detection and ejection
  no_ejection,       ///< balancer only
  consecutive_local, ///< balancer; each instance ejects after 5 errors in a row for 10 s
  round_robin,       ///< servers in turn, no ejection
  random             ///< any server, no ejection
};

/// Behaviour of a server towards one request.
struct behaviour {
  bool is_refusing = false; ///< connection refused
  bool is_hanging = false;  ///< accepts, never answers
  double slow = 1;          ///< factor on the service time
  double error_share = 0;   ///< answers with status 500
  double truncated_share = 0;
  bool is_probe_misleading = false; ///< the health path answers well although the server is bad
};

struct scenario {
  std::string name;
  int instances = 15;
  int servers = 20;
  std::uint32_t slots = 3;
  double rate = 100; ///< requests per second of the service
  double floor = 0.6;
  base::duration median = base::milliseconds(40);
  double sigma = 0.5; ///< of the logarithm of the service time
  double usual_errors = 0.001;
  double repeatable_share = 0.9;
  base::duration timeout = base::seconds(2);
  base::duration queue_time = base::milliseconds(500); ///< longest wait for a free server
  int retries = 2;
  base::duration warm_up = base::seconds(30);
  base::duration length = base::seconds(60);
  base::duration fault_at = base::seconds(30);
  std::set<int> bad_servers; ///< that ought to be ejected
  balance::selection selection = balance::selection::slot_share;
  std::function<behaviour(double t, int instance, int server)>
      behave; ///< t: seconds from the fault
};

struct outcome {
  std::vector<double> detection_s; ///< for each bad server; infinite when never ejected
  std::uint64_t false_ejections = 0;
  double server_hours = 0;
  double least_healthy_share = 1; ///< of announced, by the ejections applied at any instance
  std::uint64_t requests = 0, errors = 0, refused = 0;
  std::uint64_t sheds = 0, tries = 0;
  std::vector<double> latencies_ms;
  std::vector<std::string> decisions;
  double error_share() const {
    return requests == 0 ? 0 : double(errors + refused) / double(requests);
  }
  double percentile(double p) {
    if (latencies_ms.empty())
      return 0;
    const auto k = static_cast<std::size_t>(p * double(latencies_ms.size() - 1));
    std::nth_element(latencies_ms.begin(), latencies_ms.begin() + long(k), latencies_ms.end());
    return latencies_ms[k];
  }
};

/// One service of a fleet in virtual time: callers, instances, servers with slots.
class fleet {
public:
  fleet(scenario s, way w, std::uint64_t seed)
      : sc(std::move(s)), how(w), rng(seed), cluster(settings_of(sc, seed), queue) {}

  outcome run() {
    start = base::time_point(base::seconds(1000));
    cluster.start(start);
    for (int i = 0; i < sc.servers; ++i) {
      health::upstream up;
      up.info = {"fitting", server_id(i), "dc" + std::to_string(i % 3), sc.slots, false, 1, 1};
      up.first_seen = up.renewed = start;
      ups.push_back(up);
      ids[up.info.id] = i;
    }
    running.assign(std::size_t(sc.servers), 0);
    result.detection_s.assign(sc.bad_servers.size(), INFINITY);
    int k = 0;
    for (auto& [id, n] : cluster.nodes) {
      balance::balancer_settings bs;
      bs.self = id;
      bs.data_centre = cluster.data_centre_of(id);
      bs.seed = base::hash64(id, cluster.settings.seed);
      bs.method = sc.selection;
      balance::balancer_hooks bh;
      bh.send = [this, id = id](std::string_view to, peer::message_kind kind, std::string body) {
        queue.at(now + base::microseconds(1000),
                 [this, id, to = std::string(to), kind, body](auto t) {
                   now = t;
                   at(to).balancer->receive(id, kind, body, t);
                 });
      };
      auto& i = instances.emplace_back();
      index[id] = k++;
      i.id = id;
      i.balancer = std::make_unique<balance::balancer>(bs, bh);
      i.balancer->set_view(cluster.view, start);
      i.balancer->set_upstreams("fitting", ups, start);
    }
    cluster.on_states = [this](const auto& id, const auto& states, auto t) {
      apply(id, states, t);
    };
    cluster.on_probe = [this](const auto& id, const auto& up, auto t) { probe(id, up, t); };
    cluster.on_decision = [this](const auto&, const observe::decision& d, auto t) { note(d, t); };
    cluster.set_upstreams(ups, start);
    end = start + sc.warm_up + sc.length;
    arrive(start);
    balancer_tick(start);
    queue.run_until(end);
    result.server_hours = base::to_seconds(end - start) * sc.servers / 3600;
    return std::move(result);
  }

private:
  struct request {
    base::time_point arrived;
    bool is_repeatable = true;
    int tries = 0;
    std::vector<std::string> tried;
  };
  struct instance {
    std::string id;
    std::unique_ptr<balance::balancer> balancer;
    std::deque<request> waiting;
    std::size_t next = 0;
    std::map<std::string, int> errors_in_row;
    std::map<std::string, base::time_point> out_until;
  };

  static cluster_settings settings_of(const scenario& s, std::uint64_t seed) {
    cluster_settings c;
    c.instances = s.instances;
    c.floor = s.floor;
    c.seed = seed;
    return c;
  }
  static std::string server_id(int i) { return "127.0.0.1:" + std::to_string(9000 + i); }
  instance& at(const std::string& id) { return instances[std::size_t(index[id])]; }
  double normal() {
    return std::sqrt(-2 * std::log(1 - rng.unit())) * std::cos(6.283185307179586 * rng.unit());
  }
  bool is_measured(base::time_point t) const { return t >= start + sc.warm_up; }

  behaviour behave(int i, int server, base::time_point t) const {
    const double since = base::to_seconds(t - start - sc.warm_up);
    return sc.behave ? sc.behave(since, i, server) : behaviour{};
  }

  void arrive(base::time_point t) {
    queue.at(t + base::from_seconds(-std::log(1 - rng.unit()) / sc.rate), [this](auto at_time) {
      now = at_time;
      request r;
      r.arrived = now;
      r.is_repeatable = rng.unit() < sc.repeatable_share;
      const auto i = rng.below(instances.size());
      if (is_measured(now)) {
        ++result.requests;
      }
      try_request(int(i), r, now);
      if (now < end) {
        arrive(now);
      }
    });
  }

  void balancer_tick(base::time_point t) {
    queue.at(t + base::milliseconds(50), [this](auto at_time) {
      now = at_time;
      for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].balancer->tick(now);
        serve_waiting(int(i), now);
      }
      if (now < end) {
        balancer_tick(now);
      }
    });
  }

  std::optional<std::string> pick(instance& i, const request& r, base::time_point t) {
    if (how == way::round_robin || how == way::random) {
      for (int k = 0; k < sc.servers; ++k) {
        const auto s = how == way::random ? rng.below(std::uint64_t(sc.servers))
                                          : i.next++ % std::size_t(sc.servers);
        const auto id = server_id(int(s));
        if (std::ranges::find(r.tried, id) == r.tried.end()) {
          return id;
        }
      }
      return std::nullopt;
    }
    balance::pick_request p{"fitting", "r", r.tried, false, r.is_repeatable};
    auto got = i.balancer->pick(p, t);
    return got ? std::optional(got.value()) : std::nullopt;
  }

  void try_request(int k, request r, base::time_point t) {
    auto& i = instances[std::size_t(k)];
    const auto id = pick(i, r, t);
    if (!id) {
      i.waiting.push_back(std::move(r));
      return;
    }
    const int server = ids[*id];
    const auto b = behave(k, server, t);
    ++r.tries;
    ++result.tries;
    r.tried.push_back(*id);
    cluster.clock = t;
    cluster.nodes[i.id].reporter->attempt_started("fitting", "r", *id, t);
    const auto finish = [&](health::attempt_end e, base::duration d, bool has_slot) {
      queue.at(t + d, [this, k, r, id = *id, server, e, d, has_slot](auto done) {
        now = done;
        running[std::size_t(server)] -= has_slot ? 1 : 0;
        ended(k, r, id, e, d, done);
      });
    };
    const auto trip = base::microseconds(600);
    if (b.is_refusing) {
      finish(health::attempt_end::connect_failed, trip, false);
    } else if (b.is_hanging) {
      finish(health::attempt_end::timed_out, sc.timeout, false);
    } else if (running[std::size_t(server)] >= sc.slots) {
      finish(health::attempt_end::shed, trip, false);
    } else {
      ++running[std::size_t(server)];
      const double factor = std::exp(sc.sigma * normal()) * b.slow;
      const auto d = trip + base::from_seconds(base::to_seconds(sc.median) * factor);
      const double u = rng.unit();
      const auto bad = u < b.error_share + sc.usual_errors ? health::attempt_end::error_status
                       : u < b.error_share + sc.usual_errors + b.truncated_share
                           ? health::attempt_end::truncated
                           : health::attempt_end::ok;
      finish(d > sc.timeout ? health::attempt_end::timed_out : bad, std::min(d, sc.timeout), true);
    }
  }

  void ended(int k, request r, const std::string& id, health::attempt_end e, base::duration d,
             base::time_point t) {
    auto& i = instances[std::size_t(k)];
    health::attempt a;
    a.service = "fitting";
    a.route = "r";
    a.upstream = id;
    a.end = e;
    a.first_byte = a.total = d;
    cluster.clock = t;
    i.balancer->report(a, t);
    if (how == way::full) {
      cluster.nodes[i.id].reporter->report(a, t);
    }
    if (how == way::consecutive_local) {
      count_in_row(i, id, e, t);
    }
    result.sheds += e == health::attempt_end::shed ? 1 : 0;
    const bool may_retry = r.is_repeatable || health::is_certainly_not_run(e);
    if (e == health::attempt_end::ok) {
      if (is_measured(r.arrived)) {
        result.latencies_ms.push_back(base::to_seconds(t - r.arrived) * 1000);
      }
    } else if (e == health::attempt_end::shed && t - r.arrived < sc.queue_time &&
               (how != way::round_robin && how != way::random)) {
      // Certainly not run: waits for another turn, and the balancer knows that the server is full.
      r.tried.pop_back();
      --r.tries;
      try_request(k, std::move(r), t);
    } else if (may_retry && r.tries <= sc.retries && t - r.arrived < sc.timeout) {
      try_request(k, std::move(r), t);
    } else if (is_measured(r.arrived)) {
      ++(e == health::attempt_end::shed ? result.refused : result.errors);
    }
    serve_waiting(k, t);
  }

  void serve_waiting(int k, base::time_point t) {
    auto& i = instances[std::size_t(k)];
    while (!i.waiting.empty()) {
      if (t - i.waiting.front().arrived > sc.queue_time) {
        result.refused += is_measured(i.waiting.front().arrived) ? 1 : 0;
        i.waiting.pop_front();
        continue;
      }
      auto r = std::move(i.waiting.front());
      i.waiting.pop_front();
      const auto before = i.waiting.size();
      try_request(k, r, t);
      if (i.waiting.size() > before) { // still no server: back to the front
        i.waiting.pop_back();
        i.waiting.push_front(std::move(r));
        return;
      }
    }
  }

  void count_in_row(instance& i, const std::string& id, health::attempt_end e, base::time_point t) {
    const auto kind = health::kind_of(e);
    if (kind == health::evidence_kind::good) {
      i.errors_in_row[id] = 0;
    } else if (kind != health::evidence_kind::none && ++i.errors_in_row[id] >= 5) {
      i.errors_in_row[id] = 0;
      i.out_until[id] = t + base::seconds(10);
      local_states(i, t);
      queue.at(t + base::seconds(10), [this, &i](auto later) { local_states(i, later); });
      // Counted as detected once more than half of the instances exclude the server.
      std::size_t n = 0;
      for (const auto& other : instances) {
        const auto it = other.out_until.find(id);
        n += it != other.out_until.end() && it->second > t ? 1 : 0;
      }
      if (n * 2 > instances.size()) {
        count_ejection(id, t);
      }
    }
  }

  void local_states(instance& i, base::time_point t) {
    std::vector<health::server_status> states;
    for (const auto& [id, until] : i.out_until) {
      if (until > t) {
        states.push_back({id, health::server_state::ejected, 0});
      }
    }
    set_states(i, states, t);
  }

  void set_states(instance& i, const std::vector<health::server_status>& states,
                  base::time_point t) {
    i.balancer->set_states("fitting", states, t);
    std::size_t out = 0;
    for (const auto& s : states) {
      out += s.state == health::server_state::ejected || s.state == health::server_state::probation
                 ? 1
                 : 0;
    }
    result.least_healthy_share = std::min(result.least_healthy_share, 1 - double(out) / sc.servers);
  }

  void apply(const std::string& id, const std::vector<health::server_status>& states,
             base::time_point t) {
    if (how == way::full) {
      set_states(at(id), states, t);
    }
  }

  void count_ejection(const std::string& id, base::time_point t) {
    const int server = ids[id];
    const auto bad = sc.bad_servers.find(server);
    const double since = base::to_seconds(t - start - sc.warm_up);
    if (bad == sc.bad_servers.end() || since < 0) {
      ++result.false_ejections;
      return;
    }
    auto& d = result.detection_s[std::size_t(std::distance(sc.bad_servers.begin(), bad))];
    d = std::min(d, since);
  }

  void note(const observe::decision& d, base::time_point t) {
    if (how != way::full) {
      return;
    }
    char buf[64];
    std::snprintf(buf, sizeof buf, "%.3f ", base::to_seconds(t - start - sc.warm_up));
    result.decisions.push_back(buf + d.rule + " " + d.subject + " " + d.outcome + " " + d.evidence);
    if (d.outcome == "ejected" && d.rule != "ejection.take_over") {
      count_ejection(d.subject, t);
    }
  }

  void probe(const std::string& id, const std::string& up, base::time_point t) {
    const auto b = behave(index[id], ids[up], t);
    const bool is_bad = b.is_refusing || b.is_hanging;
    const auto answer = is_bad ? health::probe_outcome::failed : health::probe_outcome::ok;
    const auto delay = b.is_refusing  ? base::milliseconds(2)
                       : b.is_hanging ? base::milliseconds(250)
                                      : base::milliseconds(25);
    queue.at(t + delay, [this, id, up, answer](auto done) {
      now = done;
      cluster.clock = done;
      cluster.nodes[id].reporter->probe_done("fitting", up, answer, done);
    });
  }

  scenario sc;
  way how;
  base::rng rng;
  event_queue queue;
  health_cluster cluster;
  std::vector<instance> instances;
  std::map<std::string, int> index;
  std::map<std::string, int> ids;
  std::vector<health::upstream> ups;
  std::vector<std::uint32_t> running;
  base::time_point start{}, end{}, now{};
  outcome result;
};

} // namespace simulation
