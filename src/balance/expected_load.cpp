#include "kingcupshunt/balance/expected_load.h"

#include <algorithm>
#include <limits>

namespace kingcupshunt::balance {

namespace {

/// Halves the interval of the level to less than a millionth, well below the random part of costs.
constexpr int max_bisections = 20;
/// Options of equal cost share the choice also when hardly any request is expected.
constexpr double min_expected = 0.01;

/// Requests that fit below `level`, the cost to which the servers are filled.
double requests_below(std::span<const load_option> options, double level) {
  double out = 0;
  for (const auto& o : options) {
    out += std::max(0.0, level - o.cost) / o.step;
  }
  return out;
}

} // namespace

std::size_t choose_by_expected_load(std::span<const load_option> options, double expected,
                                    double draw) {
  double lowest = std::numeric_limits<double>::max();
  double least_step = std::numeric_limits<double>::max();
  double greatest_step = 0;
  for (const auto& o : options) {
    lowest = std::min(lowest, o.cost);
    least_step = std::min(least_step, o.step);
    greatest_step = std::max(greatest_step, o.step);
  }
  const double wanted = std::max(expected, min_expected);
  // The cheapest server alone reaches the upper level with all requests.
  double from = lowest;
  double to = lowest + wanted * greatest_step;
  for (int i = 0; i < max_bisections && to - from > least_step * min_expected / 2; ++i) {
    const double middle = (from + to) / 2;
    (requests_below(options, middle) < wanted ? from : to) = middle;
  }
  double left = draw * requests_below(options, to);
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < options.size(); ++i) {
    const double part = std::max(0.0, to - options[i].cost) / options[i].step;
    if (part <= 0) {
      continue;
    }
    chosen = i; // rounding may leave a rest after the last part
    if (left < part) {
      break;
    }
    left -= part;
  }
  return chosen;
}

} // namespace kingcupshunt::balance
