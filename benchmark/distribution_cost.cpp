// Compares ways to bring one revision to all members, in simulated time: messages, bytes sent by
// the busiest member, and time until the median and the last live member have it. One member in
// ten is dead without the others knowing. Freshness messages carry the revision every 200 ms.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "kingcupshunt/base/rng.h"
#include "kingcupshunt/state/distribution.h"

using namespace kingcupshunt;

namespace {

constexpr double one_way_ms = 1.0;
constexpr double bytes_per_ms = 125000; ///< 1 Gbit/s of one member
constexpr double freshness_ms = 200;
constexpr std::size_t delta_bytes = 1000;
constexpr std::size_t fetch_bytes = 60;
constexpr double give_up_ms = 10000;

enum class way { direct, tree, tree_and_pull, pull };

struct outcome {
  std::size_t messages = 0;
  std::size_t busiest_bytes = 0;
  double median_ms = 0;
  double last_ms = 0;
  std::size_t missing = 0;
};

/// One push over `n` members.
class simulation {
public:
  simulation(std::size_t n, way w, std::uint64_t seed)
      : n_(n), way_(w), rng_(seed), is_dead_(n), has_(n, -1), sent_(n), free_at_(n) {
    constexpr std::size_t centres = 18;
    for (std::size_t i = 0; i < n; ++i) {
      auto id = std::to_string(i);
      id.insert(0, 5 - id.size(), '0');
      view_.members.push_back(
          {id, "dc" + std::to_string(i % (n < centres ? 3 : centres)), "", "", true});
      is_dead_[i] = i != 0 && rng_.below(10) == 0;
    }
  }

  outcome run() {
    deliver(0, 0, 0);
    if (way_ == way::pull || way_ == way::tree_and_pull) {
      for (std::size_t i = 0; i < n_; ++i) {
        at(rng_.unit() * freshness_ms, [this, i] { gossip(i); });
      }
    }
    while (!events_.empty() && now_ < give_up_ms) {
      auto e = events_.top();
      events_.pop();
      now_ = e.time;
      e.run();
    }
    return result();
  }

private:
  struct event {
    double time;
    std::size_t order;
    std::function<void()> run;
    bool operator<(const event& o) const {
      return time != o.time ? time > o.time : order > o.order;
    }
  };

  void at(double time, std::function<void()> f) { events_.push({time, order_++, std::move(f)}); }

  void send(std::size_t from, std::size_t bytes, std::function<void()> f) {
    ++messages_;
    sent_[from] += bytes;
    free_at_[from] = std::max(free_at_[from], now_) + static_cast<double>(bytes) / bytes_per_ms;
    at(free_at_[from] + one_way_ms, std::move(f));
  }

  void deliver(std::size_t to, std::size_t root, double) {
    if (is_dead_[to] || has_[to] >= 0) {
      return;
    }
    has_[to] = now_;
    if (way_ == way::direct && to == root) {
      for (std::size_t i = 0; i < n_; ++i) {
        if (i != root) {
          send(root, delta_bytes, [this, i, root] { deliver(i, root, 0); });
        }
      }
    } else if (way_ == way::tree || way_ == way::tree_and_pull) {
      state::distribution d({view_.members[to].id}, {});
      d.set_view(view_, {});
      for (const auto& child : d.children(view_.members[root].id)) {
        const auto i = std::stoul(child);
        send(to, delta_bytes, [this, i, root] { deliver(i, root, 0); });
      }
    }
  }

  // Freshness goes on anyway, so only the fetch and its answer count as messages. Each member
  // compares with a few random ones.
  void gossip(std::size_t self) {
    constexpr int compared = 3;
    if (!is_dead_[self] && has_[self] < 0) {
      for (int k = 0; k < compared; ++k) {
        const auto other = rng_.below(n_);
        if (!is_dead_[other] && has_[other] >= 0) {
          send(self, fetch_bytes, [this, self, other] {
            send(other, delta_bytes, [this, self] { deliver(self, 0, 0); });
          });
          break;
        }
      }
    }
    if (!is_dead_[self] && has_[self] < 0) {
      at(now_ + freshness_ms, [this, self] { gossip(self); });
    }
  }

  outcome result() const {
    outcome out;
    out.messages = messages_;
    out.busiest_bytes = *std::ranges::max_element(sent_);
    std::vector<double> times;
    for (std::size_t i = 0; i < n_; ++i) {
      if (!is_dead_[i] && has_[i] >= 0) {
        times.push_back(has_[i]);
      }
      out.missing += !is_dead_[i] && has_[i] < 0 ? 1 : 0;
    }
    std::ranges::sort(times);
    out.median_ms = times[times.size() / 2];
    out.last_ms = times.back();
    return out;
  }

  std::size_t n_;
  way way_;
  base::rng rng_;
  membership::fleet_view view_;
  std::vector<bool> is_dead_;
  std::vector<double> has_; ///< ms; negative: not yet
  std::vector<std::size_t> sent_;
  std::vector<double> free_at_;
  std::priority_queue<event> events_;
  std::size_t order_ = 0;
  double now_ = 0;
  std::size_t messages_ = 0;
};

} // namespace

int main() {
  std::printf("simulated, %zu-byte delta, 1 ms one way, 1 Gbit/s, 10 %% dead members\n",
              delta_bytes);
  std::printf("%8s %-12s %9s %13s %10s %9s %8s\n", "members", "way", "messages", "busiest_bytes",
              "median_ms", "last_ms", "missing");
  const std::map<way, const char*> names = {{way::direct, "one to all"},
                                            {way::tree, "tree"},
                                            {way::tree_and_pull, "tree + pull"},
                                            {way::pull, "pull only"}};
  for (const std::size_t n : {15U, 300U, 3000U}) {
    for (const auto& [w, name] : names) {
      const auto o = simulation(n, w, 7).run();
      std::printf("%8zu %-12s %9zu %13zu %10.1f %9.1f %8zu\n", n, name, o.messages, o.busiest_bytes,
                  o.median_ms, o.last_ms, o.missing);
    }
  }
  return 0;
}
