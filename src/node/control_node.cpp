#include "kingcupshunt/node/control_node.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "kingcupshunt/config/snapshot.h"
#include "kingcupshunt/fleet/packed_document.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/rates/owner.h"
#include "log_disk.h"
#include "role_runtime.h"
#include "server_file.h"
#include "side_thread.h"

namespace kingcupshunt::node {

namespace {

using peer::message_kind;

/// From the stop signal to the end of the event loop: lets running requests finish and the
/// leadership transfer complete.
constexpr base::milliseconds stop_delay{700};
/// An election takes one to two timeouts.
constexpr base::milliseconds election_timeout{700};
constexpr base::milliseconds heartbeat_interval{150};
constexpr base::milliseconds storage_bound{1500};
/// Election timeout of a process that has just started. It can be short without deposing a leader,
/// since instances that receive heartbeats of a leader grant no vote.
constexpr base::milliseconds first_election_timeout{150};
constexpr base::seconds servers_write_interval{1};

} // namespace

struct control_node::impl {
  impl(const settings::role_settings& s, control_node_hooks h)
      : hooks(std::move(h)),
        runtime(s, make_role_hooks(), settings::control_limits_of(s, most_descriptors())),
        aside(runtime.io, aside_hooks()) {}

  role_hooks make_role_hooks();
  side_thread_hooks aside_hooks();
  base::result<void, std::string> open();
  storage::log_store_settings store_settings() const;
  void open_log(opened_log found);
  log_disk_hooks disk_hooks();
  fleet::document_log_hooks log_hooks();
  void on_message(std::string_view from, message_kind kind, const std::string& body);
  void on_document(const fleet::versioned_document& document);
  void on_content(const config::record_list& content);
  void store_servers(base::time_point now);
  void on_tick(base::time_point now);
  void update_voters(base::time_point now);
  void stop();

  control_node_hooks hooks;
  role_runtime runtime;
  std::unique_ptr<fleet::control_core> core;
  std::unique_ptr<fleet::document_log> documents;
  std::unique_ptr<rates::owner> rate_owner;
  std::unique_ptr<log_disk> disk;
  std::unique_ptr<control::http_server> control_server;
  std::unique_ptr<control::http_server> directory_server;
  std::unique_ptr<boost::asio::steady_timer> stop_timer;
  config::snapshot configuration;
  std::vector<std::string> known_controls;
  std::uint64_t view_index = 0;
  bool has_view = false;
  std::shared_ptr<storage::file_system> files = storage::make_system_files();
  std::uint64_t stored_position = 0; ///< of the server table
  base::time_point next_store{};
  std::unique_ptr<server_file> servers; ///< its thread is joined before the members above end
  side_thread aside;                    ///< the same
};

role_hooks control_node::impl::make_role_hooks() {
  role_hooks out;
  out.on_message = [this](std::string_view from, message_kind kind, const std::string& body) {
    on_message(from, kind, body);
  };
  out.on_tick = [this](base::time_point now) { on_tick(now); };
  out.status = [this] {
    const auto& log = documents->log();
    return nlohmann::json{{"is_leader", log.is_leader()},
                          {"leader", log.leader()},
                          {"applied", log.applied_index()},
                          {"version", documents->current().version},
                          {"evacuations", status_of(documents->evacuations())}};
  };
  out.on_stop = [this] { stop(); };
  out.on_reload = [this] {
    if (const auto s = hooks.reload ? hooks.reload() : std::nullopt) {
      for (const auto& id : s->seeds) {
        core->add_control(id);
      }
    }
  };
  return out;
}

side_thread_hooks control_node::impl::aside_hooks() {
  side_thread_hooks out;
  out.on_failure = [this](const std::string& reason) {
    runtime.metrics.count("side_thread_failures_total");
    observe::log_warning("thread_not_started", {{"reason", reason}});
  };
  return out;
}

base::result<void, std::string> control_node::impl::open() {
  const auto& s = runtime.settings;
  opened_log found;
  auto opened = log_disk::open(runtime.io, runtime.metrics, store_settings(), files, found);
  if (!opened) {
    return storage::describe(opened.error());
  }
  disk = std::move(opened.value());
  disk->set_hooks(disk_hooks());
  if (auto started = runtime.start(); !started) {
    return started.error();
  }
  fleet::control_settings core_settings;
  core_settings.self = s.id;
  core_settings.store = found.store_id;
  core_settings.data_centre = s.data_centre;
  core_settings.start = runtime.seed;
  core_settings.beat_interval = s.bounds.beat_interval;
  core_settings.cold_bound = s.bounds.cold;
  fleet::control_hooks core_hooks;
  core_hooks.send = [this](std::string_view to, message_kind kind, std::string body) {
    runtime.send(to, kind, std::move(body));
  };
  core_hooks.parse = hooks.parse;
  core_hooks.run_aside = [this](std::function<void()> work, std::function<void()> done) {
    aside.run(std::move(work), std::move(done));
  };
  core_hooks.on_content = [this](const config::record_list& content) { on_content(content); };
  core_hooks.is_connected = [this](std::string_view id) {
    return runtime.transport->is_connected(id);
  };
  core_hooks.log = [this](std::string_view event, std::string_view detail) {
    runtime.metrics.count("control_events_total", event);
    observe::log_info(event, {{"detail", detail}});
  };
  core_hooks.store_records = [this](std::function<void(bool)> done) {
    servers->store(std::move(done));
  };
  servers = std::make_unique<server_file>(runtime.io, files, s.data_folder,
                                          [this] { return core->records(); });
  core = std::make_unique<fleet::control_core>(std::move(core_settings), std::move(core_hooks));
  for (const auto& id : s.seeds) {
    core->add_control(id);
  }
  rates::owner_settings owner_settings;
  owner_settings.self = s.id;
  owner_settings.incarnation = runtime.seed;
  rates::owner_hooks owner_hooks;
  owner_hooks.send = [this](std::string_view to, message_kind kind, std::string body) {
    runtime.send(to, kind, std::move(body));
  };
  owner_hooks.limit_of = [this](std::string_view name) -> std::optional<rates::limit> {
    const auto w = configuration.find_workspace(name);
    return w ? std::optional(rates::limit{w->rate, w->burst}) : std::nullopt;
  };
  owner_hooks.is_fresh = [this] { return core->has_majority_contact(base::clock::now()); };
  rate_owner = std::make_unique<rates::owner>(std::move(owner_settings), std::move(owner_hooks));
  open_log(std::move(found));
  core->restore(servers->load(), base::clock::now());
  stored_position = core->servers().position();
  return base::success();
}

fleet::document_log_hooks control_node::impl::log_hooks() {
  fleet::document_log_hooks out;
  out.send = [this](std::string_view to, message_kind kind, std::string body) {
    runtime.send(to, kind, std::move(body));
  };
  out.persist = [this](consensus::write_batch batch) { disk->write(std::move(batch)); };
  out.save_snapshot = [this](const consensus::snapshot& s) { disk->save_snapshot(s); };
  out.on_document = [this](const fleet::versioned_document& d) { on_document(d); };
  out.on_evacuations = [this](const fleet::evacuation_set& e) {
    core->on_evacuations(e);
    runtime.metrics.set("evacuations", static_cast<double>(e.data_centres.size()));
  };
  out.on_role = [this] {
    const auto& log = documents->log();
    observe::log_info(
        "log_role",
        {{"term", log.term()}, {"is_leader", log.is_leader()}, {"leader", log.leader()}});
  };
  return out;
}

storage::log_store_settings control_node::impl::store_settings() const {
  storage::log_store_settings out;
  out.folder = runtime.settings.data_folder;
  out.instance = runtime.settings.id;
  out.fleet = runtime.settings.fleet;
  return out;
}

void control_node::impl::open_log(opened_log found) {
  const auto& s = runtime.settings;
  consensus::replica_settings replica;
  replica.self = {s.id, found.store_id};
  replica.seed = runtime.seed;
  replica.election_timeout = election_timeout;
  replica.first_election_timeout = first_election_timeout;
  replica.heartbeat_interval = heartbeat_interval;
  replica.storage_bound = storage_bound;
  // Only the seeds of the fleet's first start create the log; all other instances join it.
  if (s.is_first_start && std::ranges::find(s.seeds, s.id) != s.seeds.end()) {
    replica.initial_voters = s.seeds;
  }
  documents = std::make_unique<fleet::document_log>(std::move(replica), log_hooks(),
                                                    std::move(found.recovered), base::clock::now());
  core->set_log(documents.get());
}

log_disk_hooks control_node::impl::disk_hooks() {
  log_disk_hooks out;
  out.on_written = [this](std::uint64_t sequence, bool is_ok) {
    documents->log().on_persisted(sequence, is_ok, base::clock::now());
  };
  out.on_snapshot_saved = [this](std::uint64_t index, bool is_ok) {
    documents->log().on_snapshot_saved(index, is_ok, base::clock::now());
  };
  out.on_reopened = [this](opened_log found) { open_log(std::move(found)); };
  return out;
}

void control_node::impl::on_document(const fleet::versioned_document& document) {
  core->on_document(document);
}

/// Owners of rates need the workspaces only.
void control_node::impl::on_content(const config::record_list& content) {
  config::change_set changes;
  for (const auto& r : config::records_of(content, config::record_kind::workspace)) {
    if (auto read = config::read_record(r.kind(), r.name(), r.value, changes); !read) {
      observe::log_error("document_unreadable", {{"error", config::describe(read.error())}});
      return;
    }
  }
  configuration = {};
  configuration.apply(changes);
}

/// Stores the server table when it has changed, so that after a power loss of all instances callers
/// are served before every server has announced itself again. Leaves are stored at once instead.
void control_node::impl::store_servers(base::time_point now) {
  const auto position = core->servers().position();
  if (servers->is_writing() || now < next_store || position == stored_position) {
    return;
  }
  stored_position = position;
  next_store = now + servers_write_interval;
  servers->store([](bool) {}); // a failure is logged
}

void control_node::impl::on_message(std::string_view from, message_kind kind,
                                    const std::string& body) {
  const auto now = base::clock::now();
  switch (kind) {
  case message_kind::log_append:
  case message_kind::log_append_answer:
  case message_kind::log_vote:
  case message_kind::log_vote_answer:
  case message_kind::log_snapshot_chunk:
  case message_kind::log_snapshot_answer:
  case message_kind::log_timeout_now:
    documents->receive(from, kind, body, now);
    break;
  case message_kind::rate_ask:
    rate_owner->receive(from, kind, body, now);
    break;
  default:
    core->receive(from, kind, body, now);
  }
}

/// The voters own the rates, since they are few, known to all instances and rarely change.
void control_node::impl::update_voters(base::time_point now) {
  const auto& log = documents->log();
  const auto controls = core->control_ids();
  if (controls != known_controls) {
    known_controls = controls;
    runtime.set_peers({controls.begin(), controls.end()});
  }
  if (log.voters().voters.empty() || (has_view && log.voters_index() == view_index)) {
    return;
  }
  has_view = true;
  view_index = log.voters_index();
  membership::fleet_view view;
  view.version = view_index + 1;
  for (const auto& v : log.voters().voters) {
    view.members.push_back({v.id, "", "", "", true});
  }
  rate_owner->set_view(view, now);
}

void control_node::impl::on_tick(base::time_point now) {
  documents->tick(now);
  disk->tick(now);
  core->tick(now);
  update_voters(now);
  rate_owner->tick(now);
  store_servers(now);
}

void control_node::impl::stop() {
  documents->log().transfer_leadership(base::clock::now());
  control_server->stop();
  directory_server->stop();
  stop_timer = std::make_unique<boost::asio::steady_timer>(runtime.io, stop_delay);
  stop_timer->async_wait([this](boost::system::error_code) { runtime.end(); });
}

control_node::control_node(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

control_node::~control_node() = default;

base::result<std::unique_ptr<control_node>, std::string>
control_node::open(const settings::role_settings& settings, control_node_hooks hooks) {
  auto made = std::make_unique<impl>(settings, std::move(hooks));
  if (auto opened = made->open(); !opened) {
    return opened.error();
  }
  return std::unique_ptr<control_node>(new control_node(std::move(made)));
}

void control_node::set_handlers(control::http_handler control, control::http_handler directory) {
  const auto& s = impl_->runtime.settings;
  const auto& ports = impl_->runtime.ports;
  control::http_server_settings calls{s.control.address, s.control.port};
  calls.connections = ports.control;
  calls.body_limit = fleet::max_document_bytes;
  calls.body_memory = ports.call_memory;
  calls.answer_memory = ports.call_memory;
  impl_->control_server =
      std::make_unique<control::http_server>(impl_->runtime.io, calls, std::move(control));
  impl_->directory_server = std::make_unique<control::http_server>(
      impl_->runtime.io, port_for_reading(s.directory, ports.directory), std::move(directory));
}

fleet::control_core& control_node::core() noexcept {
  return *impl_->core;
}

fleet::document_log& control_node::documents() noexcept {
  return *impl_->documents;
}

const settings::role_settings& control_node::settings() const noexcept {
  return impl_->runtime.settings;
}

void control_node::run_aside(std::function<void()> work, std::function<void()> done) {
  impl_->aside.run(std::move(work), std::move(done));
}

void control_node::count(std::string_view name, std::string_view kind) {
  impl_->runtime.metrics.count(name, kind);
}

void control_node::run() {
  observe::log_info("control_started", {{"id", impl_->runtime.settings.id},
                                        {"data_centre", impl_->runtime.settings.data_centre},
                                        {"peer", impl_->runtime.settings.peer.to_string()}});
  impl_->runtime.run();
}

} // namespace kingcupshunt::node
