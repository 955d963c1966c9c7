#pragma once

#include <functional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/membership/fleet_view.h"
#include "kingcupshunt/peer/message.h"

namespace simulation {

using kingcupshunt::base::duration;
using kingcupshunt::base::milliseconds;
using kingcupshunt::base::rng;
using kingcupshunt::base::time_point;
using kingcupshunt::peer::message_kind;

/// Clock of one process: its offset and rate against simulated time are its own.
struct skewed_clock {
  duration offset{};
  double rate = 1.0;

  time_point at(duration simulated) const {
    return time_point{} + offset +
           kingcupshunt::base::from_seconds(kingcupshunt::base::to_seconds(simulated) * rate);
  }
};

/// Network with delay, loss, duplication, reordering and one-way cuts. Members are numbers.
class network {
public:
  using deliver_function =
      std::function<void(std::size_t from, std::size_t to, message_kind, const std::string&)>;

  explicit network(std::uint64_t seed) : random(seed) {}

  double loss = 0.0;
  double duplication = 0.0;
  duration min_delay = milliseconds(1);
  duration max_delay = milliseconds(3);
  std::set<std::pair<std::size_t, std::size_t>> cuts; ///< (from, to)
  duration now{};
  rng random;
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;

  bool is_open(std::size_t from, std::size_t to) const { return !cuts.contains({from, to}); }

  void send(std::size_t from, std::size_t to, message_kind kind, std::string body) {
    ++sent_messages;
    sent_bytes += body.size();
    const int copies = random.unit() < duplication ? 2 : 1;
    for (int i = 0; i < copies && is_open(from, to); ++i) {
      if (random.unit() >= loss) {
        const auto spread = static_cast<std::uint64_t>((max_delay - min_delay).count());
        const auto delay = min_delay + duration(random.below(spread + 1));
        pending_.push({now + delay, sequence_++, from, to, kind, body});
      }
    }
  }

  /// Delivers everything due up to `until` and advances the time. Messages that were on their way
  /// when a cut began still arrive, as they do after a long detour or from a kernel's buffer.
  void run_until(duration until, const deliver_function& deliver) {
    while (!pending_.empty() && pending_.top().at <= until) {
      const auto next = pending_.top();
      pending_.pop();
      now = next.at;
      deliver(next.from, next.to, next.kind, next.body);
    }
    now = until;
  }

private:
  struct message {
    duration at{};
    std::uint64_t sequence = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    message_kind kind{};
    std::string body;

    bool operator<(const message& other) const {
      return std::pair(other.at, other.sequence) < std::pair(at, sequence);
    }
  };

  std::priority_queue<message> pending_;
  std::uint64_t sequence_ = 0;
};

/// Ids of equal length, so that their order is that of the numbers.
inline std::string id_of(std::size_t member) {
  return "i" + std::to_string(10000 + member);
}

inline std::size_t number_of(std::string_view id) {
  return std::stoul(std::string(id.substr(1))) - 10000;
}

inline kingcupshunt::membership::fleet_view view_of(std::size_t n, std::uint64_t version = 1) {
  kingcupshunt::membership::fleet_view view;
  view.version = version;
  for (std::size_t i = 0; i < n; ++i) {
    view.members.push_back({id_of(i), "dc" + std::to_string(i % 3), "", "entry-" + id_of(i), true});
  }
  return view;
}

} // namespace simulation
