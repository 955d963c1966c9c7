// The pause that a server asks for with 503 and Retry-After.

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

#include "exchange.h"
#include "kingcupshunt/proxy/head_checks.h"

namespace kingcupshunt::proxy {

namespace http = boost::beast::http;

std::optional<base::duration> server_pause_of(std::string_view value) noexcept {
  double seconds = 0;
  const auto* end = value.data() + value.size();
  const auto [last, ec] = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
  if (ec != std::errc() || last != end || !std::isfinite(seconds) || std::signbit(seconds)) {
    return std::nullopt;
  }
  return base::from_seconds(std::min(seconds, base::to_seconds(max_server_pause)));
}

void exchange::note_server_pause() {
  constexpr unsigned busy_status = 503;
  if (answer().result_int() != busy_status || answer().count(http::field::retry_after) == 0) {
    return;
  }
  const auto value = answer()[http::field::retry_after];
  if (const auto pause = server_pause_of({value.data(), value.size()})) {
    pause_ = *pause;
  } else {
    context_.metrics.count("upstream_pauses_unreadable_total");
  }
}

} // namespace kingcupshunt::proxy
