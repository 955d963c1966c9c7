#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "kingcupshunt/balance/server_board.h"

namespace kingcupshunt::testing {

/// How an instance chooses a server in `stale_load_fleet`.
enum class selection_method : std::uint8_t {
  cheapest,      ///< server_board by the last reports, with a random part of the cost
  expected_load, ///< server_board by the load expected until the next report
  two_choices    ///< of two random servers the one with the lower reported load
};

struct stale_load_scenario {
  std::size_t instances = 34; ///< of one data centre
  std::size_t servers = 100;
  std::uint32_t slots = 2;
  std::uint32_t queue = 8; ///< requests beyond the slots; a server refuses further ones
  double use = 0.85;       ///< requests in relation to what the healthy servers can process
  double mean_seconds = 0.2;
  double faulty_share = 0.3; ///< servers that reset each request, for 5 s at a time
  double slow_share = 0.2;   ///< servers that take twice as long
  base::duration report_age = base::milliseconds(50); ///< from the relay to the instances
  double lost_reports = 0.02;
  base::duration length = base::seconds(12);
  base::duration warm_up = base::seconds(3);
  std::uint64_t seed = 1;
};

struct stale_load_outcome {
  std::uint64_t requests = 0;
  std::uint64_t refused_by_servers = 0;
  std::uint64_t refused_here = 0; ///< every server looked full until the request's time was over
  std::uint64_t reset = 0;
  std::uint64_t messages = 0;
  double greatest_over_mean = 0; ///< busy slots and queue of healthy servers, mean over time
  double idle_beside_queue = 0;  ///< share of the slots that idle while requests queue elsewhere
  std::vector<double> waits_ms;  ///< of requests in the queues of servers, sorted

  double wait_ms(double quantile) const {
    return waits_ms.empty() ? 0
                            : waits_ms[static_cast<std::size_t>(quantile * (waits_ms.size() - 1))];
  }
};

/// Many instances that choose servers by load reports of a relay, in steps of 5 ms of simulated
/// time. Servers are counters with a queue.
class stale_load_fleet {
public:
  stale_load_fleet(const stale_load_scenario& s, selection_method method)
      : scenario_(s), method_(method), rng_(s.seed), servers_(s.servers), reported_(s.servers) {
    for (std::size_t i = 0; i < s.servers; ++i) {
      servers_[i].is_slow = rng_.unit() < s.slow_share;
      servers_[i].fault_at = rng_.unit() * fault_period(s);
      ids_.push_back("s" + std::to_string(i));
      index_[ids_.back()] = i;
    }
    for (std::size_t i = 0; i < s.instances; ++i) {
      boards_.push_back(std::make_unique<balance::server_board>(settings_of(s, i)));
      own_.emplace_back(s.servers);
      for (std::size_t k = 0; k < s.servers; ++k) {
        boards_.back()->set_record(record_of(s, k), now_);
      }
      boards_.back()->change_relay(method == selection_method::expected_load);
      boards_.back()->set_instances(static_cast<double>(s.instances));
    }
  }

  stale_load_outcome run() {
    const auto end = now_ + scenario_.length;
    const auto measured_from = now_ + scenario_.warm_up;
    while (now_ < end) {
      now_ += step;
      is_measured_ = now_ >= measured_from;
      complete_requests();
      if (++steps_ % steps_per_report == 0) {
        exchange_reports();
      }
      place_waiting();
      start_requests();
      if (is_measured_) {
        sample_load();
      }
    }
    summarize();
    return out_;
  }

private:
  static constexpr base::milliseconds step{5};
  static constexpr int steps_per_report = 10; ///< 50 ms, as instances and relays report
  static constexpr base::milliseconds max_wait{1000};
  static constexpr double fault_seconds = 5;

  struct running {
    base::time_point end;
    std::uint64_t serial = 0;
    std::size_t instance = 0;
    base::time_point sent;
    base::time_point arrived;
  };
  struct server {
    bool is_slow = false;
    double fault_at = 0; ///< start of its first fault episode, s
    std::vector<running> busy;
    std::deque<running> queue;
    double load_sum = 0;
  };
  struct waiting {
    std::size_t instance = 0;
    std::uint64_t serial = 0;
    base::time_point since;
  };
  struct report {
    base::time_point at;
    fleet::load_report total;
    std::vector<fleet::failure_note> failures;
  };

  static double fault_period(const stale_load_scenario& s) {
    return s.faulty_share > 0 ? fault_seconds / s.faulty_share : 1e9;
  }

  static balance::board_settings settings_of(const stale_load_scenario& s, std::size_t i) {
    balance::board_settings out;
    out.data_centre = "a";
    out.seed = s.seed * 1000 + i;
    out.has_expected_load = true; // in effect with a relay of one data centre
    return out;
  }

  fleet::server_record record_of(const stale_load_scenario& s, std::size_t k) const {
    fleet::server_record out;
    out.id = ids_[k];
    out.service = "service";
    out.address = "10.0.0.1:80";
    out.data_centre = "a";
    out.slots = s.slots;
    out.started_ms = 1;
    return out;
  }

  double seconds() const { return base::to_seconds(now_ - base::time_point{}); }

  bool is_faulty(const server& s) const {
    return scenario_.faulty_share > 0 &&
           std::fmod(seconds() + s.fault_at, fault_period(scenario_)) < fault_seconds;
  }

  double draw_work(const server& s) {
    const double mean = scenario_.mean_seconds * (s.is_slow ? 2 : 1);
    return mean * (0.5 - 0.5 * std::log(1 - rng_.unit()));
  }

  void start_requests() {
    const double speed = 1 - scenario_.slow_share / 2;
    const double rate = scenario_.use * static_cast<double>(scenario_.servers) * scenario_.slots *
                        (1 - scenario_.faulty_share) * speed / scenario_.mean_seconds;
    arrivals_due_ += rate * base::to_seconds(step);
    for (; arrivals_due_ >= 1; arrivals_due_ -= 1) {
      out_.requests += is_measured_ ? 1 : 0;
      place({rng_.below(scenario_.instances), ++serial_, now_});
    }
  }

  void place_waiting() {
    auto all = std::exchange(waiting_, {});
    for (const auto& w : all) {
      if (now_ - w.since > max_wait) {
        out_.refused_here += is_measured_ ? 1 : 0;
      } else {
        place(w);
      }
    }
  }

  /// Index of the server chosen, or the number of servers when all look full.
  std::size_t choose(const waiting& w) {
    const auto n = scenario_.servers;
    if (method_ == selection_method::cheapest || method_ == selection_method::expected_load) {
      auto& board = *boards_[w.instance];
      const auto chosen = board.begin({"service", w.serial, false}, {}, now_);
      return chosen ? index_.at(chosen.value().id) : n;
    }
    std::size_t best = n;
    const auto load = [&](std::size_t k) { return reported_[k] + own_[w.instance][k]; };
    const auto consider = [&](std::size_t k) {
      const bool is_full = load(k) >= scenario_.slots + 1;
      if (!is_full && (best == n || load(k) < load(best))) {
        best = k;
      }
    };
    consider(rng_.below(n));
    consider(rng_.below(n));
    return best;
  }

  void place(const waiting& w) {
    const auto k = choose(w);
    if (k == scenario_.servers) {
      waiting_.push_back(w);
      return;
    }
    auto& s = servers_[k];
    ++own_[w.instance][k];
    if (is_faulty(s)) {
      out_.reset += is_measured_ ? 1 : 0;
      finish(k, w.instance, w.serial, health::attempt_end::closed_unanswered, {});
    } else if (s.busy.size() < scenario_.slots) {
      s.busy.push_back(
          {now_ + base::from_seconds(draw_work(s)), w.serial, w.instance, now_, w.since});
      note_wait(w.since);
    } else if (s.queue.size() < scenario_.queue) {
      s.queue.push_back({{}, w.serial, w.instance, now_, w.since});
    } else {
      out_.refused_by_servers += is_measured_ ? 1 : 0;
      finish(k, w.instance, w.serial, health::attempt_end::shed, {});
    }
  }

  void note_wait(base::time_point arrived) {
    if (is_measured_) {
      out_.waits_ms.push_back(base::to_seconds(now_ - arrived) * 1000);
    }
  }

  void finish(std::size_t k, std::size_t instance, std::uint64_t serial, health::attempt_end end,
              base::duration total) {
    --own_[instance][k];
    health::attempt a;
    a.end = end;
    a.total = total;
    boards_[instance]->end(ids_[k], serial, a, now_);
  }

  void complete_requests() {
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      auto& s = servers_[k];
      for (std::size_t i = 0; i < s.busy.size();) {
        if (s.busy[i].end > now_) {
          ++i;
          continue;
        }
        const auto r = s.busy[i];
        s.busy.erase(s.busy.begin() + static_cast<std::ptrdiff_t>(i));
        finish(k, r.instance, r.serial, health::attempt_end::ok, now_ - r.sent);
      }
      while (s.busy.size() < scenario_.slots && !s.queue.empty()) {
        auto r = s.queue.front();
        s.queue.pop_front();
        note_wait(r.arrived);
        r.end = now_ + base::from_seconds(draw_work(s));
        s.busy.push_back(r);
      }
    }
  }

  void exchange_reports() {
    report next{now_ + scenario_.report_age, {}, {}};
    for (std::size_t i = 0; i < boards_.size(); ++i) {
      auto own = boards_[i]->take_report();
      out_.messages += is_measured_ ? 1 : 0;
      for (auto& note : own.failures) {
        note.reporter = std::to_string(i);
        next.failures.push_back(note);
      }
    }
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      std::uint32_t n = 0;
      for (const auto& own : own_) {
        n += own[k];
      }
      next.total.loads.push_back({ids_[k], n});
    }
    next.total.failures = next.failures;
    reports_.push_back(std::move(next));
    while (!reports_.empty() && reports_.front().at <= now_) {
      deliver(reports_.front());
      reports_.pop_front();
    }
  }

  void deliver(const report& r) {
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      reported_[k] = r.total.loads[k].in_flight;
    }
    for (std::size_t i = 0; i < boards_.size(); ++i) {
      if (rng_.unit() < scenario_.lost_reports) {
        continue;
      }
      auto total = r.total;
      const auto self = std::to_string(i);
      std::erase_if(total.failures, [&](const auto& note) { return note.reporter == self; });
      boards_[i]->apply_total(total, now_);
      out_.messages += is_measured_ ? 1 : 0;
    }
  }

  void sample_load() {
    ++samples_;
    double queued = 0;
    double idle = 0;
    for (auto& s : servers_) {
      s.load_sum += static_cast<double>(s.busy.size() + s.queue.size());
      queued += static_cast<double>(s.queue.size());
      idle += is_faulty(s) ? 0 : static_cast<double>(scenario_.slots - s.busy.size());
    }
    idle_sum_ +=
        std::min(idle, queued) / (static_cast<double>(scenario_.servers) * scenario_.slots);
  }

  void summarize() {
    double sum = 0;
    double greatest = 0;
    for (const auto& s : servers_) {
      sum += s.load_sum;
      greatest = std::max(greatest, s.load_sum);
    }
    out_.greatest_over_mean = greatest * static_cast<double>(servers_.size()) / std::max(sum, 1.0);
    out_.idle_beside_queue = idle_sum_ / static_cast<double>(std::max<std::uint64_t>(samples_, 1));
    std::ranges::sort(out_.waits_ms);
  }

  stale_load_scenario scenario_;
  selection_method method_;
  base::rng rng_;
  base::time_point now_{base::seconds(100)};
  std::vector<server> servers_;
  std::vector<std::uint32_t> reported_;
  std::vector<std::string> ids_;
  std::map<std::string, std::size_t, std::less<>> index_;
  std::vector<std::unique_ptr<balance::server_board>> boards_;
  std::vector<std::vector<std::uint32_t>> own_; ///< requests in flight by instance and server
  std::vector<waiting> waiting_;
  std::deque<report> reports_;
  stale_load_outcome out_;
  std::uint64_t serial_ = 0;
  std::uint64_t samples_ = 0;
  int steps_ = 0;
  double arrivals_due_ = 0;
  double idle_sum_ = 0;
  bool is_measured_ = false;
};

} // namespace kingcupshunt::testing
