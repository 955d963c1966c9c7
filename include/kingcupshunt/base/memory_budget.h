#pragma once

#include <cstddef>
#include <memory>

namespace kingcupshunt::base {

/// Bounds the sum of memory that many readers hold at the same time. Not thread-safe.
class memory_budget {
public:
  explicit memory_budget(std::size_t limit_bytes);

  /// A share of the memory, given back on destruction. May outlive the memory_budget.
  class lease {
  public:
    lease() = default;
    lease(lease&& other) noexcept;
    lease& operator=(lease&& other) noexcept;
    ~lease();

    std::size_t size() const noexcept { return size_; } ///< bytes; 0: nothing was granted

  private:
    friend class memory_budget;
    lease(std::shared_ptr<std::size_t> used, std::size_t size);

    std::shared_ptr<std::size_t> used_;
    std::size_t size_ = 0;
  };

  /// Grants all of `bytes`, or nothing when less is left.
  lease take(std::size_t bytes);

  /// Grants `wanted` bytes, or `least` when less is left: an answer that has begun must go on. The
  /// limit is exceeded by `least` for each such answer.
  lease take_some(std::size_t wanted, std::size_t least);

  /// Raises `of`, a lease of this budget or an empty one, to `bytes`. Returns whether it has them;
  /// otherwise it is unchanged.
  bool extend(lease& of, std::size_t bytes);

  /// Lowers `of` to `bytes`.
  void reduce(lease& of, std::size_t bytes) noexcept;

  std::size_t used() const noexcept { return *used_; }

private:
  std::size_t limit_;
  std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

} // namespace kingcupshunt::base
