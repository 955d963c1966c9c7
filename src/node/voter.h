#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kingcupshunt/base/result.h"
#include "kingcupshunt/state/server.h"
#include "log_disk.h"
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
  open(const runtime& rt, voter_hooks hooks, std::shared_ptr<storage::file_system> files,
       base::time_point now);

  void tick(base::time_point now);

  /// Replaced when the data folder is opened again after a failed write.
  state::server& server() noexcept { return *server_; }
  const state::server& server() const noexcept { return *server_; }

private:
  voter(const runtime& rt, voter_hooks hooks) : rt_(rt), hooks_(std::move(hooks)) {}
  void start(opened_log found, base::time_point now);

  runtime rt_;
  voter_hooks hooks_;
  std::unique_ptr<state::server> server_;
  std::unique_ptr<log_disk> disk_; ///< last member: its threads are joined first
};

} // namespace kingcupshunt::node
