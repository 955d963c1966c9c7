#pragma once

#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/base/time.h"
#include "kingcupshunt/control/http_message.h"

namespace kingcupshunt::control {

/// Why a call received no answer.
struct http_client_error {
  std::string message;
};

/// Sends one request to "ip:port" and waits for the answer. Blocks; for command line programs.
/// `headers` are sent in addition to Host and Content-Type. The answer's headers have lower-case
/// names.
base::result<http_response, http_client_error>
call(const std::string& endpoint, const std::string& method, const std::string& target,
     const std::string& body, base::milliseconds timeout, const http_headers& headers = {});

} // namespace kingcupshunt::control
