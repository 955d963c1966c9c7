#pragma once

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

// Counts what a test program allocates with `new`: sanitizers and malloc report different figures
// for the same use. Replaces the allocation functions of the whole program, so that only one of its
// files may include this.

namespace kingcupshunt::testing {

inline std::atomic<std::size_t> live_bytes{0};
inline std::atomic<std::size_t> peak_bytes{0};

inline void* allocate(std::size_t n) {
  void* p = std::malloc(n == 0 ? 1 : n);
  if (p == nullptr) {
    throw std::bad_alloc();
  }
  const auto now = live_bytes += ::malloc_usable_size(p);
  auto before = peak_bytes.load();
  while (now > before && !peak_bytes.compare_exchange_weak(before, now)) {
  }
  return p;
}

inline void release(void* p) noexcept {
  if (p != nullptr) {
    live_bytes -= ::malloc_usable_size(p);
    std::free(p);
  }
}

/// Bytes that are allocated and not freed yet.
inline std::size_t heap_bytes() noexcept {
  return live_bytes;
}

/// Greatest value of heap_bytes() since the last call of reset_heap_peak.
inline std::size_t heap_peak_bytes() noexcept {
  return peak_bytes;
}

inline void reset_heap_peak() noexcept {
  peak_bytes = live_bytes.load();
}

} // namespace kingcupshunt::testing

void* operator new(std::size_t n) {
  return kingcupshunt::testing::allocate(n);
}
void* operator new[](std::size_t n) {
  return kingcupshunt::testing::allocate(n);
}
void* operator new(std::size_t n, const std::nothrow_t&) noexcept {
  try {
    return kingcupshunt::testing::allocate(n);
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
}
void* operator new[](std::size_t n, const std::nothrow_t&) noexcept {
  return operator new(n, std::nothrow);
}
void operator delete(void* p) noexcept {
  kingcupshunt::testing::release(p);
}
void operator delete[](void* p) noexcept {
  kingcupshunt::testing::release(p);
}
void operator delete(void* p, std::size_t) noexcept {
  kingcupshunt::testing::release(p);
}
void operator delete[](void* p, std::size_t) noexcept {
  kingcupshunt::testing::release(p);
}
