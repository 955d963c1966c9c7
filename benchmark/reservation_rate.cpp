// Reservations per second and their latency with three voters in one process: in-memory links of
// 1 ms one way and a real fsync of each voter. Bounded to 3 s per number of callers.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <vector>

#include <unistd.h>

#include "kingcupshunt/state/client.h"
#include "kingcupshunt/state/server.h"
#include "kingcupshunt/storage/sync_thread.h"

using namespace kingcupshunt;

namespace {

constexpr base::milliseconds one_way(1);
constexpr base::seconds run_time(3);

/// One thread that runs timed functions; other threads post to it.
class event_loop {
public:
  void at(base::time_point when, std::function<void()> f) {
    const std::lock_guard guard(mutex_);
    events_.emplace(when, std::move(f));
    changed_.notify_one();
  }

  void run_until(const std::function<bool()>& is_done) {
    while (!is_done()) {
      std::function<void()> next;
      {
        std::unique_lock lock(mutex_);
        if (events_.empty()) {
          changed_.wait_for(lock, base::milliseconds(10));
        } else if (events_.begin()->first > base::clock::now()) {
          changed_.wait_until(lock, events_.begin()->first);
        }
        if (!events_.empty() && events_.begin()->first <= base::clock::now()) {
          next = std::move(events_.begin()->second);
          events_.erase(events_.begin());
        }
      }
      if (next) {
        next();
      }
    }
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<base::time_point, std::function<void()>> events_;
};

struct fleet {
  event_loop loop;
  std::map<std::string, std::unique_ptr<state::server>> servers;
  std::map<std::string, std::unique_ptr<storage::sync_thread>> disks;
  std::unique_ptr<state::client> client;
  std::size_t syncs = 0;
  bool is_stopping = false;

  void post(const std::string& from, const std::string& to, peer::message_kind kind,
            std::string body) {
    loop.at(base::clock::now() + one_way, [this, from, to, kind, body = std::move(body)] {
      const auto now = base::clock::now();
      if (to == "entry") {
        client->receive(from, kind, body, now);
      } else {
        servers.at(to)->receive(from, kind, body, now);
      }
    });
  }

  void start(const std::string& id, const std::string& folder) {
    auto store =
        storage::log_store::open({folder + "/" + id, id, "benchmark"}, storage::make_system_files())
            .value();
    state::server_settings s;
    s.replica.self = {id, store->store_id()};
    s.replica.initial_voters = {"a", "b", "c"};
    s.replica.seed = static_cast<std::uint64_t>(id[0]);
    state::server_hooks h;
    h.send = [this, id](std::string_view to, peer::message_kind kind, std::string body) {
      post(id, std::string(to), kind, std::move(body));
    };
    h.persist = [this, id](consensus::write_batch b) {
      ++syncs;
      disks.at(id)->write(std::move(b));
    };
    h.save_snapshot = [this, id](const consensus::snapshot& snap) {
      disks.at(id)->save_snapshot(snap);
    };
    auto recovered = store->take_recovered();
    storage::sync_thread_hooks d;
    d.post = [this](std::function<void()> f) { loop.at(base::clock::now(), std::move(f)); };
    d.on_written = [this, id](std::uint64_t sequence, const auto& failure) {
      servers.at(id)->log().on_persisted(sequence, !failure, base::clock::now());
    };
    d.on_snapshot_saved = [this, id](std::uint64_t index, const auto& failure) {
      servers.at(id)->log().on_snapshot_saved(index, !failure, base::clock::now());
    };
    disks[id] = std::make_unique<storage::sync_thread>(std::move(store), d);
    servers[id] = std::make_unique<state::server>(s, h, std::move(recovered), base::clock::now());
  }

  void tick() {
    const auto now = base::clock::now();
    for (auto& [id, s] : servers) {
      s->tick(now);
    }
    client->tick(now);
    if (!is_stopping) {
      loop.at(now + base::milliseconds(50), [this] { tick(); });
    }
  }
};

struct measured {
  std::vector<double> latencies_ms;
  std::size_t running = 0;
  std::uint64_t next_key = 0;
};

void reserve_next(fleet& f, measured& m, base::time_point end) {
  const auto start = base::clock::now();
  if (start >= end) {
    return;
  }
  ++m.running;
  f.client->reserve_key(
      "workspace", "key " + std::to_string(m.next_key++), 1, start + base::seconds(10),
      [&f, &m, start, end](const auto& r) {
        --m.running;
        const auto now = base::clock::now();
        if (r && r.value().code == state::outcome::granted) {
          m.latencies_ms.push_back(base::to_seconds(now - start) * 1e3);
        }
        reserve_next(f, m, end);
      },
      start);
}

void measure(fleet& f, measured& m, std::size_t callers, double& base_rate) {
  m.latencies_ms.clear();
  const auto syncs = f.syncs;
  const auto end = base::clock::now() + run_time;
  for (std::size_t i = 0; i < callers; ++i) {
    reserve_next(f, m, end);
  }
  f.loop.run_until([&] { return m.running == 0; });
  std::ranges::sort(m.latencies_ms);
  const auto n = m.latencies_ms.size();
  const auto rate = static_cast<double>(n) / base::to_seconds(run_time);
  base_rate = base_rate == 0 ? rate : base_rate;
  std::printf("callers %4zu: %8.0f/s (%5.1f times one caller), median %6.2f ms, p99 %6.2f ms, "
              "%.2f syncs of a voter per reservation\n",
              callers, rate, rate / base_rate, m.latencies_ms[n / 2], m.latencies_ms[n * 99 / 100],
              static_cast<double>(f.syncs - syncs) / 3 / static_cast<double>(n));
}

} // namespace

int main() {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("kingcupshunt-reservations-" + std::to_string(::getpid()));
  {
    fleet f;
    f.client = std::make_unique<state::client>(
        state::client_settings{{"a", "b", "c"}, 5},
        [&f](std::string_view to, peer::message_kind kind, std::string body) {
          f.post("entry", std::string(to), kind, std::move(body));
        });
    for (const auto* id : {"a", "b", "c"}) {
      f.start(id, folder.string());
    }
    f.tick();
    f.loop.run_until([&] {
      return std::ranges::any_of(f.servers, [](auto& s) { return s.second->log().is_ready(); });
    });
    measured m;
    double base_rate = 0;
    for (const std::size_t callers : {1U, 10U, 100U, 1000U}) {
      measure(f, m, callers, base_rate);
    }
    f.is_stopping = true;
    f.disks.clear();
  }
  std::filesystem::remove_all(folder);
  return 0;
}
