#include "kingcupshunt/rates/permit_issuer.h"

#include <algorithm>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/rates/server_limit.h"

namespace kingcupshunt::rates {

bool permit_issuer::set_limit(std::string_view server, std::optional<double> per_second,
                              base::time_point now) {
  const auto it = servers_.find(server);
  if (per_second) {
    per_second = limit_in_force(*per_second);
  }
  if (!per_second) {
    if (it == servers_.end()) {
      return false;
    }
    servers_.erase(it);
    return true;
  }
  if (it != servers_.end()) {
    const bool is_changed = it->second.per_second != *per_second;
    it->second.per_second = *per_second;
    return is_changed;
  }
  // The turns of different servers begin at different recipients, so that servers which begin to
  // limit their rate together do not all give their first permits to one instance.
  servers_[std::string(server)] = {*per_second, 0, now, base::hash64(server)};
  return true;
}

std::vector<issued_permit>
permit_issuer::issue(const std::function<permit_recipients(std::string_view server)>& recipients_of,
                     base::time_point now) {
  std::vector<issued_permit> out;
  for (auto& [id, s] : servers_) {
    const auto recipients = recipients_of(id);
    const double rate = std::max(s.per_second, settings_.min_rate) * recipients.share;
    s.level += rate * base::to_seconds(now - s.at);
    s.level = std::min(s.level, 1.0 + rate * base::to_seconds(settings_.max_accrual));
    s.at = now;
    const auto n = recipients.ids.size();
    const std::size_t free = n == 0 ? 0 : static_cast<std::size_t>(s.level);
    for (std::size_t i = 0; i < std::min(n, free); ++i) {
      const auto permits = free / n + (i < free % n ? 1 : 0);
      out.push_back({recipients.ids[(s.turn + i) % n], id, static_cast<std::uint32_t>(permits)});
    }
    s.turn += free;
    s.level -= static_cast<double>(free);
  }
  return out;
}

std::map<std::string, double, std::less<>> permit_issuer::limits() const {
  std::map<std::string, double, std::less<>> out;
  for (const auto& [id, s] : servers_) {
    out.emplace(id, s.per_second);
  }
  return out;
}

} // namespace kingcupshunt::rates
