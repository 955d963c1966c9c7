#include "kingcupshunt/base/compression.h"

#include <stdexcept>

#include <zlib.h>

namespace kingcupshunt::base {

namespace {

const Bytef* bytes_of(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::string compress(std::string_view content) {
  auto n = ::compressBound(static_cast<uLong>(content.size()));
  std::string out(n, '\0');
  // Names and members repeat so often that the fastest level already removes most of the bytes.
  const auto status = ::compress2(reinterpret_cast<Bytef*>(out.data()), &n, bytes_of(content),
                                  static_cast<uLong>(content.size()), Z_BEST_SPEED);
  if (status != Z_OK) {
    throw std::runtime_error("zlib failed to compress");
  }
  out.resize(n);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t size) {
  std::string out(size, '\0');
  auto n = static_cast<uLongf>(size);
  auto read = static_cast<uLong>(compressed.size());
  const auto status =
      ::uncompress2(reinterpret_cast<Bytef*>(out.data()), &n, bytes_of(compressed), &read);
  if (status != Z_OK || n != size || read != compressed.size()) {
    return std::nullopt;
  }
  return out;
}

} // namespace kingcupshunt::base
