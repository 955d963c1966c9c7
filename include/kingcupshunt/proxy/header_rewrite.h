#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/wire_names.h"

namespace kingcupshunt::proxy {

/// How the end of a body is marked on a connection.
struct body_framing {
  bool is_chunked = false;
  std::optional<std::uint64_t> length; ///< value of Content-Length; empty: the field is not sent
};

/// True for hop-by-hop fields: those of HTTP/1.1 and those named in the Connection field.
bool is_hop_by_hop(std::string_view name, std::string_view connection_value) noexcept;

/// True when `text` or its percent-decoded form contains `key`, ignoring case. Always false for
/// strings shorter than min_key_length, which are not valid keys.
bool contains_key(std::string_view text, std::string_view key);
inline constexpr std::size_t min_key_length = 8; ///< characters

/// Returns the start line and end-to-end fields for the upstream, without the final blank line and
/// without the deadline, which differs between tries. Removes Authorization, Expect,
/// X-Kingcupshunt-*, the headers that the entry sets and every field that contains the key in its
/// name or value.
std::string upstream_head(const request_header& head, const std::optional<std::string>& key,
                          std::string_view workspace, std::string_view request_id,
                          const body_framing& framing, const wire_names& names = {});

/// Returns the fields that differ between tries and the blank line that ends the head.
std::string try_fields(std::int64_t remaining_ms, std::string_view instance,
                       const wire_names& names = {});

/// Returns the size line of a chunk of `n` bytes.
std::string chunk_size_line(std::size_t n);

/// Returns the status line and end-to-end fields of an upstream's answer, with the blank line.
std::string caller_head(const response_header& head, const body_framing& framing,
                        std::string_view request_id, bool is_close, const wire_names& names = {});

/// Returns a whole answer for a refusal. It has no body when `is_head` is set.
std::string refusal_answer(const refusal& r, const std::string& request_id, bool is_head,
                           bool is_close, const wire_names& names = {});

/// True when a caller's request id may be used: at most 64 letters, digits and `-_.`, and without
/// the key.
bool is_usable_request_id(std::string_view id, const std::optional<std::string>& key);

} // namespace kingcupshunt::proxy
