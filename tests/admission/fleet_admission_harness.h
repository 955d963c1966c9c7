#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "kingcupshunt/admission/fleet_demand.h"
#include "kingcupshunt/admission/service_gate.h"
#include "kingcupshunt/fleet/demand_sums.h"

namespace kingcupshunt::admission::harness {

enum class scheme : std::uint8_t { local, fleet, ideal };

struct load {
  std::string name;
  std::vector<std::size_t> servers{25}; ///< by service
  std::vector<double> parts{1};         ///< of the requests, by service
  std::function<double(double)> factor; ///< of the usual load, by the time in seconds
  double flood = 1;                     ///< factor of workspace 0 while `factor` is above 1
  bool must_retry_at_once = false;
  double loss = 0;       ///< share of lost reports and totals
  bool has_ranks = true; ///< three ranks in place of one
  unsigned queue = 8;    ///< of a server
  std::size_t entries = 36;
  double seconds = 8;
};

struct result {
  unsigned requests = 0, served = 0, returning = 0, returning_served = 0, starts = 0;
  unsigned server_queued = 0;   ///< started while all slots of the chosen server were taken
  unsigned server_refused = 0;  ///< started while its queue was full too
  unsigned overtaken = 0;       ///< started while a higher rank waited at another entry
  unsigned overtaken_known = 0; ///< the same, when the entry knew of it and of too few free slots
  unsigned refusals = 0;
  double worst_workspace = 1;
  double idle_ms = 0; ///< longest time with a tenth of the slots free and as many requests waiting
};

/// Entries, a relay and servers as counters, in steps of 10 ms.
class fleet_model {
public:
  fleet_model(const load& l, scheme s, gate_order order)
      : load_(l), scheme_(s), entries_(s == scheme::ideal ? 1 : l.entries) {
    for (std::size_t e = 0; e < entries_.size(); ++e) {
      for (const auto n : l.servers) {
        entries_[e].emplace_back(order, 100 * e + n, n);
      }
    }
    for (const auto n : l.servers) {
      servers_.emplace_back(n);
      response_.push_back(base::to_seconds(mean_run));
    }
  }

  result run() {
    for (; now_ - start < base::from_seconds(load_.seconds); now_ += step) {
      finish();
      exchange();
      arrive();
      for (auto& e : entries_) {
        for (std::size_t s = 0; s < e.size(); ++s) {
          dispatch(e, s);
        }
      }
      note_idle();
    }
    for (const auto& [workspace, n] : asked_) {
      if (workspace == 0 && load_.flood > 1) {
        continue; // asks for more than its share
      }
      out_.worst_workspace = std::min(out_.worst_workspace, double(served_[workspace]) / n);
    }
    return out_;
  }

private:
  static constexpr base::time_point start{base::seconds(1000)};
  static constexpr base::milliseconds step{10};
  static constexpr base::milliseconds flush{50};
  static constexpr base::milliseconds mean_run{185};
  static constexpr base::milliseconds timeout{2000};
  static constexpr unsigned slots = 2;
  static constexpr unsigned max_tries = 4;
  static constexpr double usual = 0.7; ///< of the capacity

  struct request {
    std::size_t entry = 0, service = 0;
    std::uint32_t rank = 1;
    std::size_t workspace = 0;
    base::time_point deadline;
    bool is_returning = false;
    base::time_point started{}, ends{};
  };
  struct part {
    part(gate_order order, std::uint64_t seed, std::size_t n)
        : gate({256, order}), demand(seed), own(n), others(n), is_full(n) {}
    service_gate gate;
    fleet_demand demand;
    std::vector<unsigned> own, others;
    std::vector<bool> is_full; ///< has refused a request
  };
  using entry = std::vector<part>; ///< by service
  struct server {
    std::vector<request> running;
    std::deque<request> queued;
    std::map<std::size_t, unsigned> reported; ///< by entry
    unsigned in_flight() const { return unsigned(running.size() + queued.size()); }
  };

  rank_counts waiting_at(const part& p) const {
    rank_counts out{};
    for (const auto& [rank, n] : p.gate.waiting_by_rank()) {
      out[rank] += n;
    }
    return out;
  }
  double unit() { return std::uniform_real_distribution<double>()(rng_); }
  bool is_lost() { return unit() < load_.loss; }

  unsigned free_slots(const part& p) const {
    unsigned out = 0;
    for (std::size_t i = 0; i < p.own.size(); ++i) {
      out += p.is_full[i] ? 0 : slots - std::min(slots, p.own[i] + p.others[i]);
    }
    return out;
  }
  gate_capacity capacity(const part& p) const {
    const double all = double(slots * p.own.size()) / base::to_seconds(mean_run);
    const bool is_sum = scheme_ == scheme::fleet && p.demand.is_known(now_);
    return {free_slots(p), is_sum ? all : all / double(entries_.size())};
  }

  void finish() {
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      for (std::size_t i = 0; i < servers_[s].size(); ++i) {
        auto& sv = servers_[s][i];
        std::erase_if(sv.running, [&](const request& r) {
          if (r.ends > now_) {
            return false;
          }
          --entries_[r.entry][s].own[i];
          entries_[r.entry][s].demand.note_ended();
          response_[s] += 0.02 * (base::to_seconds(now_ - r.started) - response_[s]);
          if (now_ <= r.deadline) {
            ++out_.served;
            ++served_[r.workspace];
            out_.returning_served += r.is_returning ? 1 : 0;
          }
          return true;
        });
        while (sv.running.size() < slots && !sv.queued.empty()) {
          run_at(sv, sv.queued.front());
          sv.queued.pop_front();
        }
      }
    }
  }
  void run_at(server& sv, request r) {
    r.ends = now_ + base::from_seconds(base::to_seconds(mean_run) * (0.5 + unit()));
    sv.running.push_back(r);
  }

  /// Reports go out in each step, totals every 50 ms; they arrive in the same step.
  void exchange() {
    if (scheme_ == scheme::ideal) {
      return;
    }
    for (std::size_t e = 0; e < entries_.size(); ++e) {
      std::vector<kingcupshunt::fleet::demand_note> notes;
      for (std::size_t s = 0; s < servers_.size(); ++s) {
        auto& p = entries_[e][s];
        for (const auto& d : p.demand.take_report(waiting_at(p), now_)) {
          notes.push_back({std::to_string(s), d.rank, d.waiting});
        }
      }
      if (is_lost()) {
        continue;
      }
      sums_.apply(std::to_string(e), notes, now_);
      for (std::size_t s = 0; s < servers_.size(); ++s) {
        for (std::size_t i = 0; i < servers_[s].size(); ++i) {
          servers_[s][i].reported[e] = entries_[e][s].own[i];
        }
      }
    }
    if ((now_ - start) % flush != base::duration{}) {
      return;
    }
    const auto notes = sums_.take(now_);
    for (std::size_t e = 0; e < entries_.size(); ++e) {
      if (is_lost()) {
        continue;
      }
      for (std::size_t s = 0; s < servers_.size(); ++s) {
        for (std::size_t i = 0; i < servers_[s].size(); ++i) {
          unsigned others = 0;
          for (const auto& [from, n] : servers_[s][i].reported) {
            others += from == e ? 0 : n;
          }
          entries_[e][s].others[i] = others;
          entries_[e][s].is_full[i] = false;
        }
      }
      if (scheme_ == scheme::fleet) {
        for (const auto& n : notes) {
          entries_[e][std::stoul(n.service)].demand.learn({n.rank, n.waiting}, now_);
        }
      }
    }
  }

  void arrive() {
    double capacity = 0;
    for (const auto n : load_.servers) {
      capacity += double(slots * n) / base::to_seconds(mean_run);
    }
    const double factor = load_.factor(base::to_seconds(now_ - start));
    constexpr std::size_t workspaces = 8;
    for (std::size_t w = 0; w < workspaces; ++w) {
      const double own = w == 0 && factor > 1 ? load_.flood : 1;
      const double rate = capacity * usual * factor * own / workspaces * base::to_seconds(step);
      for (int n = std::poisson_distribution<int>(rate)(arrivals_); n > 0; --n) {
        request r;
        r.workspace = w;
        const double at = std::uniform_real_distribution<double>()(arrivals_);
        r.rank = !load_.has_ranks || (at > 0.2 && at < 0.8) ? 1 : (at <= 0.2 ? 0 : 2);
        r.deadline = now_ + timeout;
        ++out_.requests;
        ++asked_[w];
        enter(r);
      }
    }
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      auto r = retries_.begin()->second;
      retries_.erase(retries_.begin());
      enter(r);
    }
  }

  void enter(request r) {
    // A quarter of the entries gets half of the requests.
    const auto n = entries_.size();
    r.entry = std::size_t(unit() * double(unit() < 0.33 ? (n + 3) / 4 : n));
    double at = unit();
    r.service = 0;
    while (r.service + 1 < load_.parts.size() && at >= load_.parts[r.service]) {
      at -= load_.parts[r.service++];
    }
    auto& p = entries_[r.entry][r.service];
    auto c = capacity(p);
    const bool must_divide =
        scheme_ == scheme::fleet && p.demand.limit_entry(c, r.rank, p.gate.waiting(), now_);
    p.gate.enter({r.rank, r.deadline - base::from_seconds(response_[r.service]),
                  std::to_string(r.workspace)},
                 c, now_, [this, r](gate_result refused) { refused ? refuse(r) : begin(r); });
    if (must_divide) {
      dispatch(entries_[r.entry], r.service);
    }
  }

  void refuse(request r) {
    ++out_.refusals;
    const auto left = r.deadline - now_;
    base::duration after = base::milliseconds(400);
    if (scheme_ != scheme::local) {
      auto& p = entries_[r.entry][r.service];
      auto c = capacity(p);
      c.waiting_elsewhere = p.demand.elsewhere_up_to(r.rank, now_);
      after = spread_retry_after(p.gate.expected_wait(r.rank, c), left, retry_rng_);
    }
    if (load_.must_retry_at_once || after * 3 > left) {
      after = base::milliseconds(20); // callers ignore a longer one
    }
    if (left > after + mean_run) {
      out_.returning += r.is_returning ? 0 : 1;
      r.is_returning = true;
      retries_.emplace(now_ + after, r);
    }
  }

  void begin(request r, unsigned tries = max_tries) {
    auto& p = entries_[r.entry][r.service];
    const auto n = p.own.size();
    std::size_t best = 0;
    auto least = ~0U;
    for (std::size_t k = 0, at = std::size_t(unit() * double(n)); k < n; ++k, at = (at + 1) % n) {
      if (!p.is_full[at] && p.own[at] + p.others[at] < least) {
        least = p.own[at] + p.others[at];
        best = at;
      }
    }
    ++out_.starts;
    for (const auto& e : entries_) {
      if (tries < max_tries) {
        break; // further tries don't pass the gate
      }
      const auto others = waiting_at(e[r.service]);
      if (&e[r.service] != &p && std::accumulate(others.begin(), others.begin() + r.rank, 0U) > 0) {
        ++out_.overtaken;
        break;
      }
    }
    const auto higher = r.rank == 0 ? 0 : p.demand.elsewhere_up_to(r.rank - 1, now_);
    out_.overtaken_known += tries == max_tries && higher > 0 && free_slots(p) <= higher ? 1 : 0;
    auto& sv = servers_[r.service][best];
    if (sv.in_flight() >= slots + load_.queue) {
      ++out_.server_refused;
      p.is_full[best] = true; // until the next total
      // As the proxy does: another server at once.
      tries > 1 && free_slots(p) > 0 ? begin(r, tries - 1) : refuse(r);
      return;
    }
    ++p.own[best];
    r.started = now_;
    if (sv.running.size() < slots) {
      run_at(sv, r);
    } else {
      ++out_.server_queued;
      sv.queued.push_back(r);
    }
  }

  void dispatch(entry& e, std::size_t s) {
    auto& p = e[s];
    while (p.gate.waiting() > 0) {
      auto allowed = free_slots(p);
      if (scheme_ == scheme::fleet) {
        start_query q{waiting_at(p), allowed, unsigned(slots * p.own.size())};
        q.in_flight = std::accumulate(p.own.begin(), p.own.end(), 0U);
        q.other_in_flight = std::accumulate(p.others.begin(), p.others.end(), 0U);
        q.mean_seconds = response_[s];
        allowed = p.demand.count_starts(q, now_);
      }
      auto c = capacity(p);
      c.free_slots = std::min(allowed, 1U);
      if (allowed == 0 || p.gate.dispatch(c, now_) == 0) {
        break;
      }
      p.demand.note_started(1);
    }
    auto none = capacity(p);
    none.free_slots = 0;
    (void)p.gate.dispatch(none, now_);
  }

  void note_idle() {
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      std::size_t busy = 0;
      std::size_t waiting = 0;
      for (const auto& sv : servers_[s]) {
        busy += sv.running.size();
      }
      for (const auto& e : entries_) {
        waiting += e[s].gate.waiting();
      }
      const auto all = slots * servers_[s].size();
      const bool is_idle = std::min(all - busy, waiting) * 10 > all;
      idle_ms_[s] = is_idle ? idle_ms_[s] + double(base::to_ms(step)) : 0;
      out_.idle_ms = std::max(out_.idle_ms, idle_ms_[s]);
    }
  }

  load load_;
  scheme scheme_;
  std::vector<entry> entries_;
  std::vector<std::vector<server>> servers_; ///< by service
  std::vector<double> response_;             ///< mean time from start to end in seconds, by service
  kingcupshunt::fleet::demand_sums sums_;
  std::multimap<base::time_point, request> retries_;
  std::map<std::size_t, unsigned> asked_, served_; ///< by workspace
  std::map<std::size_t, double> idle_ms_;          ///< by service
  result out_;
  base::time_point now_ = start;
  std::mt19937_64 arrivals_{20261206}; ///< the same for all schemes
  std::mt19937_64 rng_{20261207};
  base::rng retry_rng_{7};
};

} // namespace kingcupshunt::admission::harness
