#pragma once

#include <cstdint>
#include <string_view>

#include "kingcupshunt/proxy/head_checks.h"
#include "kingcupshunt/proxy/wire_names.h"

namespace kingcupshunt::proxy {

/// The request to which an answer belongs.
enum class answer_owner : std::uint8_t {
  own,    ///< the request that was sent last
  other,  ///< another request; the answer to the own one follows
  unknown ///< no request with certainty, so the answer proves nothing
};

/// `is_only_request` tells that nothing else was asked or answered on the connection.
answer_owner owner_of(const response_header& answer, std::string_view request_id,
                      bool is_only_request, const wire_names& names);

/// True when the answer states that its request has not run.
bool is_refusal(const response_header& answer, const wire_names& names);

/// Returns why an answer cannot be given to the caller, or nullptr: a success without request id or
/// signature or with an encoded body, or a status that states "not run" where the server does not.
const char* check_promises(const response_header& answer, const wire_names& names);

} // namespace kingcupshunt::proxy
