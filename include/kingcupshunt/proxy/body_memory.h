#pragma once

#include <cstddef>
#include <memory>

namespace kingcupshunt::proxy {

/// Bounds the memory for the bodies of all answers that are on their way through an entry.
class body_memory {
public:
  explicit body_memory(std::size_t limit_bytes);

  /// A share of the memory, given back on destruction. May outlive the body_memory.
  class lease {
  public:
    lease() = default;
    lease(lease&& other) noexcept;
    lease& operator=(lease&& other) noexcept;
    ~lease();

    std::size_t size() const noexcept { return size_; } ///< bytes; 0: nothing was granted

  private:
    friend class body_memory;
    lease(std::shared_ptr<std::size_t> used, std::size_t size);

    std::shared_ptr<std::size_t> used_;
    std::size_t size_ = 0;
  };

  /// Grants all of `bytes`, or nothing when less is left.
  lease take(std::size_t bytes);

  /// Grants `wanted` bytes, or `least` when less is left: an answer that has begun must go on. The
  /// limit is exceeded by `least` for each such answer.
  lease take_some(std::size_t wanted, std::size_t least);

  std::size_t used() const noexcept { return *used_; }

private:
  std::size_t limit_;
  std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

} // namespace kingcupshunt::proxy
