#include "voter.h"

#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

base::result<std::unique_ptr<voter>, std::string>
voter::open(const runtime& rt, voter_hooks hooks, std::shared_ptr<storage::file_system> files,
            base::time_point now) {
  storage::log_store_settings settings;
  settings.folder = rt.settings.data_folder;
  settings.instance = rt.settings.id;
  settings.fleet = rt.settings.fleet;
  opened_log found;
  auto disk = log_disk::open(rt.io, rt.metrics, std::move(settings), std::move(files), found);
  if (!disk) {
    return storage::describe(disk.error());
  }
  std::unique_ptr<voter> out(new voter(rt, std::move(hooks)));
  out->disk_ = std::move(disk.value());
  log_disk_hooks on_disk;
  on_disk.on_written = [self = out.get()](std::uint64_t sequence, bool is_ok) {
    self->server_->log().on_persisted(sequence, is_ok, base::clock::now());
  };
  on_disk.on_disk_time = out->hooks_.on_disk_time;
  on_disk.on_snapshot_saved = [self = out.get()](std::uint64_t index, bool is_ok) {
    self->server_->log().on_snapshot_saved(index, is_ok, base::clock::now());
  };
  on_disk.on_reopened = [self = out.get()](opened_log log) {
    self->start(std::move(log), base::clock::now());
  };
  out->disk_->set_hooks(std::move(on_disk));
  out->start(std::move(found), now);
  return out;
}

void voter::start(opened_log found, base::time_point now) {
  state::server_settings settings;
  settings.replica.self = {rt_.settings.id, found.store_id};
  settings.replica.seed = rt_.seed;
  for (const auto& it : rt_.settings.voters) {
    settings.replica.initial_voters.push_back(it.id);
  }
  state::server_hooks hooks;
  hooks.send = rt_.send;
  hooks.persist = [this](consensus::write_batch batch) { disk_->write(std::move(batch)); };
  hooks.save_snapshot = [this](const consensus::snapshot& s) { disk_->save_snapshot(s); };
  hooks.on_delta = hooks_.on_delta;
  hooks.on_restored = [this] {
    if (server_) { // its constructor restores the snapshot of the folder
      hooks_.on_restored();
    }
  };
  hooks.on_role = [this] {
    if (server_) {
      observe::log_info("log_role", {{"term", server_->log().term()},
                                     {"is_leader", server_->log().is_leader()},
                                     {"leader", server_->log().leader()}});
    }
  };
  server_.reset();
  server_ = std::make_unique<state::server>(std::move(settings), std::move(hooks),
                                            std::move(found.recovered), now);
}

void voter::tick(base::time_point now) {
  server_->tick(now);
  disk_->tick(now);
}

} // namespace kingcupshunt::node
