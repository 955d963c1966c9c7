#include "kingcupshunt/observe/decision_ring.h"

#include <chrono>
#include <utility>

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::observe {

void decision_ring::add(decision d) {
  if (d.unix_ms == 0) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    d.unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  log_info("decision", {{"rule", d.rule},
                        {"subject_kind", d.subject_kind},
                        {"subject", d.subject},
                        {"outcome", d.outcome},
                        {"evidence", d.evidence}});
  entries_.push_back(std::move(d));
  if (entries_.size() > capacity_) {
    entries_.pop_front();
  }
}

std::vector<decision> decision_ring::find(std::string_view subject, std::size_t limit) const {
  std::vector<decision> found;
  for (auto it = entries_.rbegin(); it != entries_.rend() && found.size() < limit; ++it) {
    if (subject.empty() || it->subject == subject) {
      found.push_back(*it);
    }
  }
  return found;
}

} // namespace kingcupshunt::observe
