#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/wire_names.h"

namespace kingcupshunt::proxy {

/// How a body's end is told on a connection.
struct body_framing {
  bool is_chunked = false;
  std::optional<std::uint64_t> length; ///< Content-Length; empty: none is sent
};

/// True for fields that belong to one connection, by their own name or named in Connection.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value) noexcept;

/// True when `text`, or its percent-decoded form, contains `key`, whatever the case. Keys shorter
/// than min_key_length are no keys of this system and are never found.
bool contains_key(std::string_view text, std::string_view key);
inline constexpr std::size_t min_key_length = 8;

/// Start line and end-to-end fields for the upstream, without the final blank line and without
/// the deadline, which differs between tries. Drops Authorization, Expect, X-Kingcupshunt-*, the
/// headers that the entry sets itself and every field whose name or value contains the key.
std::string upstream_head(const request_header& head, const std::optional<std::string>& key,
                          std::string_view workspace, std::string_view request_id,
                          const body_framing& framing, const wire_names& names = {});

/// The fields that differ between tries, and the blank line that ends an upstream head.
std::string try_fields(std::int64_t remaining_ms, std::string_view instance,
                       const wire_names& names = {});

/// The size line that comes before a chunk of `n` bytes.
std::string chunk_size_line(std::size_t n);

/// Status line and end-to-end fields of an upstream's answer with the blank line.
std::string caller_head(const response_header& head, const body_framing& framing,
                        std::string_view request_id, bool is_close, const wire_names& names = {});

/// A whole answer for a refusal. The body is left out for HEAD.
std::string refusal_answer(const refusal& r, const std::string& request_id, bool is_head,
                           bool is_close, const wire_names& names = {});

/// A request id from a caller is kept when it is short, plain and does not contain the key.
bool is_usable_request_id(std::string_view id, const std::optional<std::string>& key);

} // namespace kingcupshunt::proxy
