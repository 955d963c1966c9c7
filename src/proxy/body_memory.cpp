#include "kingcupshunt/proxy/body_memory.h"

#include <utility>

namespace kingcupshunt::proxy {

body_memory::lease::lease(std::shared_ptr<std::size_t> used, std::size_t size)
    : used_(std::move(used)), size_(size) {
  *used_ += size_;
}

body_memory::lease::lease(lease&& other) noexcept
    : used_(std::move(other.used_)), size_(std::exchange(other.size_, 0)) {}

body_memory::lease& body_memory::lease::operator=(lease&& other) noexcept {
  std::swap(used_, other.used_);
  std::swap(size_, other.size_);
  return *this;
}

body_memory::lease::~lease() {
  if (used_) {
    *used_ -= size_;
  }
}

body_memory::body_memory(std::size_t limit_bytes) : limit_(limit_bytes) {}

body_memory::lease body_memory::take(std::size_t bytes) {
  const bool has_room = *used_ <= limit_ && bytes <= limit_ - *used_;
  return has_room ? lease(used_, bytes) : lease();
}

body_memory::lease body_memory::take_some(std::size_t wanted, std::size_t least) {
  auto out = take(wanted);
  return out.size() > 0 ? std::move(out) : lease(used_, least);
}

} // namespace kingcupshunt::proxy
