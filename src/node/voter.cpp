#include "voter.h"

#include <boost/asio/post.hpp>

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

base::result<std::unique_ptr<voter>, std::string> voter::open(const runtime& rt, voter_hooks hooks,
                                                              base::time_point now) {
  storage::log_store_settings settings;
  settings.folder = rt.settings.data_folder;
  settings.instance = rt.settings.id;
  settings.fleet = rt.settings.fleet;
  auto store = storage::log_store::open(settings, storage::make_system_files());
  if (!store) {
    return storage::describe(store.error());
  }
  if (const auto torn = store.value()->torn_bytes(); torn > 0) {
    observe::log_warning("log_tail_cut", {{"folder", settings.folder}, {"bytes", torn}});
  }
  std::unique_ptr<voter> out(new voter(rt, std::move(hooks)));
  out->start(std::move(store.value()), now);
  return out;
}

void voter::start(std::unique_ptr<storage::log_store> store, base::time_point now) {
  state::server_settings settings;
  settings.replica.self = {rt_.settings.id, store->store_id()};
  settings.replica.seed = rt_.seed;
  for (const auto& it : rt_.settings.voters) {
    settings.replica.initial_voters.push_back(it.id);
  }
  state::server_hooks hooks;
  hooks.send = rt_.send;
  hooks.persist = [this](consensus::write_batch batch) {
    write_started_ = base::clock::now();
    disk_->write(std::move(batch));
  };
  hooks.save_snapshot = [this](const consensus::snapshot& s) { disk_->save_snapshot(s); };
  hooks.on_delta = hooks_.on_delta;
  hooks.on_restored = hooks_.on_restored;
  hooks.on_role = [this] {
    observe::log_info("log_role", {{"term", server_->log().term()},
                                   {"is_leader", server_->log().is_leader()},
                                   {"leader", server_->log().leader()}});
  };
  auto recovered = store->take_recovered();
  storage::sync_thread_hooks disk_hooks;
  disk_hooks.post = [io = &rt_.io](std::function<void()> f) {
    boost::asio::post(*io, std::move(f));
  };
  disk_hooks.on_written = [this](std::uint64_t sequence, const auto& failure) {
    on_written(sequence, failure);
  };
  disk_hooks.on_snapshot_saved = [this](std::uint64_t index, const auto& failure) {
    if (failure) {
      observe::log_error("snapshot_failed", {{"error", storage::describe(*failure)}});
    }
    server_->log().on_snapshot_saved(index, !failure, base::clock::now());
  };
  disk_ = std::make_unique<storage::sync_thread>(std::move(store), std::move(disk_hooks));
  server_ = std::make_unique<state::server>(std::move(settings), std::move(hooks),
                                            std::move(recovered), now);
}

void voter::on_written(std::uint64_t sequence, const std::optional<storage::error>& failure) {
  const auto now = base::clock::now();
  if (failure) {
    observe::log_error("disk_write_failed", {{"error", storage::describe(*failure)}});
    rt_.metrics.count("disk_failures_total");
  }
  hooks_.on_disk_time(now - write_started_);
  rt_.metrics.observe_seconds("disk_write", base::to_seconds(now - write_started_));
  server_->log().on_persisted(sequence, !failure, now);
}

} // namespace kingcupshunt::node
