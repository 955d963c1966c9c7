#pragma once

#include <cstddef>
#include <vector>

#include "kingcupshunt/membership/detector_messages.h"

namespace kingcupshunt::membership {

/// News waiting to be piggybacked. Each is sent a bounded number of times, the least sent first.
class update_queue {
public:
  explicit update_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Queues `update` in place of older news about the same member.
  void add(member_update update);

  /// Up to `limit` updates, the least sent first. Each is dropped after `max_sends` sends.
  std::vector<member_update> take(std::size_t limit, std::size_t max_sends);

  std::size_t size() const noexcept { return entries_.size(); }

private:
  struct entry {
    member_update update;
    std::size_t sends = 0;
  };

  std::size_t capacity_;
  std::vector<entry> entries_;
};

} // namespace kingcupshunt::membership
