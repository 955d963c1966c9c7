#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/base/memory_budget.h"

namespace kingcupshunt::proxy {

/// Bounds the bytes that callers make the entry hold, in total and for each address, workspace and
/// route. Not thread-safe.
class caller_memory {
public:
  /// Bodies and further pipelined requests leave room for connections that send a first head, and
  /// connections leave room for bodies.
  enum class use : std::uint8_t {
    connection, ///< while all connections together hold up to half of the budget
    body,       ///< while the budget is used up to three quarters
    head        ///< while anything is left
  };

  using counter = std::shared_ptr<std::size_t>;

  /// The address, workspace and route on whose behalf memory is held.
  using holders = std::vector<counter>;

  /// `single_share` is the part that one address, workspace or route may hold.
  caller_memory(std::size_t limit_bytes, double single_share);

  /// Memory of some holders, given back on destruction.
  class lease {
  public:
    lease() = default;
    explicit lease(holders of) : holders_(std::move(of)) {}
    lease(lease&& other) noexcept;
    lease& operator=(lease&& other) noexcept;
    ~lease();

    std::size_t size() const noexcept { return total_.size(); }

  private:
    friend class caller_memory;
    base::memory_budget::lease total_;
    holders holders_;
  };

  /// An empty lease for a connection of `address`.
  lease connection_lease(std::string_view address);

  /// The counter of an address, workspace or route; `kind` tells these apart.
  counter counter_of(char kind, std::string_view name);

  /// Raises `of` to `bytes`. Returns false and leaves it unchanged when there is not enough; `lack`
  /// then says whose share is used up, null: the budget.
  bool extend(lease& of, std::size_t bytes, use purpose, counter* lack = nullptr);

  /// Raises `of` to `bytes` although the budget may be used up: other memory is being given back.
  void force(lease& of, std::size_t bytes);

  /// Lowers `of` to `bytes`.
  void shrink(lease& of, std::size_t bytes) noexcept;

  /// Forgets addresses, workspaces and routes that hold nothing.
  void forget_unused();

  std::size_t used() const noexcept { return budget_.used(); }
  std::size_t limit() const noexcept { return limit_; }

private:
  bool has_room(std::size_t more, use purpose) const noexcept;

  std::size_t limit_;
  std::size_t single_limit_;
  base::memory_budget budget_;
  counter connections_ = std::make_shared<std::size_t>(0); ///< held by all connections
  std::unordered_map<std::string, std::weak_ptr<std::size_t>> counters_;
};

} // namespace kingcupshunt::proxy
