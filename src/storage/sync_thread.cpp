#include "kingcupshunt/storage/sync_thread.h"

#include <utility>

namespace kingcupshunt::storage {

namespace {

std::optional<error> failure_of(const result<void>& r) {
  return r ? std::nullopt : std::optional<error>(r.error());
}

} // namespace

/// Runs jobs in order on one thread.
class sync_thread::worker {
public:
  worker() : thread_([this] { run(); }) {}
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;
  ~worker() {
    {
      const std::lock_guard guard(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
  }

  void add(job j) {
    {
      const std::lock_guard guard(mutex_);
      jobs_.push_back(std::move(j));
    }
    changed_.notify_one();
  }

private:
  void run() {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) {
        return;
      }
      const auto next = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      next();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<job> jobs_;
  bool is_stopping_ = false;
  std::thread thread_; ///< last: starts when the other members exist
};

sync_thread::sync_thread(std::unique_ptr<log_store> store, sync_thread_hooks hooks)
    : store_(std::move(store)), hooks_(std::make_shared<const sync_thread_hooks>(std::move(hooks))),
      writer_(std::make_unique<worker>()), snapshots_(std::make_unique<worker>()) {}

// The snapshot thread hands jobs to the writer and therefore ends first.
sync_thread::~sync_thread() {
  snapshots_.reset();
  writer_.reset();
}

void sync_thread::write(consensus::write_batch batch) {
  writer_->add([this, batch = std::move(batch)] {
    hooks_->post(
        [hooks = hooks_, sequence = batch.sequence, failure = failure_of(store_->write(batch))] {
          hooks->on_written(sequence, failure);
        });
  });
}

void sync_thread::save_snapshot(const consensus::snapshot& s) {
  snapshots_->add([this, s] {
    const auto failure = failure_of(store_->save_snapshot(s));
    if (!failure) {
      writer_->add([this, index = s.index] { (void)store_->drop_segments(index); });
    }
    hooks_->post(
        [hooks = hooks_, index = s.index, failure] { hooks->on_snapshot_saved(index, failure); });
  });
}

} // namespace kingcupshunt::storage
