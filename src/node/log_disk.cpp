#include "log_disk.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds reopen_interval{1000};

} // namespace

log_disk::log_disk(boost::asio::io_context& io, observe::metrics& metrics,
                   storage::log_store_settings settings,
                   std::shared_ptr<storage::file_system> files)
    : io_(io), metrics_(metrics), settings_(std::move(settings)), files_(std::move(files)) {}

storage::result<std::unique_ptr<log_disk>>
log_disk::open(boost::asio::io_context& io, observe::metrics& metrics,
               storage::log_store_settings settings, std::shared_ptr<storage::file_system> files,
               opened_log& found) {
  std::unique_ptr<log_disk> out(new log_disk(io, metrics, std::move(settings), std::move(files)));
  BOOST_OUTCOME_TRY(store, storage::log_store::open(out->settings_, out->files_));
  found = out->use(std::move(store));
  return out;
}

opened_log log_disk::use(std::unique_ptr<storage::log_store> store) {
  if (const auto torn = store->torn_bytes(); torn > 0) {
    observe::log_warning("log_tail_cut", {{"folder", settings_.folder}, {"bytes", torn}});
  }
  opened_log out{store->store_id(), store->take_recovered()};
  storage::sync_thread_hooks hooks;
  hooks.post = [this](std::function<void()> f) {
    boost::asio::post(io_, [f = std::move(f), alive = std::weak_ptr(is_alive_)] {
      if (alive.lock()) {
        f();
      }
    });
  };
  hooks.on_written = [this](std::uint64_t sequence, const auto& failure) {
    on_written(sequence, failure);
  };
  hooks.on_snapshot_saved = [this](std::uint64_t index, const auto& failure) {
    if (failure) {
      observe::log_error("snapshot_failed", {{"error", storage::describe(*failure)}});
    }
    hooks_.on_snapshot_saved(index, !failure);
  };
  disk_ = std::make_unique<storage::sync_thread>(std::move(store), std::move(hooks));
  has_failed_ = false;
  return out;
}

void log_disk::write(consensus::write_batch batch) {
  write_started_ = base::clock::now();
  disk_->write(std::move(batch));
}

void log_disk::save_snapshot(const consensus::snapshot& s) {
  if (disk_) { // a log that has failed may still apply entries that were committed
    disk_->save_snapshot(s);
  }
}

void log_disk::on_written(std::uint64_t sequence, const std::optional<storage::error>& failure) {
  const auto time = base::clock::now() - write_started_;
  if (failure) {
    observe::log_error("disk_write_failed", {{"error", storage::describe(*failure)}});
    metrics_.count("disk_failures_total");
    has_failed_ = true;
  }
  if (hooks_.on_disk_time) {
    hooks_.on_disk_time(time);
  }
  metrics_.observe_seconds("disk_write", base::to_seconds(time));
  hooks_.on_written(sequence, !failure);
}

void log_disk::tick(base::time_point now) {
  if (has_failed_ && !is_reopening_ && now >= next_reopen_) {
    reopen();
  }
}

/// The folder is recovered as after a restart, because a failed write leaves its content undefined.
/// Off the event loop, since the threads of the store may still wait for the disk.
void log_disk::reopen() {
  is_reopening_ = true;
  boost::asio::post(opener_, [this, former = std::shared_ptr(std::move(disk_))]() mutable {
    former.reset(); // releases the lock on the folder
    using opening = storage::result<std::unique_ptr<storage::log_store>>;
    auto opened = std::make_shared<opening>(storage::log_store::open(settings_, files_));
    boost::asio::post(io_, [this, opened, alive = std::weak_ptr(is_alive_)] {
      if (alive.lock()) {
        end_reopen(*opened);
      }
    });
  });
}

void log_disk::end_reopen(storage::result<std::unique_ptr<storage::log_store>>& opened) {
  is_reopening_ = false;
  next_reopen_ = base::clock::now() + reopen_interval;
  if (!opened) {
    observe::log_warning("log_not_reopened", {{"error", storage::describe(opened.error())}});
    metrics_.count("log_reopens_total", "failed");
    return;
  }
  observe::log_info("log_reopened", {{"folder", settings_.folder}});
  metrics_.count("log_reopens_total", "done");
  hooks_.on_reopened(use(std::move(opened.value())));
}

} // namespace kingcupshunt::node
