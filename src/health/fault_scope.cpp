#include "kingcupshunt/health/fault_scope.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace kingcupshunt::health {

namespace {

// Path faults need this much more likelihood than a bad server: a bad server is more frequent.
constexpr double path_penalty = 2.0;

constexpr double min_baseline_rate = 0.01;

// Log likelihood ratio above which an instance is called faulty. It is tested five times a second
// on windows of 5 s, so exp(-12) keeps it below one false finding in some days.
constexpr double faulty_score = 12.0;
constexpr double faulty_share = 0.2;
constexpr std::size_t faulty_servers = 3;
constexpr double faulty_server_part = 0.3;

double log_likelihood(double bad, double good, double rate) {
  const double p = std::clamp(rate, 1e-4, 1 - 1e-4);
  return bad * std::log(p) + good * std::log(1 - p);
}

double best_fit(double bad, double good) {
  return bad + good <= 0 ? 0 : log_likelihood(bad, good, bad / (bad + good));
}

double log_choose(double n, double k) {
  return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
}

struct totals {
  double bad = 0;
  double good = 0;
};

// Best set of k instances of any size: those with the greatest shares of bad attempts.
void try_instance_sets(std::span<const instance_counts> counts, const totals& all, double baseline,
                       scope_finding& best, double& best_likelihood) {
  std::vector<const instance_counts*> order;
  for (const auto& c : counts) {
    order.push_back(&c);
  }
  const auto share = [](const instance_counts* c) { return c->bad / (c->bad + c->good); };
  std::ranges::sort(order, [&](const auto* a, const auto* b) {
    return share(a) != share(b) ? share(a) > share(b) : a->bad > b->bad;
  });
  const auto n = static_cast<double>(order.size());
  totals in;
  for (std::size_t k = 1; k < order.size(); ++k) {
    in.bad += order[k - 1]->bad;
    in.good += order[k - 1]->good;
    const double likelihood = best_fit(in.bad, in.good) +
                              log_likelihood(all.bad - in.bad, all.good - in.good, baseline) -
                              log_choose(n, static_cast<double>(k)) - path_penalty;
    if (likelihood > best_likelihood) {
      best_likelihood = likelihood;
      best.scope = fault_scope::instances;
      best.instances.clear();
      for (std::size_t i = 0; i < k; ++i) {
        best.instances.push_back(order[i]->instance);
      }
    }
  }
}

} // namespace

const char* to_string(fault_scope scope) noexcept {
  switch (scope) {
  case fault_scope::server:
    return "server";
  case fault_scope::data_centre:
    return "data_centre";
  case fault_scope::instances:
    return "instances";
  }
  return "unknown";
}

scope_finding find_scope(std::span<const instance_counts> given, double baseline_rate) {
  std::vector<instance_counts> counts;
  std::map<std::string_view, totals> data_centres;
  totals all;
  for (const auto& c : given) {
    if (c.bad + c.good <= 0) {
      continue;
    }
    counts.push_back(c);
    data_centres[c.data_centre].bad += c.bad;
    data_centres[c.data_centre].good += c.good;
    all.bad += c.bad;
    all.good += c.good;
  }
  const double baseline = std::max(baseline_rate, min_baseline_rate);
  const double as_server = best_fit(all.bad, all.good);
  scope_finding best;
  double best_likelihood = as_server;
  for (const auto& [data_centre, in] : data_centres) {
    const double likelihood = best_fit(in.bad, in.good) +
                              log_likelihood(all.bad - in.bad, all.good - in.good, baseline) -
                              std::log(static_cast<double>(data_centres.size())) - path_penalty;
    const bool is_worse_inside = in.bad * all.good > all.bad * in.good;
    if (data_centres.size() > 1 && is_worse_inside && likelihood > best_likelihood) {
      best_likelihood = likelihood;
      best.scope = fault_scope::data_centre;
      best.instances.clear();
      for (const auto& c : given) {
        if (c.data_centre == data_centre) {
          best.instances.push_back(c.instance);
        }
      }
    }
  }
  try_instance_sets(counts, all, baseline, best, best_likelihood);
  best.margin = best_likelihood - as_server;
  return best;
}

namespace {

struct instance_sums {
  double bad = 0;
  double good = 0;
  double log_baseline = 0; ///< log likelihood at the other instances' rates
  std::size_t server_count = 0;
  std::uint32_t bad_servers = 0;
  std::map<std::string_view, totals> by_data_centre;
};

// A fault on the way to some data centres leaves the servers of another one good.
bool is_link_fault(const instance_sums& s) {
  return std::ranges::any_of(s.by_data_centre, [](const auto& item) {
    const auto& [bad, good] = item.second;
    return bad + good >= 3 && bad < 0.1 * (bad + good);
  });
}

std::map<std::string, instance_sums> sum_by_instance(std::span<const server_counts> servers) {
  std::map<std::string, instance_sums> sums;
  for (const auto& server : servers) {
    totals all;
    for (const auto& c : server.counts) {
      all.bad += c.bad;
      all.good += c.good;
    }
    for (const auto& c : server.counts) {
      const double others = all.bad + all.good - c.bad - c.good;
      if (c.bad + c.good <= 0 || others < 2) {
        continue;
      }
      const double baseline = std::max(min_baseline_rate, (all.bad - c.bad + 0.02) / (others + 1));
      auto& s = sums[c.instance];
      s.bad += c.bad;
      s.good += c.good;
      s.log_baseline += log_likelihood(c.bad, c.good, baseline);
      ++s.server_count;
      s.bad_servers += c.bad >= 0.5 && c.bad > c.good * baseline ? 1 : 0;
      s.by_data_centre[server.data_centre].bad += c.bad;
      s.by_data_centre[server.data_centre].good += c.good;
    }
  }
  return sums;
}

} // namespace

std::vector<faulty_instance> find_faulty_instances(std::span<const server_counts> servers) {
  std::vector<faulty_instance> found;
  const auto sums = sum_by_instance(servers);
  for (const auto& [instance, s] : sums) {
    const double n = s.bad + s.good;
    const double score = best_fit(s.bad, s.good) - s.log_baseline;
    const auto wide =
        std::max<double>(static_cast<double>(std::min(faulty_servers, s.server_count)),
                         faulty_server_part * static_cast<double>(s.server_count));
    if (score >= faulty_score && s.bad >= faulty_share * n && s.server_count >= 2 &&
        s.bad_servers >= wide && !is_link_fault(s)) {
      found.push_back({instance, score, s.bad / n, s.bad_servers});
    }
  }
  if (found.size() * 3 > sums.size()) {
    found.clear();
  }
  return found;
}

} // namespace kingcupshunt::health
