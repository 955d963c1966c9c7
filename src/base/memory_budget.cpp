#include "kingcupshunt/base/memory_budget.h"

#include <utility>

namespace kingcupshunt::base {

memory_budget::lease::lease(std::shared_ptr<std::size_t> used, std::size_t size)
    : used_(std::move(used)), size_(size) {
  *used_ += size_;
}

memory_budget::lease::lease(lease&& other) noexcept
    : used_(std::move(other.used_)), size_(std::exchange(other.size_, 0)) {}

memory_budget::lease& memory_budget::lease::operator=(lease&& other) noexcept {
  std::swap(used_, other.used_);
  std::swap(size_, other.size_);
  return *this;
}

memory_budget::lease::~lease() {
  if (used_) {
    *used_ -= size_;
  }
}

memory_budget::memory_budget(std::size_t limit_bytes) : limit_(limit_bytes) {}

memory_budget::lease memory_budget::take(std::size_t bytes) {
  const bool has_room = *used_ <= limit_ && bytes <= limit_ - *used_;
  return has_room ? lease(used_, bytes) : lease();
}

memory_budget::lease memory_budget::take_some(std::size_t wanted, std::size_t least) {
  auto out = take(wanted);
  return out.size() > 0 ? std::move(out) : lease(used_, least);
}

bool memory_budget::extend(lease& of, std::size_t bytes) {
  if (bytes <= of.size()) {
    return true;
  }
  const auto more = bytes - of.size();
  if (*used_ > limit_ || more > limit_ - *used_) {
    return false;
  }
  *used_ += more;
  of.used_ = used_;
  of.size_ = bytes;
  return true;
}

void memory_budget::reduce(lease& of, std::size_t bytes) noexcept {
  if (bytes < of.size()) {
    *used_ -= of.size() - bytes;
    of.size_ = bytes;
  }
}

} // namespace kingcupshunt::base
