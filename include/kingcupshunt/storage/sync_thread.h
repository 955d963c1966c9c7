#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "kingcupshunt/consensus/types.h"
#include "kingcupshunt/storage/log_store.h"

namespace kingcupshunt::storage {

struct sync_thread_hooks {
  /// Runs a function on the event loop of the instance. Called from the threads of this class.
  std::function<void(std::function<void()>)> post;
  /// A write ended; called through post. `failure` is empty on success.
  std::function<void(std::uint64_t sequence, const std::optional<error>& failure)> on_written;
  /// A snapshot was saved or not; called through post.
  std::function<void(std::uint64_t index, const std::optional<error>& failure)> on_snapshot_saved;
};

/// Runs the writes of a log_store on one thread and its snapshots on a second one, so that neither
/// the event loop nor the log waits for a disk.
class sync_thread {
public:
  sync_thread(std::unique_ptr<log_store> store, sync_thread_hooks hooks);
  /// Finishes the writes that were handed over.
  ~sync_thread();
  sync_thread(const sync_thread&) = delete;
  sync_thread& operator=(const sync_thread&) = delete;

  void write(consensus::write_batch batch);
  void save_snapshot(const consensus::snapshot& s);

private:
  using job = std::function<void()>;
  class worker;

  std::unique_ptr<log_store> store_;
  /// Shared with posted functions, which may run after this object is gone.
  std::shared_ptr<const sync_thread_hooks> hooks_;
  std::unique_ptr<worker> writer_;
  std::unique_ptr<worker> snapshots_;
};

} // namespace kingcupshunt::storage
