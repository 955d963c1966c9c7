// Evacuations of data centres, as a control instance tells the entries of them.

#include "kingcupshunt/fleet/control_core.h"

namespace kingcupshunt::fleet {

/// A reopened log applies its entries again, so older sets are ignored.
void control_core::on_evacuations(const evacuation_set& evacuations) {
  if (evacuations.number > evacuations_.number) {
    evacuations_ = evacuations;
  }
}

/// Not called from `on_evacuations`, so that a restart, which applies all entries of the log,
/// announces the last set only.
void control_core::announce_evacuations() {
  if (announced_evacuations_.number == evacuations_.number) {
    return;
  }
  log("evacuations_changed", "number=" + std::to_string(evacuations_.number) +
                                 " data_centres=" + evacuations_.describe() +
                                 " before=" + announced_evacuations_.describe());
  announced_evacuations_ = evacuations_;
  notify_entries();
}

} // namespace kingcupshunt::fleet
