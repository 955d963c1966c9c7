#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/state/server.h"
#include "kingcupshunt/storage/sync_thread.h"
#include "runtime.h"

namespace kingcupshunt::node {

struct voter_hooks {
  std::function<void(const state::delta&)> on_delta;
  std::function<void()> on_restored;
  std::function<void(base::duration)> on_disk_time; ///< duration of one synced write
};

/// The replicated log and its storage, on an instance that is a voter.
class voter {
public:
  /// Opens the data folder. The error is a one-line message for operators.
  static base::result<std::unique_ptr<voter>, std::string>
  open(const runtime& rt, voter_hooks hooks, base::time_point now);

  state::server& server() noexcept { return *server_; }
  const state::server& server() const noexcept { return *server_; }

private:
  voter(const runtime& rt, voter_hooks hooks) : rt_(rt), hooks_(std::move(hooks)) {}
  void start(std::unique_ptr<storage::log_store> store, base::time_point now);
  void on_written(std::uint64_t sequence, const std::optional<storage::error>& failure);

  runtime rt_;
  voter_hooks hooks_;
  std::unique_ptr<state::server> server_;
  base::time_point write_started_{};
  std::unique_ptr<storage::sync_thread> disk_; ///< last member: its threads are joined first
};

} // namespace kingcupshunt::node
