#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/health/evidence.h"

namespace kingcupshunt::health {

/// Recent attempts of all servers of one service by route: what is usual. Scores are logarithms of
/// likelihood ratios or of test martingales against the other servers of the same route: positive
/// speaks for a bad server, negative for a good one, and exp(sum) exceeds exp(h) for a server like
/// the others with a probability of at most exp(-h).
class evidence_pool {
public:
  void add_good(std::string_view route, std::string_view server, std::uint8_t first_byte,
                std::uint8_t total);
  void add_errors(std::string_view route, std::string_view server, std::uint32_t soft,
                  std::uint32_t hard);

  /// Score of a good attempt's latency; the worse of time to first byte and whole time.
  double latency_score(std::string_view route, std::string_view server, std::uint8_t first_byte,
                       std::uint8_t total) const;
  /// Score of an attempt without an end after this time; never negative.
  double open_score(std::string_view route, std::string_view server, std::uint8_t age) const;
  /// Score of an answer without error.
  double good_score(std::string_view route, std::string_view server) const;
  double soft_error_score(std::string_view route, std::string_view server) const;
  double hard_error_score(std::string_view route, std::string_view server) const;

  /// Halves the weight of old attempts with `half_life`. Call about once a second.
  void decay(base::duration elapsed);
  void forget(std::string_view server);

  /// Attempts in the pool, by their present weight.
  double weight() const noexcept;
  /// Median whole time of good attempts over all routes.
  base::duration median_total() const;

  static constexpr base::seconds half_life{15};

private:
  using histogram = std::array<float, latency_buckets>;
  struct counts {
    histogram first_byte{};
    histogram total{};
    double good = 0;
    double soft = 0;
    double hard = 0;
  };
  struct route_counts {
    counts sum;
    std::map<std::string, counts, std::less<>> by_server;
  };
  struct rates {
    double soft = 0; ///< usual rate of error answers
    double hard = 0;
  };

  counts& find_or_add_server(std::string_view route, std::string_view server);
  route_counts& find_or_add_route(std::string_view route);
  const route_counts* find_route(std::string_view route) const;
  rates baseline_rates(std::string_view route, std::string_view server) const;
  static double tail_score(const histogram& sum, const histogram* own, std::uint8_t bucket);

  std::map<std::string, route_counts, std::less<>> routes_;
};

} // namespace kingcupshunt::health
