#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "kingcupshunt/control/http_client.h"

namespace kingcupshunt::testing {

/// What a caller saw. Status 0: no whole answer.
struct caller_answer {
  unsigned status = 0;
  std::string reason; ///< of a refusal
  std::string ran;    ///< of a refusal
  std::string body;
  bool is_replayed = false;
};

/// Sends one request through an entry address and waits for the answer.
inline caller_answer send(const std::string& entry, const std::string& method,
                          const std::string& target, const std::string& key,
                          const std::string& body = "", control::http_headers headers = {}) {
  if (!key.empty()) {
    headers["Authorization"] = "Bearer " + key;
  }
  const auto answer =
      control::call(entry, method, target, body, base::milliseconds(15000), headers);
  caller_answer out;
  if (!answer) {
    return out;
  }
  const auto header = [&](const char* name) {
    const auto it = answer.value().headers.find(name);
    return it == answer.value().headers.end() ? std::string{} : it->second;
  };
  out.status = answer.value().status;
  out.reason = header("x-kingcupshunt-reason");
  out.ran = header("x-kingcupshunt-ran");
  out.body = answer.value().body;
  out.is_replayed = header("x-kingcupshunt-replayed") == "1";
  return out;
}

} // namespace kingcupshunt::testing
