#include "kingcupshunt/admission/quantile_estimate.h"

#include <algorithm>

namespace kingcupshunt::admission {

quantile_estimate::quantile_estimate(double quantile) {
  desired_ = {1, 1 + 2 * quantile, 1 + 4 * quantile, 3 + 2 * quantile, 5};
  steps_ = {0, quantile / 2, quantile, (1 + quantile) / 2, 1};
}

double quantile_estimate::parabolic(std::size_t i, double step) const noexcept {
  const auto& q = heights_;
  const auto& n = positions_;
  return q[i] + step / (n[i + 1] - n[i - 1]) *
                    ((n[i] - n[i - 1] + step) * (q[i + 1] - q[i]) / (n[i + 1] - n[i]) +
                     (n[i + 1] - n[i] - step) * (q[i] - q[i - 1]) / (n[i] - n[i - 1]));
}

double quantile_estimate::linear(std::size_t i, int step) const noexcept {
  const auto j = step > 0 ? i + 1 : i - 1;
  return heights_[i] + step * (heights_[j] - heights_[i]) / (positions_[j] - positions_[i]);
}

void quantile_estimate::add(double value) {
  if (count_ < markers) {
    heights_[count_++] = value;
    std::sort(heights_.begin(), heights_.begin() + static_cast<std::ptrdiff_t>(count_));
    return;
  }
  ++count_;
  std::size_t cell = 0;
  if (value < heights_[0]) {
    heights_[0] = value;
  } else if (value >= heights_[4]) {
    heights_[4] = value;
    cell = 3;
  } else {
    while (cell < 3 && value >= heights_[cell + 1]) {
      ++cell;
    }
  }
  for (std::size_t i = cell + 1; i < markers; ++i) {
    positions_[i] += 1;
  }
  for (std::size_t i = 0; i < markers; ++i) {
    desired_[i] += steps_[i];
  }
  for (std::size_t i = 1; i + 1 < markers; ++i) {
    const double off = desired_[i] - positions_[i];
    const bool is_up = off >= 1 && positions_[i + 1] - positions_[i] > 1;
    const bool is_down = off <= -1 && positions_[i - 1] - positions_[i] < -1;
    if (!is_up && !is_down) {
      continue;
    }
    const int step = is_up ? 1 : -1;
    const double next = parabolic(i, step);
    heights_[i] = heights_[i - 1] < next && next < heights_[i + 1] ? next : linear(i, step);
    positions_[i] += step;
  }
}

double quantile_estimate::value() const noexcept {
  if (count_ == 0) {
    return 0;
  }
  return count_ < markers ? heights_[count_ - 1] : heights_[2];
}

} // namespace kingcupshunt::admission
