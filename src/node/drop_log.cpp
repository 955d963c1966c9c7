#include "drop_log.h"

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

constexpr base::seconds line_interval{1};
/// Peers that are down let many messages become late.
constexpr base::seconds usual_line_interval{5};

} // namespace

void drop_log::note(const peer::dropped_message& message, base::time_point now) {
  metrics_.count("peer_messages_dropped_total", peer::name_of(message.kind));
  const auto [it, is_new] = lines_.try_emplace({message.kind, message.reason});
  auto& line = it->second;
  const auto interval =
      message.reason == peer::drop_reason::too_large ? line_interval : usual_line_interval;
  if (!is_new && now - line.at < interval) {
    ++line.omitted;
    return;
  }
  observe::log_warning("message_dropped", {{"to", message.to},
                                           {"kind", peer::name_of(message.kind)},
                                           {"bytes", message.bytes},
                                           {"reason", peer::name_of(message.reason)},
                                           {"dropped_since_last_line", line.omitted}});
  line = {now, 0};
}

} // namespace kingcupshunt::node
