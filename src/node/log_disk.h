#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/storage/sync_thread.h"

namespace kingcupshunt::node {

/// What a data folder held when it was opened.
struct opened_log {
  std::string store_id;
  consensus::recovered_state recovered;
};

struct log_disk_hooks {
  std::function<void(std::uint64_t sequence, bool is_ok)> on_written;
  std::function<void(base::duration)> on_disk_time; ///< of a write; may be empty
  std::function<void(std::uint64_t index, bool is_ok)> on_snapshot_saved;
  /// The folder was opened again after a failed write; the log is to be started from this.
  std::function<void(opened_log)> on_reopened;
};

/// The data folder of a replicated log. After a failed write it is opened again until the disk
/// accepts writes: a disk that was full may have room again. Its hooks are called on the loop.
class log_disk {
public:
  /// Opens the folder and sets `found`.
  static storage::result<std::unique_ptr<log_disk>>
  open(boost::asio::io_context& io, observe::metrics& metrics, storage::log_store_settings settings,
       std::shared_ptr<storage::file_system> files, opened_log& found);

  /// To be called once, before the first write.
  void set_hooks(log_disk_hooks hooks) { hooks_ = std::move(hooks); }

  /// A log whose write has failed writes nothing more until it is started again.
  void write(consensus::write_batch batch);
  void save_snapshot(const consensus::snapshot& s);

  /// Opens the folder again when a write has failed and an attempt is due.
  void tick(base::time_point now);

private:
  log_disk(boost::asio::io_context& io, observe::metrics& metrics,
           storage::log_store_settings settings, std::shared_ptr<storage::file_system> files);
  opened_log use(std::unique_ptr<storage::log_store> store);
  void on_written(std::uint64_t sequence, const std::optional<storage::error>& failure);
  void reopen();
  void end_reopen(storage::result<std::unique_ptr<storage::log_store>>& opened);

  boost::asio::io_context& io_;
  observe::metrics& metrics_;
  storage::log_store_settings settings_;
  std::shared_ptr<storage::file_system> files_;
  log_disk_hooks hooks_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true); ///< outlives the threads of disk_
  std::unique_ptr<storage::sync_thread> disk_; ///< null while the folder is opened again
  base::time_point write_started_{};
  base::time_point next_reopen_{};
  bool has_failed_ = false;
  bool is_reopening_ = false;
  boost::asio::thread_pool opener_{1}; ///< last member: its thread is joined first
};

} // namespace kingcupshunt::node
