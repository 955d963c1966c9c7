#pragma once

#include <cstddef>
#include <span>

namespace kingcupshunt::balance {

/// A server that may be chosen.
struct load_option {
  double cost = 0; ///< of the next request there, by the last load reports
  double step = 1; ///< by which each further request there raises the cost, above 0
};

/// Chooses among servers whose load reports are old.
///
/// All instances hold the same reports and choose at the same time, so that the server that looks
/// cheapest gets the requests of all of them until the next report. This distributes the
/// `expected` requests that all instances together start meanwhile so that the costs of the servers
/// used become equal, and chooses a server with the probability of its part.
///
/// `expected`: number of requests, at least 0; 0 chooses a cheapest option. `draw`: uniform in
/// [0, 1). Returns the index of an option. `options` must not be empty.
std::size_t choose_by_expected_load(std::span<const load_option> options, double expected,
                                    double draw);

} // namespace kingcupshunt::balance
