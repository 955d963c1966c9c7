#pragma once

#include <cstddef>
#include <vector>

#include "kingcupshunt/membership/detector_messages.h"

namespace kingcupshunt::membership {

/// How often an update is sent before it is dropped.
struct send_limits {
  std::size_t ordinary = 0;
  std::size_t urgent = 0;
};

/// News waiting to be piggybacked. Each is sent a bounded number of times, urgent ones first, then
/// the least sent.
class update_queue {
public:
  explicit update_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Queues `update` in place of older news about the same member. News about failures is urgent;
  /// it must not wait behind the news of a thousand members that started.
  void add(member_update update, bool is_urgent);

  /// Up to `limit` updates; those that reached their number of sends are dropped.
  std::vector<member_update> take(std::size_t limit, const send_limits& sends);

  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    member_update update;
    std::size_t sends = 0;
    bool is_urgent = false;
  };

  std::size_t capacity_;
  std::vector<entry> entries_;
};

} // namespace kingcupshunt::membership
