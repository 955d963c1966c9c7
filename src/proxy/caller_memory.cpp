#include "caller_memory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kingcupshunt::proxy {

caller_memory::lease::lease(lease&& other) noexcept
    : total_(std::move(other.total_)), holders_(std::exchange(other.holders_, {})) {}

caller_memory::lease& caller_memory::lease::operator=(lease&& other) noexcept {
  std::swap(total_, other.total_);
  std::swap(holders_, other.holders_);
  return *this;
}

caller_memory::lease::~lease() {
  for (const auto& it : holders_) {
    *it -= total_.size();
  }
}

caller_memory::caller_memory(std::size_t limit_bytes, double single_share)
    : limit_(limit_bytes),
      single_limit_(static_cast<std::size_t>(static_cast<double>(limit_bytes) * single_share)),
      budget_(std::numeric_limits<std::size_t>::max()) {}

bool caller_memory::has_room(std::size_t more, use purpose) const noexcept {
  const auto fits = [more](std::size_t used, std::size_t limit) {
    return used <= limit && more <= limit - used;
  };
  switch (purpose) {
  case use::connection:
    return fits(*connections_, limit_ / 2) && fits(budget_.used(), limit_);
  case use::body:
    return fits(budget_.used(), limit_ / 4 * 3);
  case use::head:
    break;
  }
  return fits(budget_.used(), limit_);
}

caller_memory::lease caller_memory::connection_lease(std::string_view address) {
  return lease(holders{counter_of('a', address), connections_});
}

caller_memory::counter caller_memory::counter_of(char kind, std::string_view name) {
  auto& known = counters_[kind + std::string(name)];
  auto out = known.lock();
  if (!out) {
    out = std::make_shared<std::size_t>(0);
    known = out;
  }
  return out;
}

bool caller_memory::extend(lease& of, std::size_t bytes, use purpose, counter* lack) {
  if (bytes <= of.size()) {
    return true;
  }
  const auto more = bytes - of.size();
  for (const auto& it : of.holders_) {
    const bool has_share = it == connections_ || *it + more <= single_limit_;
    if (!has_share) {
      if (lack != nullptr) {
        *lack = it;
      }
      return false;
    }
  }
  if (!has_room(more, purpose)) {
    if (lack != nullptr) {
      lack->reset();
    }
    return false;
  }
  force(of, bytes);
  return true;
}

void caller_memory::force(lease& of, std::size_t bytes) {
  const auto before = of.size();
  budget_.extend(of.total_, bytes);
  for (const auto& it : of.holders_) {
    *it += of.size() - before;
  }
}

void caller_memory::shrink(lease& of, std::size_t bytes) noexcept {
  const auto before = of.size();
  budget_.reduce(of.total_, bytes);
  for (const auto& it : of.holders_) {
    *it -= before - of.size();
  }
}

void caller_memory::forget_unused() {
  std::erase_if(counters_, [](const auto& it) { return it.second.expired(); });
}

} // namespace kingcupshunt::proxy
