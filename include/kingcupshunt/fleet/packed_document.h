#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "kingcupshunt/config/records.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::fleet {

/// Greatest text of a document, and greatest packed form of its content, in bytes. Every instance
/// can hold and pass on what stays within it.
inline constexpr std::size_t max_document_bytes = 4U << 20U;

/// Longer texts are parsed beside the event loop.
inline constexpr std::size_t max_inline_text_bytes = 64U << 10U;

/// Greatest part of a packed document in one message: a tenth of a second on a link of 5 Mbit/s, so
/// that other messages do not wait for long.
inline constexpr std::size_t document_piece_bytes = 64U << 10U;
static_assert(document_piece_bytes < peer::max_body_bytes / 2);

/// A document, or the changes between two, in the form in which it is sent piece by piece.
struct packed_document {
  std::uint64_t version = 0;
  std::uint64_t base = 0;       ///< version to which the changes apply; 0: the whole document
  std::size_t content_size = 0; ///< bytes before compression
  std::string bytes;            ///< compressed config::pack_blocks
  std::string hash;             ///< SHA-256 over all the other members
};

packed_document pack_document(std::uint64_t version, std::uint64_t base,
                              std::span<const config::record> records);

/// Hash that `document` must have.
std::string hash_of(const packed_document& document);

/// Whether the sizes that a sender names are within what an instance receives.
bool is_receivable(std::uint64_t size, std::uint64_t content_size) noexcept;

/// Content of a document whose hash agrees; empty when it is damaged.
std::optional<std::string> unpack_document(const packed_document& document);

} // namespace kingcupshunt::fleet
