#include "kingcupshunt/fleet/packed_document.h"

#include "kingcupshunt/base/compression.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/config/record_blocks.h"

namespace kingcupshunt::fleet {

namespace {

// Incompressible content grows by less than this.
constexpr std::size_t compression_overhead = 64U << 10U;

} // namespace

packed_document pack_document(std::uint64_t version, std::uint64_t base,
                              std::span<const config::record> records) {
  const auto content = config::pack_blocks(records);
  packed_document out{version, base, content.size(), base::compress(content), {}};
  out.hash = hash_of(out);
  return out;
}

std::string hash_of(const packed_document& document) {
  auto input = std::to_string(document.version) + ' ' + std::to_string(document.base) + ' ' +
               std::to_string(document.content_size) + '\n';
  input += document.bytes;
  return std::string(base::bytes_of(base::sha256(input)));
}

bool is_receivable(std::uint64_t size, std::uint64_t content_size) noexcept {
  return content_size <= max_document_bytes && size <= max_document_bytes + compression_overhead;
}

std::optional<std::string> unpack_document(const packed_document& document) {
  if (!is_receivable(document.bytes.size(), document.content_size) ||
      hash_of(document) != document.hash) {
    return std::nullopt;
  }
  return base::decompress(document.bytes, document.content_size);
}

} // namespace kingcupshunt::fleet
