// Prints what the failure detector and the freshness protocol cost each instance, by fleet size.
// Bodies are counted; frames, TCP and IP headers are estimated in a column of their own.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unistd.h>
#include <vector>

#include "kingcupshunt/membership/detector.h"
#include "kingcupshunt/membership/freshness.h"

using namespace kingcupshunt;

namespace {

// Length, array header, version, kind, body header and HMAC of a frame.
constexpr double frame_overhead_bytes = 4 + 8 + 16;

constexpr base::duration tick_length = base::milliseconds(50);

struct message {
  base::duration at{};
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  peer::message_kind kind{};
  std::string body;

  bool operator<(const message& other) const { return other.at < at; }
};

struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

struct totals {
  std::vector<traffic> by_member;
  double cpu_seconds = 0;
  double simulated_seconds = 0;
  long memory_bytes = 0;
};

double cpu_now() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

long resident_bytes() {
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

std::string id_of(std::size_t i) {
  return "instance-" + std::to_string(10000 + i);
}

std::size_t number_of(std::string_view id) {
  return std::stoul(std::string(id.substr(9))) - 10000;
}

membership::fleet_view view_of(std::size_t n) {
  membership::fleet_view view;
  view.version = 1;
  for (std::size_t i = 0; i < n; ++i) {
    view.members.push_back({id_of(i), "dc" + std::to_string(i % 3), "", "", true});
  }
  return view;
}

/// Runs one core per member over an in-memory network.
template <class Core>
class fleet {
public:
  using make_function = std::function<std::unique_ptr<Core>(std::size_t, peer::send_function)>;

  fleet(std::size_t n, const make_function& make) {
    const auto before = resident_bytes();
    result.by_member.resize(n);
    const auto view = view_of(n);
    for (std::size_t i = 0; i < n; ++i) {
      cores.push_back(make(i, [this, i](auto to, auto kind, std::string body) {
        ++result.by_member[i].messages;
        result.by_member[i].bytes += body.size();
        pending_.push({now_ + delay, static_cast<std::uint32_t>(i),
                       static_cast<std::uint32_t>(number_of(to)), kind, std::move(body)});
      }));
      cores.back()->set_view(view, time());
    }
    result.memory_bytes = (resident_bytes() - before) / static_cast<long>(n);
  }

  base::time_point time() const { return base::time_point{} + base::seconds(1000) + now_; }

  void run(base::duration length) {
    for (const auto end = now_ + length; now_ < end;) {
      const auto until = now_ + tick_length;
      while (!pending_.empty() && pending_.top().at <= until) {
        const auto next = pending_.top();
        pending_.pop();
        now_ = next.at;
        if (is_up(next.to)) {
          cores[next.to]->receive(id_of(next.from), next.kind, next.body, time());
        }
      }
      now_ = until;
      for (std::size_t i = 0; i < cores.size(); ++i) {
        if (is_up(i)) {
          cores[i]->tick(time());
        }
      }
    }
  }

  /// Runs for `length` and counts only this time.
  void measure(base::duration length) {
    for (auto& t : result.by_member) {
      t = {};
    }
    const auto start = cpu_now();
    run(length);
    result.cpu_seconds = cpu_now() - start;
    result.simulated_seconds = base::to_seconds(length);
  }

  std::vector<std::unique_ptr<Core>> cores;
  std::vector<bool> down;
  base::duration delay = base::milliseconds(1); ///< one way
  totals result;

private:
  bool is_up(std::size_t i) const { return down.empty() || !down[i]; }

  std::priority_queue<message> pending_;
  base::duration now_{};
};

void print(const char* name, std::size_t n, const totals& t) {
  traffic sum;
  double greatest = 0;
  for (const auto& m : t.by_member) {
    sum.messages += m.messages;
    sum.bytes += m.bytes;
    greatest = std::max(greatest, static_cast<double>(m.bytes) +
                                      frame_overhead_bytes * static_cast<double>(m.messages));
  }
  const auto per_node = static_cast<double>(n) * t.simulated_seconds;
  const auto messages = static_cast<double>(sum.messages) / per_node;
  const auto bytes = static_cast<double>(sum.bytes) / per_node;
  std::printf("%-22s %6zu %10.1f %10.0f %12.0f %14.0f %10.4f %10.0f\n", name, n, messages, bytes,
              bytes + messages * frame_overhead_bytes, greatest / t.simulated_seconds,
              100 * t.cpu_seconds / per_node, static_cast<double>(t.memory_bytes) / 1024);
  std::fflush(stdout);
}

/// Prints how long it takes until the instances know that every twentieth was killed.
void print_detection(fleet<membership::detector>& f, std::size_t n) {
  double suspected_at = 0;
  double failed_at = 0;
  for (int step = 1; step <= 400 && failed_at == 0; ++step) {
    f.run(tick_length);
    std::size_t suspected = 0;
    std::size_t failed = 0;
    for (std::size_t i = 0; i < n; i += 20) {
      const auto status = f.cores[1]->status_of(id_of(i));
      suspected += status != membership::member_status::alive ? 1U : 0U;
      failed += status == membership::member_status::failed ? 1U : 0U;
    }
    const auto seconds = step * base::to_seconds(tick_length);
    suspected_at = suspected_at == 0 && suspected == (n + 19) / 20 ? seconds : suspected_at;
    failed_at = failed == (n + 19) / 20 ? seconds : 0;
  }
  std::printf("  one instance holds all killed ones suspect after %.2f s, failed after %.2f s\n",
              suspected_at, failed_at);
}

void measure_detector(std::size_t n, base::duration length) {
  fleet<membership::detector> f(n, [](std::size_t i, peer::send_function send) {
    membership::detector_settings settings;
    settings.self_id = id_of(i);
    settings.incarnation = membership::make_incarnation(1'700'000'000'000 + i);
    settings.seed = i + 1;
    return std::make_unique<membership::detector>(settings, std::move(send),
                                                  membership::detector_hooks{});
  });
  f.measure(length); // with the news of the start
  print("detector, start", n, f.result);
  f.run(base::seconds(n > 1000 ? 5 : 60));
  f.measure(length);
  print("detector, later", n, f.result);
  f.down.assign(n, false);
  for (std::size_t i = 0; i < n; i += 20) {
    f.down[i] = true;
  }
  print_detection(f, n);
  f.measure(length);
  print("detector, 5 % killed", n, f.result);
}

void measure_freshness(std::size_t n, base::duration length, base::duration delay) {
  fleet<membership::freshness> f(n, [](std::size_t i, peer::send_function send) {
    membership::freshness_settings settings;
    settings.self_id = id_of(i);
    settings.incarnation = static_cast<std::uint32_t>(i + 1);
    settings.seed = i + 1;
    return std::make_unique<membership::freshness>(settings, std::move(send),
                                                   membership::freshness_hooks{});
  });
  f.delay = delay;
  for (auto& core : f.cores) {
    core->set_applied(1, f.time());
    core->set_synced(f.time());
  }
  f.run(base::seconds(3));
  f.measure(length);
  print("freshness", n, f.result);
  const auto least =
      std::ranges::min_element(f.cores, {}, [](const auto& core) { return core->fresh_until(); });
  std::printf("  one-way delay %lld ms: least remaining freshness %lld ms\n",
              static_cast<long long>(base::to_ms(delay)),
              static_cast<long long>(base::to_ms((*least)->fresh_until() - f.time())));
}

} // namespace

int main(int argc, char** argv) {
  const std::size_t greatest = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1000;
  std::printf("%-22s %6s %10s %10s %12s %14s %10s %10s\n", "per instance", "n", "messages/s",
              "body B/s", "framed B/s", "worst one B/s", "% of core", "KiB");
  for (const std::size_t n : {15, 64, 100, 1000, 3000}) {
    if (n <= greatest) {
      const auto length = base::seconds(n > 1000 ? 2 : n == 1000 ? 5 : 20);
      measure_detector(n, length);
      measure_freshness(n, length, base::milliseconds(1));
      measure_freshness(n, length, base::milliseconds(75));
    }
  }
  return 0;
}
