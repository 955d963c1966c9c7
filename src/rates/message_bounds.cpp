// Bounds of the numbers in messages, applied where these are read.

#include <algorithm>

#include "kingcupshunt/rates/messages.h"

namespace kingcupshunt::rates {

void token_request::apply_bounds() {
  for (auto& item : items) {
    item.urgent = std::min(item.urgent, max_urgent);
    item.wanted_tokens = std::min(item.wanted_tokens, max_tokens);
    item.held = std::min(item.held, max_tokens);
  }
}

void handover_frame::apply_bounds() {
  for (auto& h : handovers) {
    h.level = h.level > 0 ? std::min<double>(h.level, max_tokens) : 0; // 0 for what is no number
    h.outstanding = std::min(h.outstanding, max_tokens);
  }
}

void grant::apply_bounds() {
  for (auto& item : items) {
    item.tokens = std::min(item.tokens, max_tokens);
    item.retry_ms = std::min(item.retry_ms, max_retry_ms);
  }
}

} // namespace kingcupshunt::rates
