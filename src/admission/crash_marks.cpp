#include "kingcupshunt/admission/crash_marks.h"

#include <algorithm>
#include <utility>

namespace kingcupshunt::admission {

bool crash_marks::is_due(const mark& m, base::time_point now) const {
  const auto limit = m.servers.size() >= settings_.servers ? settings_.hold : settings_.memory;
  return now - m.at > limit;
}

void crash_marks::note_ended(std::uint64_t fingerprint, std::string_view server,
                             base::time_point now) {
  if (fingerprint == 0) {
    return;
  }
  if (marks_.size() >= settings_.max_requests && !marks_.contains(fingerprint)) {
    const auto oldest =
        std::ranges::min_element(marks_, {}, [](const auto& item) { return item.second.at; });
    marks_.erase(oldest);
  }
  auto& m = marks_[fingerprint];
  if (is_due(m, now)) {
    m.servers.clear();
  }
  m.servers.emplace(server);
  m.at = now;
}

void crash_marks::note_answered(std::uint64_t fingerprint, base::time_point now) {
  marks_.erase(fingerprint);
  if (now >= period_end_) {
    answered_before_ = std::exchange(answered_, {});
    period_end_ = now + settings_.answer_memory;
  }
  if (answered_.size() < settings_.max_requests) {
    answered_.insert(fingerprint);
  }
}

std::size_t crash_marks::limit_of(std::uint64_t fingerprint) const {
  const bool was_answered =
      answered_.contains(fingerprint) || answered_before_.contains(fingerprint);
  return was_answered ? settings_.servers_after_answer : settings_.servers;
}

bool crash_marks::is_suspect(std::uint64_t fingerprint, base::time_point now) const {
  const auto it = marks_.find(fingerprint);
  return it != marks_.end() && it->second.servers.size() >= limit_of(fingerprint) &&
         !is_due(it->second, now);
}

void crash_marks::forget(base::time_point now) {
  std::erase_if(marks_, [&](const auto& item) { return is_due(item.second, now); });
}

} // namespace kingcupshunt::admission
