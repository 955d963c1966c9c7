#pragma once

#include <array>
#include <cstdint>

namespace kingcupshunt::admission {

/// Running estimate of one quantile by the P-square algorithm (Jain and Chlamtac, 1985): five
/// markers, constant memory and cost.
class quantile_estimate {
public:
  explicit quantile_estimate(double quantile = 0.95);

  void add(double value);

  /// The estimate; the maximum of the values while there are fewer than five, 0 when none.
  double value() const noexcept;
  std::uint64_t count() const noexcept { return count_; }

private:
  double parabolic(std::size_t i, double step) const noexcept;
  double linear(std::size_t i, int step) const noexcept;

  static constexpr std::size_t markers = 5;
  std::uint64_t count_ = 0;
  std::array<double, markers> heights_{};
  std::array<double, markers> positions_{1, 2, 3, 4, 5};
  std::array<double, markers> desired_{};
  std::array<double, markers> steps_{};
};

} // namespace kingcupshunt::admission
