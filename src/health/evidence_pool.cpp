#include "kingcupshunt/health/evidence_pool.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::health {

namespace {

// Latencies are compared after division by 2^(3/2) = 2.8: a server that is up to 2.8 times slower
// than the others, as with older hardware, is not a fault.
constexpr std::uint8_t tolerated_buckets = 3;

// The score of a tail probability q is log(a q^(a-1)), a martingale for uniform q whatever the
// distribution of latencies, so that routes with two modes or long tails need no model. a = 0.35
// needs 5 attempts of a ten times slower server; a = 0.25 needs 4, but twice as many when only
// a third of the requests are slow.
constexpr double calibrator = 0.35;

// Fewer attempts of other servers than this say nothing about a tail.
constexpr double min_pool_attempts = 30;

// Usual error rates are estimated with a prior of 50 attempts, so that a service without recorded
// errors does not make a single error count as proof.
constexpr double prior_attempts = 50;
constexpr double min_soft_rate = 0.002;
constexpr double min_hard_rate = 0.0005;

// Error rates of a bad server in the likelihood ratio. 0.25 lies below the 30 % that must be
// found, since a ratio test still finds rates above its alternative.
constexpr double bad_soft_rate = 0.25;
constexpr double bad_hard_rate = 0.5;
constexpr double max_rate = 0.9;

double bad_rate(double baseline, double min_rate) {
  return std::min(max_rate, std::max(min_rate, 5 * baseline));
}

} // namespace

evidence_pool::route_counts& evidence_pool::find_or_add_route(std::string_view route) {
  const auto it = routes_.find(route);
  return it != routes_.end() ? it->second : routes_[std::string(route)];
}

evidence_pool::counts& evidence_pool::find_or_add_server(std::string_view route,
                                                         std::string_view server) {
  auto& r = find_or_add_route(route);
  const auto it = r.by_server.find(server);
  return it != r.by_server.end() ? it->second : r.by_server[std::string(server)];
}

const evidence_pool::route_counts* evidence_pool::find_route(std::string_view route) const {
  const auto it = routes_.find(route);
  return it == routes_.end() ? nullptr : &it->second;
}

void evidence_pool::add_good(std::string_view route, std::string_view server,
                             std::uint8_t first_byte, std::uint8_t total) {
  const auto first = std::min<std::uint8_t>(first_byte, latency_buckets - 1);
  const auto whole = std::min<std::uint8_t>(total, latency_buckets - 1);
  for (auto* c : {&find_or_add_server(route, server), &find_or_add_route(route).sum}) {
    c->first_byte[first] += 1;
    c->total[whole] += 1;
    c->good += 1;
  }
}

void evidence_pool::add_errors(std::string_view route, std::string_view server, std::uint32_t soft,
                               std::uint32_t hard) {
  for (auto* c : {&find_or_add_server(route, server), &find_or_add_route(route).sum}) {
    c->soft += soft;
    c->hard += hard;
  }
}

double evidence_pool::tail_score(const histogram& sum, const histogram* own, std::uint8_t bucket) {
  const std::size_t from = bucket > tolerated_buckets ? bucket - tolerated_buckets : 0;
  double n = 0;
  double above = 0;
  for (std::size_t i = 0; i < sum.size(); ++i) {
    const double others = std::max(0.0F, sum[i] - (own != nullptr ? (*own)[i] : 0.0F));
    n += others;
    above += i >= from ? others : 0;
  }
  if (n < min_pool_attempts) {
    return 0;
  }
  const double q = (above + 1) / (n + 1);
  return std::log(calibrator) + (calibrator - 1) * std::log(q);
}

double evidence_pool::latency_score(std::string_view route, std::string_view server,
                                    std::uint8_t first_byte, std::uint8_t total) const {
  const auto* r = find_route(route);
  if (r == nullptr) {
    return 0;
  }
  const auto own = r->by_server.find(server);
  const bool has_own = own != r->by_server.end();
  return std::max(
      tail_score(r->sum.first_byte, has_own ? &own->second.first_byte : nullptr, first_byte),
      tail_score(r->sum.total, has_own ? &own->second.total : nullptr, total));
}

double evidence_pool::open_score(std::string_view route, std::string_view server,
                                 std::uint8_t age) const {
  const auto* r = find_route(route);
  if (r == nullptr) {
    return 0;
  }
  const auto own = r->by_server.find(server);
  const auto* own_total = own != r->by_server.end() ? &own->second.total : nullptr;
  return std::max(0.0, tail_score(r->sum.total, own_total, age));
}

evidence_pool::rates evidence_pool::baseline_rates(std::string_view route,
                                                   std::string_view server) const {
  counts others;
  if (const auto* r = find_route(route)) {
    others.good = r->sum.good;
    others.soft = r->sum.soft;
    others.hard = r->sum.hard;
    if (const auto own = r->by_server.find(server); own != r->by_server.end()) {
      others.good = std::max(0.0, others.good - own->second.good);
      others.soft = std::max(0.0, others.soft - own->second.soft);
      others.hard = std::max(0.0, others.hard - own->second.hard);
    }
  }
  const double n = others.good + others.soft + others.hard + prior_attempts;
  const auto rate = [n](double errors, double min_rate) {
    return std::clamp((errors + min_rate * prior_attempts) / n, min_rate, max_rate / 1.5);
  };
  return {rate(others.soft, min_soft_rate), rate(others.hard, min_hard_rate)};
}

double evidence_pool::good_score(std::string_view route, std::string_view server) const {
  const auto baseline = baseline_rates(route, server).soft;
  return std::log((1 - bad_rate(baseline, bad_soft_rate)) / (1 - baseline));
}

double evidence_pool::soft_error_score(std::string_view route, std::string_view server) const {
  const auto baseline = baseline_rates(route, server).soft;
  return std::log(bad_rate(baseline, bad_soft_rate) / baseline);
}

double evidence_pool::hard_error_score(std::string_view route, std::string_view server) const {
  const auto baseline = baseline_rates(route, server).hard;
  return std::log(bad_rate(baseline, bad_hard_rate) / baseline);
}

void evidence_pool::decay(base::duration elapsed) {
  const auto factor =
      static_cast<float>(std::exp2(-base::to_seconds(elapsed) / base::to_seconds(half_life)));
  const auto shrink = [factor](counts& c) {
    for (std::size_t i = 0; i < c.total.size(); ++i) {
      c.first_byte[i] *= factor;
      c.total[i] *= factor;
    }
    c.good *= factor;
    c.soft *= factor;
    c.hard *= factor;
  };
  for (auto& [name, r] : routes_) {
    shrink(r.sum);
    for (auto& [server, c] : r.by_server) {
      shrink(c);
    }
  }
  std::erase_if(routes_, [](const auto& item) {
    const auto& c = item.second.sum;
    return c.good + c.soft + c.hard < 0.01;
  });
}

void evidence_pool::forget(std::string_view server) {
  for (auto& [name, r] : routes_) {
    const auto it = r.by_server.find(server);
    if (it == r.by_server.end()) {
      continue;
    }
    const auto& c = it->second;
    for (std::size_t i = 0; i < c.total.size(); ++i) {
      r.sum.first_byte[i] = std::max(0.0F, r.sum.first_byte[i] - c.first_byte[i]);
      r.sum.total[i] = std::max(0.0F, r.sum.total[i] - c.total[i]);
    }
    r.sum.good = std::max(0.0, r.sum.good - c.good);
    r.sum.soft = std::max(0.0, r.sum.soft - c.soft);
    r.sum.hard = std::max(0.0, r.sum.hard - c.hard);
    r.by_server.erase(it);
  }
}

double evidence_pool::weight() const noexcept {
  double n = 0;
  for (const auto& [name, r] : routes_) {
    n += r.sum.good + r.sum.soft + r.sum.hard;
  }
  return n;
}

base::duration evidence_pool::median_total() const {
  histogram all{};
  double n = 0;
  for (const auto& [name, r] : routes_) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      all[i] += r.sum.total[i];
      n += r.sum.total[i];
    }
  }
  double seen = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < all.size() && (seen += all[bucket]) < n / 2) {
    ++bucket;
  }
  return n < 1 ? base::duration{}
               : base::from_seconds(std::exp2(static_cast<double>(bucket) / 2) / 1e6);
}

} // namespace kingcupshunt::health
