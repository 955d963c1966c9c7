#include "kingcupshunt/state/reservation_table.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::state {

namespace {

command_result result_of(outcome code) {
  command_result out;
  out.code = code;
  return out;
}

} // namespace

reservation_table::record_key reservation_table::key_of(const std::string& workspace,
                                                        const std::string& key) {
  // The length keeps ("a", "bc") and ("ab", "c") apart.
  const auto digest = base::sha256(std::to_string(workspace.size()) + ":" + workspace + key);
  record_key out{};
  std::memcpy(out.data(), digest.data(), sizeof out);
  return out;
}

void reservation_table::put(const record_key& key, record r) {
  r.order = next_order_++;
  (r.state == phase::released ? released_ : live_).push_back({r.time_ms, r.order, key});
  records_.insert_or_assign(key, r);
}

command_result reservation_table::apply(const reserve& c, std::uint64_t now_ms) {
  const auto key = key_of(c.workspace, c.key);
  const auto it = records_.find(key);
  if (it == records_.end()) {
    if (records_.size() >= settings_.max_records) {
      return result_of(outcome::full);
    }
    put(key, {c.fingerprint, c.attempt, now_ms, 0, phase::reserved});
    return result_of(outcome::granted);
  }
  auto& r = it->second;
  if (r.state == phase::released) {
    if (r.attempt == c.attempt) {
      return result_of(outcome::released);
    }
    put(key, {c.fingerprint, c.attempt, now_ms, 0, phase::reserved});
    return result_of(outcome::granted);
  }
  if (r.fingerprint != c.fingerprint) {
    return result_of(outcome::differs);
  }
  if (r.state == phase::reserved && r.attempt == c.attempt) {
    return result_of(outcome::granted); // a resend of the attempt that holds the key
  }
  auto out = result_of(r.state == phase::done ? outcome::done : outcome::may_have_run);
  out.age_ms = now_ms - r.time_ms;
  if (const auto kept = answers_.find(key); kept != answers_.end()) {
    out.has_answer = true;
    out.answer = kept->second;
  }
  return out;
}

command_result reservation_table::apply(const complete& c, std::uint64_t) {
  const auto key = key_of(c.workspace, c.key);
  const auto it = records_.find(key);
  if (it == records_.end() || it->second.attempt != c.attempt ||
      it->second.state == phase::released) {
    return result_of(outcome::not_reserved);
  }
  if (it->second.state == phase::reserved) {
    it->second.state = phase::done;
    const auto bytes = c.answer.body.size() + c.answer.content_type.size();
    if (c.has_answer && bytes <= settings_.max_body_bytes &&
        answer_bytes_ + bytes <= settings_.max_answer_bytes) {
      answer_bytes_ += bytes;
      answers_.insert_or_assign(key, c.answer);
    }
  }
  return result_of(outcome::done);
}

command_result reservation_table::apply(const release& c, std::uint64_t now_ms) {
  const auto key = key_of(c.workspace, c.key);
  const auto it = records_.find(key);
  if (it == records_.end()) {
    // The reserve of this attempt may still come; it must not be granted then.
    if (records_.size() >= settings_.max_records) {
      return result_of(outcome::full);
    }
    put(key, {0, c.attempt, now_ms, 0, phase::released});
    return result_of(outcome::released);
  }
  if (it->second.attempt != c.attempt || it->second.state == phase::done) {
    return result_of(outcome::not_reserved);
  }
  if (it->second.state == phase::reserved) {
    put(key, {0, c.attempt, now_ms, 0, phase::released});
  }
  return result_of(outcome::released);
}

void reservation_table::drop_due(std::deque<due>& queue, std::uint64_t now_ms,
                                 std::uint64_t retention_ms, bool is_released) {
  while (!queue.empty() && queue.front().time_ms + retention_ms <= now_ms) {
    const auto& d = queue.front();
    const auto it = records_.find(d.key);
    if (it != records_.end() && it->second.order == d.order &&
        (it->second.state == phase::released) == is_released) {
      if (const auto kept = answers_.find(d.key); kept != answers_.end()) {
        answer_bytes_ -= kept->second.body.size() + kept->second.content_type.size();
        answers_.erase(kept);
      }
      records_.erase(it);
    }
    queue.pop_front();
  }
}

void reservation_table::expire(std::uint64_t now_ms) {
  drop_due(live_, now_ms, settings_.retention_ms, false);
  drop_due(released_, now_ms, settings_.released_retention_ms, true);
}

std::vector<reservation_table::saved_record> reservation_table::save() const {
  std::vector<saved_record> out;
  out.reserve(records_.size());
  for (const auto& [key, r] : records_) {
    saved_record s{std::string(reinterpret_cast<const char*>(key.data()), sizeof key),
                   r.fingerprint,
                   r.attempt,
                   r.time_ms,
                   r.order,
                   static_cast<std::uint8_t>(r.state),
                   false,
                   {}};
    if (const auto kept = answers_.find(key); kept != answers_.end()) {
      s.has_answer = true;
      s.answer = kept->second;
    }
    out.push_back(std::move(s));
  }
  std::ranges::sort(out, {}, &saved_record::order);
  // Numbered anew, so that equal tables give equal bytes whatever expired before.
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].order = i + 1;
  }
  return out;
}

void reservation_table::load(std::vector<saved_record> records) {
  records_.clear();
  answers_.clear();
  live_.clear();
  released_.clear();
  answer_bytes_ = 0;
  next_order_ = 1;
  for (auto& s : records) {
    record_key key{};
    std::memcpy(key.data(), s.key.data(), std::min(sizeof key, s.key.size()));
    const auto state = static_cast<phase>(s.state);
    records_[key] = {s.fingerprint, s.attempt, s.time_ms, s.order, state};
    (state == phase::released ? released_ : live_).push_back({s.time_ms, s.order, key});
    if (s.has_answer) {
      answer_bytes_ += s.answer.body.size() + s.answer.content_type.size();
      answers_[key] = std::move(s.answer);
    }
    next_order_ = s.order + 1;
  }
}

} // namespace kingcupshunt::state
