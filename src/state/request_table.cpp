#include "kingcupshunt/state/request_table.h"

#include <utility>

namespace kingcupshunt::state {

const command_result* request_table::find(const std::string& id, std::uint64_t content,
                                          bool& is_other) const {
  const auto it = answers_.find(id);
  if (it == answers_.end()) {
    return nullptr;
  }
  is_other = it->second.content != content;
  return &it->second.answer;
}

void request_table::keep(const std::string& id, std::uint64_t content, command_result answer,
                         std::uint64_t now_ms) {
  order_.emplace_back(now_ms, id);
  answers_.insert_or_assign(id, record{id, content, now_ms, std::move(answer)});
}

void request_table::expire(std::uint64_t now_ms) {
  while (!order_.empty() && order_.front().first + settings_.retention_ms <= now_ms) {
    answers_.erase(order_.front().second);
    order_.pop_front();
  }
}

std::vector<request_table::record> request_table::save() const {
  std::vector<record> out;
  out.reserve(order_.size());
  for (const auto& [time_ms, id] : order_) {
    out.push_back(answers_.at(id));
  }
  return out;
}

void request_table::load(std::vector<record> records) {
  answers_.clear();
  order_.clear();
  for (auto& r : records) {
    order_.emplace_back(r.time_ms, r.id);
    auto id = r.id;
    answers_.insert_or_assign(std::move(id), std::move(r));
  }
}

} // namespace kingcupshunt::state
