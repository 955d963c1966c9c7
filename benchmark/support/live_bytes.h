#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

/// Counts the bytes that the program holds on the heap. Include in one file of a program only.
namespace kingcupshunt::support {

inline std::size_t live_bytes = 0;

} // namespace kingcupshunt::support

// Not inlined, or g++ takes the pairs of malloc and delete for a mistake.
[[gnu::noinline]] void* operator new(std::size_t n) {
  void* p = std::malloc(n);
  if (p == nullptr) {
    throw std::bad_alloc();
  }
  kingcupshunt::support::live_bytes += malloc_usable_size(p);
  return p;
}

[[gnu::noinline]] void operator delete(void* p) noexcept {
  if (p != nullptr) {
    kingcupshunt::support::live_bytes -= malloc_usable_size(p);
  }
  std::free(p);
}

void operator delete(void* p, std::size_t /*size*/) noexcept {
  operator delete(p);
}
