#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/peer/transport.h"

namespace kingcupshunt::node {

/// Counts the messages that the transport drops, by kind, and writes log lines about them. Messages
/// of one kind and reason that follow each other within seconds share a line, which counts them.
class drop_log {
public:
  explicit drop_log(observe::metrics& metrics) : metrics_(metrics) {}

  void note(const peer::dropped_message& message, base::time_point now);

private:
  struct last_line {
    base::time_point at{};
    std::uint64_t omitted = 0; ///< messages since then
  };

  observe::metrics& metrics_;
  std::map<std::pair<peer::message_kind, peer::drop_reason>, last_line> lines_;
};

} // namespace kingcupshunt::node
