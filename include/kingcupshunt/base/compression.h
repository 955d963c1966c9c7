#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupshunt::base {

/// Compresses `content` in the zlib format. Equal contents give equal bytes in one build.
/// Throws std::runtime_error when the library fails.
std::string compress(std::string_view content);

/// Content of `compressed`, which must have exactly `size` bytes. Empty when it does not or when
/// `compressed` is damaged; no more than `size` bytes are allocated.
std::optional<std::string> decompress(std::string_view compressed, std::size_t size);

} // namespace kingcupshunt::base
