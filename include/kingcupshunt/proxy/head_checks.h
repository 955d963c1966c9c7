#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/proxy/refusal.h"

namespace kingcupshunt::proxy {

using request_header = boost::beast::http::request_header<>;
using response_header = boost::beast::http::response_header<>;

/// Offset just behind the blank line that ends a head, or npos. Search begins at `from`.
std::size_t find_head_end(std::string_view data, std::size_t from) noexcept;

/// What check_raw_head returns when only the count of fields is wrong.
inline constexpr const char* too_many_fields = "too many header fields";

/// Checks the bytes of a head, request or answer, before they are parsed: line ends, control
/// characters, folded lines and the count of fields. Returns what is wrong, or nullptr.
const char* check_raw_head(std::string_view head, std::size_t max_fields) noexcept;

/// Checks a parsed request head: version, method, Host, framing and upgrades.
std::optional<refusal> check_request(const request_header& head);

/// Checks the framing of an upstream's answer. Returns what is wrong, or nullptr.
/// `is_bodyless` is true for the answer to HEAD. `may_end_with_connection` allows a body without
/// length, of which a truncation by an orderly close can't be seen.
const char* check_answer(const response_header& head, bool is_bodyless,
                         bool may_end_with_connection = false);

/// Value of the Host field without port and in lower case; empty when it is not valid.
std::string host_of(std::string_view field);

/// Decoded path of an origin-form target. Errors: a refusal for other forms, control characters,
/// dot or empty segments and encoded separators, by which two servers may read two paths.
base::result<std::string, refusal> path_of(std::string_view target);

/// Key of `Authorization: SCHEME KEY`. Errors: a refusal when the field is repeated. Empty without
/// the field or with another scheme.
base::result<std::optional<std::string>, refusal> bearer_key_of(const request_header& head,
                                                                std::string_view scheme = "bearer");

/// A refusal of a request that is not valid, status 400, not run.
refusal bad_request(std::string reason, std::string message);

} // namespace kingcupshunt::proxy
