#include "kingcupshunt/consensus/log.h"

#include <utility>

namespace kingcupshunt::consensus {

log::log(log_position base, std::vector<entry> entries) : base_(base) {
  for (auto& e : entries) {
    append(std::move(e));
  }
}

std::uint64_t log::last_term() const noexcept {
  return entries_.empty() ? base_.term : entries_.back().term;
}

std::optional<std::uint64_t> log::term_at(std::uint64_t index) const noexcept {
  if (index == base_.index) {
    return base_.term;
  }
  if (index < base_.index || index > last_index()) {
    return std::nullopt;
  }
  return at(index).term;
}

const entry& log::at(std::uint64_t index) const noexcept {
  return entries_[index - base_.index - 1];
}

std::vector<entry> log::slice(std::uint64_t index, std::size_t max_bytes) const {
  // Bound on entries of an append: small payloads still cost about 40 bytes each on the wire.
  constexpr std::size_t entry_overhead = 64;
  std::vector<entry> out;
  std::size_t total = 0;
  for (; index <= last_index(); ++index) {
    const auto& e = at(index);
    total += e.payload.size() + entry_overhead;
    if (!out.empty() && total > max_bytes) {
      break;
    }
    out.push_back(e);
  }
  return out;
}

void log::append(entry e) {
  bytes_ += e.payload.size();
  entries_.push_back(std::move(e));
}

void log::truncate_from(std::uint64_t index) {
  while (!entries_.empty() && last_index() >= index) {
    bytes_ -= entries_.back().payload.size();
    entries_.pop_back();
  }
}

void log::compact_to(std::uint64_t index) {
  while (!entries_.empty() && base_.index < index) {
    base_ = {entries_.front().index, entries_.front().term};
    bytes_ -= entries_.front().payload.size();
    entries_.pop_front();
  }
}

void log::reset(log_position base) {
  base_ = base;
  entries_.clear();
  bytes_ = 0;
}

} // namespace kingcupshunt::consensus
