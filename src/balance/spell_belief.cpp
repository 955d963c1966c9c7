#include "kingcupshunt/balance/spell_belief.h"

#include <algorithm>
#include <cmath>

namespace kingcupshunt::balance {

namespace {

/// A single outcome can always move the belief again.
constexpr double least_belief = 0.002;
constexpr double greatest_belief = 0.99;
/// Evidence this close to the usual share has faded.
constexpr double negligible = 0.001;

} // namespace

void spell_belief::note(double odds, const spell_settings& settings, base::time_point now) {
  const double before = spell(settings, now);
  const double after = before * odds / (before * odds + 1 - before);
  spell_ = std::clamp(after, least_belief, greatest_belief);
  at_ = now;
}

double spell_belief::spell(const spell_settings& settings, base::time_point now) const {
  const double usual = settings.usual_share;
  const double distance = spell_ - usual;
  if (spell_ < 0 || now <= at_ || std::abs(distance) < negligible) {
    return spell_ < 0 ? usual : spell_;
  }
  return usual +
         distance * std::exp(-base::to_seconds(now - at_) / base::to_seconds(settings.memory));
}

} // namespace kingcupshunt::balance
