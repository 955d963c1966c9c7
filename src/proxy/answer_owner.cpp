#include "answer_owner.h"

#include <algorithm>
#include <iterator>

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;

answer_owner owner_of(const response_header& answer, std::string_view request_id,
                      bool is_only_request, const wire_names& names) {
  if (!names.is_request_id_echoed) {
    return answer_owner::own;
  }
  const auto [begin, end] = answer.equal_range(names.request_id);
  const auto total = std::distance(begin, end);
  const auto matching = std::count_if(begin, end, [&](const auto& field) {
    return std::string_view(field.value().data(), field.value().size()) == request_id;
  });
  if (total == 0) {
    // An interim answer carries no id; it proves nothing and is not forwarded.
    const bool is_certain = is_only_request || answer.result_int() < 200;
    return is_certain ? answer_owner::own : answer_owner::unknown;
  }
  if (matching == total) {
    return answer_owner::own;
  }
  return matching == 0 ? answer_owner::other : answer_owner::unknown;
}

bool is_refusal(const response_header& answer, const wire_names& names) {
  const auto status = answer.result_int();
  if (names.not_run.empty()) {
    return status == 429 || (status == 503 && answer.count(http::field::retry_after) > 0);
  }
  const bool is_other_instance = status == 421 && !names.expected_instance.empty();
  return is_other_instance || answer.count(names.not_run) > 0;
}

const char* check_promises(const response_header& answer, const wire_names& names) {
  if (names.has_not_run_statuses && is_not_run_status(answer.result_int()) &&
      !is_refusal(answer, names)) {
    return "a status that states \"not run\" without the server's word for it";
  }
  const bool is_success = answer.result_int() < 300;
  if (!is_success) {
    return nullptr;
  }
  if (names.is_request_id_echoed && answer.count(names.request_id) == 0) {
    return "a success without the request id";
  }
  if (!names.signature.empty() &&
      (answer.count(names.signature) == 0 || answer.count(http::field::content_encoding) > 0)) {
    return "a success without signature or with an encoded body";
  }
  return nullptr;
}

} // namespace kingcupshunt::proxy
