#include "kingcupshunt/admission/crash_history.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::admission {

bool crash_history::is_expired(const crash_record& m, base::time_point now) const {
  const auto limit =
      m.servers.size() >= settings_.min_servers ? settings_.refusal_time : settings_.retention;
  return now - m.at > limit;
}

void crash_history::record_closed(std::uint64_t fingerprint, std::string_view server,
                                  base::time_point now) {
  if (fingerprint == 0) {
    return;
  }
  if (records_.size() >= settings_.max_requests && !records_.contains(fingerprint)) {
    const auto oldest =
        std::ranges::min_element(records_, {}, [](const auto& item) { return item.second.at; });
    records_.erase(oldest);
  }
  auto& m = records_[fingerprint];
  if (is_expired(m, now)) {
    m.servers.clear();
  }
  m.servers.emplace(server);
  m.at = now;
}

void crash_history::record_answered(std::uint64_t fingerprint, base::time_point now) {
  records_.erase(fingerprint);
  if (now >= period_end_) {
    answered_previously_ = std::exchange(answered_, {});
    period_end_ = now + settings_.answer_retention;
  }
  if (answered_.size() < settings_.max_requests) {
    answered_.insert(fingerprint);
  }
}

std::size_t crash_history::min_servers_of(std::uint64_t fingerprint) const {
  const bool was_answered =
      answered_.contains(fingerprint) || answered_previously_.contains(fingerprint);
  return was_answered ? settings_.min_servers_after_answer : settings_.min_servers;
}

bool crash_history::is_suspect(std::uint64_t fingerprint, base::time_point now) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() && it->second.servers.size() >= min_servers_of(fingerprint) &&
         !is_expired(it->second, now);
}

void crash_history::expire(base::time_point now) {
  std::erase_if(records_, [&](const auto& item) { return is_expired(item.second, now); });
}

} // namespace kingcupshunt::admission
