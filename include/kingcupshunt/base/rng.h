#pragma once

#include <cstdint>
#include <random>

namespace kingcupshunt::base {

/// Seeded generator; a core that is given the same seed and inputs decides the same.
class rng {
public:
  explicit rng(std::uint64_t seed) : engine_(seed) {}

  /// Uniform in [0, n). Returns 0 when n is 0.
  std::uint64_t below(std::uint64_t n) {
    return n == 0 ? 0 : std::uniform_int_distribution<std::uint64_t>(0, n - 1)(engine_);
  }

  /// Uniform in [0, 1).
  double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

private:
  std::mt19937_64 engine_;
};

} // namespace kingcupshunt::base
