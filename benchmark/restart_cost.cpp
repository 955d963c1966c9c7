// Restart of a voter after 300 and after 32,000 changes of a folder with 1,000 routes, the cost of
// one change at three sizes of the folder, and the size of a restore. Times are given as ratios.
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

#include <unistd.h>

#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/state/server.h"
#include "kingcupshunt/storage/log_store.h"

using namespace kingcupshunt;

namespace {

using wall = std::chrono::steady_clock;

double seconds_of(const std::function<void()>& f) {
  const auto start = wall::now();
  f();
  return std::chrono::duration<double>(wall::now() - start).count();
}

std::string route_file(std::size_t i, int version) {
  const auto name = "route-" + std::to_string(i);
  return R"({"routes": {")" + name + R"(": {"service": "fitting", "prefix": "/)" + name +
         R"(", "timeout_ms": )" + std::to_string(1000 + version) + "}}}";
}

const std::string service =
    R"({"services": {"fitting": {"secret_sha256": ")" + std::string(64, 'a') + "\"}}}";

std::string change_of(const std::string& id, std::uint64_t base,
                      std::map<std::string, std::string> files) {
  const state::change_files c{id, base, "benchmark", std::move(files), {}};
  return peer::pack(state::command{0, state::command_kind::change_files, peer::pack(c)});
}

std::string file_name(std::size_t i) {
  return "route-" + std::to_string(i) + ".json";
}

void fill(state::machine& m, std::size_t routes, const std::function<void(std::string)>& log) {
  constexpr std::size_t per_change = 500;
  const auto apply = [&](std::string payload) {
    if (m.apply(payload).code != state::outcome::accepted) {
      std::fprintf(stderr, "a change was refused\n");
      std::exit(1);
    }
    log(std::move(payload));
  };
  apply(change_of("service", 0, {{"00.json", service}}));
  for (std::size_t i = 0; i < routes; i += per_change) {
    std::map<std::string, std::string> files;
    for (auto k = i; k < std::min(routes, i + per_change); ++k) {
      files[file_name(k)] = route_file(k, 0);
    }
    apply(change_of("fill" + std::to_string(i), m.revision(), std::move(files)));
  }
}

void measure_changes() {
  std::printf("one change of one route's file, against a parse of the whole folder\n");
  double first = 0;
  for (const std::size_t n : {1000U, 10000U, 100000U}) {
    state::machine m({});
    fill(m, n, [](const auto&) {});
    constexpr int changes = 200;
    const auto t = seconds_of([&] {
      for (int i = 0; i < changes; ++i) {
        const auto at = static_cast<std::size_t>(i) * 7919 % n;
        m.apply(change_of("c" + std::to_string(i), m.revision(),
                          {{file_name(at), route_file(at, i + 1)}}));
      }
    });
    first = first == 0 ? t : first;
    const auto whole = seconds_of([&] { (void)config::parse(m.configuration().files()); });
    const auto saved = m.save();
    state::machine other({});
    const auto restored = seconds_of([&] { (void)other.restore(saved); });
    std::printf("routes %6zu: change %.2f times that at 1000; parse of all = %.0f changes; "
                "restore = %.2f parses; snapshot %.1f MB\n",
                n, t / first, whole / (t / changes), restored / whole,
                static_cast<double>(saved.size()) / 1e6);
  }
}

struct loop_back {
  std::unique_ptr<storage::log_store> store;
  std::unique_ptr<state::server> server;
  std::vector<consensus::write_batch> writes;
  std::vector<consensus::snapshot> snapshots;
  std::uint64_t answered = 0;
  base::time_point now{std::chrono::hours(1)};

  explicit loop_back(const std::string& folder) {
    store =
        storage::log_store::open({folder, "a", "benchmark"}, storage::make_system_files()).value();
    state::server_settings s;
    s.replica.self = {"a", store->store_id()};
    s.replica.initial_voters = {"a"};
    state::server_hooks h;
    h.send = [this](auto, auto, auto) { ++answered; };
    h.persist = [this](auto b) { writes.push_back(std::move(b)); };
    h.save_snapshot = [this](const auto& s2) { snapshots.push_back(s2); };
    server = std::make_unique<state::server>(s, h, store->take_recovered(), now);
  }

  /// Writes what the replica handed over.
  void work() {
    while (!writes.empty() || !snapshots.empty()) {
      for (auto& s : std::exchange(snapshots, {})) {
        const bool is_ok = bool(store->save_snapshot(s)) && bool(store->drop_segments(s.index));
        server->log().on_snapshot_saved(s.index, is_ok, now);
      }
      for (auto& b : std::exchange(writes, {})) {
        server->log().on_persisted(b.sequence, bool(store->write(b)), now);
      }
    }
  }

  void lead() {
    while (!server->log().is_ready()) {
      now += base::milliseconds(50);
      server->tick(now);
      work();
    }
  }
};

double measure_restart(std::size_t changes) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("kingcupshunt-restart-" + std::to_string(::getpid()));
  std::filesystem::remove_all(folder);
  {
    loop_back l(folder.string());
    l.lead();
    std::uint64_t call = 0;
    const auto propose = [&](const std::string& payload) {
      const auto c = *peer::unpack<state::command>(payload);
      l.server->receive("a", peer::message_kind::state_propose,
                        peer::pack(state::propose_message{++call, false, c.kind, c.body}), l.now);
    };
    state::machine filler({});
    fill(filler, 1000, propose);
    l.work();
    for (std::size_t i = 0; i < changes; ++i) {
      const auto at = i * 7919 % 1000;
      propose(change_of("c" + std::to_string(i), l.server->current().revision(),
                        {{file_name(at), route_file(at, static_cast<int>(i % 50000) + 1)}}));
      // A batch would carry one base revision only, so that all but its first change conflict.
      l.work();
    }
    if (l.server->current().revision() != changes + 3) {
      std::fprintf(stderr, "changes were refused\n");
      std::exit(1);
    }
  }
  std::unique_ptr<loop_back> again;
  const auto t = seconds_of([&] {
    again = std::make_unique<loop_back>(folder.string());
    again->lead();
  });
  std::uintmax_t bytes = 0;
  for (const auto& f : std::filesystem::directory_iterator(folder)) {
    bytes += f.file_size();
  }
  std::printf("after %6zu changes: data folder %.1f MB, revision %llu\n", changes,
              static_cast<double>(bytes) / 1e6,
              static_cast<unsigned long long>(again->server->current().revision()));
  again.reset();
  std::filesystem::remove_all(folder);
  return t;
}

} // namespace

int main() {
  measure_changes();
  const auto few = measure_restart(300);
  const auto many = measure_restart(32000);
  std::printf("restart after 32000 changes takes %.1f times that after 300\n", many / few);
  std::printf("trial figures of this machine: %.0f ms and %.0f ms\n", few * 1e3, many * 1e3);
  return 0;
}
