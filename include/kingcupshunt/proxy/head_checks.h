#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/proxy/refusal.h"

namespace kingcupshunt::proxy {

using request_header = boost::beast::http::request_header<>;
using response_header = boost::beast::http::response_header<>;

/// Returns the offset after the blank line that ends a head, or npos. Searches from `from`.
std::size_t find_head_end(std::string_view data, std::size_t from) noexcept;

/// Result of check_raw_head when the head has too many fields and is otherwise valid.
inline constexpr const char* too_many_fields = "too many header fields";

/// Checks the bytes of a request's or answer's head before parsing: line ends, control
/// characters, folded lines and the number of fields. Returns an error message, or nullptr.
const char* check_raw_head(std::string_view head, std::size_t max_fields) noexcept;

/// Checks a parsed request head: version, method, Host, framing and upgrades.
std::optional<refusal> check_request(const request_header& head);

/// Checks the status and framing of an upstream's answer. Returns an error message, or nullptr.
/// `is_bodyless` is true for the answer to HEAD. `may_end_with_connection` allows a body without
/// length; truncation of such a body by an orderly close cannot be detected.
const char* check_answer(const response_header& head, bool is_bodyless,
                         bool may_end_with_connection = false);

/// Returns the value of the Host field in lower case without port; empty when it is not valid.
std::string host_of(std::string_view field);

/// Returns the decoded path of an origin-form target. Errors: a refusal for other forms, control
/// characters, dot or empty segments and encoded separators, since servers may interpret these
/// differently.
base::result<std::string, refusal> path_of(std::string_view target);

/// Returns the key of `Authorization: SCHEME KEY`; empty without the field or with another scheme.
/// Errors: a refusal when the field is repeated.
base::result<std::optional<std::string>, refusal> bearer_key_of(const request_header& head,
                                                                std::string_view scheme = "bearer");

/// Returns the requests per second that a server's limit field states: a decimal number, 0 or more.
/// Empty when the value is not one.
std::optional<double> server_limit_of(std::string_view value) noexcept;

/// Longest pause that a server's Retry-After may ask for.
inline constexpr base::seconds max_server_pause{600};

/// Returns the pause that a server's Retry-After states in seconds, which may have fractions; at
/// most `max_server_pause`. Empty for a date and for other values.
std::optional<base::duration> server_pause_of(std::string_view value) noexcept;

/// Longest time for which a server's answer may call it cold.
inline constexpr base::seconds max_cold_left{600};

/// Returns the time for which a server says that it remains cold, a decimal number of milliseconds;
/// at most `max_cold_left`. Empty when the value is not one.
std::optional<base::duration> cold_left_of(std::string_view value) noexcept;

/// Makes a refusal with status 400 for an invalid request, which has not run.
refusal bad_request(std::string reason, std::string message);

} // namespace kingcupshunt::proxy
