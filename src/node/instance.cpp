#include "kingcupshunt/node/instance.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "address_book.h"
#include "drop_log.h"
#include "fleet_state.h"
#include "folder_task.h"
#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/control/announce_api.h"
#include "kingcupshunt/control/http_server.h"
#include "kingcupshunt/membership/self_watch.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/peer/transport.h"
#include "operator_api.h"
#include "traffic.h"

namespace kingcupshunt::node {

namespace {

using peer::message_kind;

constexpr base::milliseconds slow_tick{50};
constexpr base::milliseconds fast_tick{10}; ///< while requests run or wait, or rates are due
constexpr std::size_t decision_capacity = 4096;

std::uint64_t random_seed() {
  const auto bytes = base::random_bytes(sizeof(std::uint64_t));
  return base::hash64(bytes);
}

std::uint64_t unix_ms_now() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

proxy::entry_settings entry_settings_of(const settings::process_settings& s) {
  proxy::entry_settings out;
  out.address = s.entry.address;
  out.port = s.entry.port;
  out.max_connections = s.limits.connections;
  out.max_connections_per_caller = s.limits.connections_per_address;
  out.max_head_bytes = s.limits.header_bytes;
  out.max_header_fields = s.limits.header_count;
  out.idle_timeout = s.limits.idle;
  out.head_timeout = s.limits.header_read;
  return out;
}

} // namespace

struct instance::impl {
  explicit impl(settings::process_settings s)
      : settings(std::move(s)), decisions(decision_capacity), timer(io),
        signals(io), rt{io, settings, metrics, decisions, {}, unix_ms_now(), random_seed()} {
    rt.send = [this](std::string_view to, message_kind kind, std::string body) {
      send(to, kind, std::move(body));
    };
  }

  base::result<void, std::string> open();
  void open_listeners();
  void send(std::string_view to, message_kind kind, std::string body);
  void dispatch(std::string_view from, message_kind kind, std::string_view body);
  void apply_view(const membership::fleet_view& view, base::time_point now);
  void schedule_tick();
  void on_tick();
  void check_self(base::time_point now);
  readiness ready(base::time_point now) const;
  void begin_stop(int signal);
  void close_entry();
  void finish_stop(std::size_t aborted);

  settings::process_settings settings;
  boost::asio::io_context io;
  observe::metrics metrics;
  drop_log drops{metrics};
  observe::decision_ring decisions;
  boost::asio::steady_timer timer;
  boost::asio::signal_set signals;
  runtime rt;
  std::unique_ptr<peer::transport> transport;
  std::unique_ptr<fleet_state> fleet;
  std::unique_ptr<traffic> requests;
  std::unique_ptr<address_book> addresses;
  std::unique_ptr<folder_task> folder;
  std::unique_ptr<proxy::entry_server> entry;
  std::unique_ptr<control::http_server> announce_server;
  std::unique_ptr<control::http_server> operator_server;
  membership::self_watch self_watch;
  std::set<std::string, std::less<>> unreachable; ///< peers whose last connection attempt failed
  base::time_point tick_due{};
  base::time_point stop_at{}; ///< end of a planned stop
  base::time_point next_slow_tick{};
  bool was_ready = false;
};

base::result<void, std::string> instance::impl::open() {
  const auto now = base::clock::now();
  peer::transport_settings peers;
  peers.self_id = settings.id;
  peers.fleet = settings.fleet;
  peers.secret = settings.fleet_secret;
  peers.listen_address = settings.peer.to_string();
  peers.seed = rt.seed + 5;
  transport = std::make_unique<peer::transport>(io, std::move(peers));
  transport->on_message([this](std::string_view from, message_kind kind, const std::string& body) {
    dispatch(from, kind, body);
  });
  transport->on_drop([this](const peer::dropped_message& m) { drops.note(m, base::clock::now()); });
  transport->on_connect_result([this](std::string_view peer, bool is_connected) {
    self_watch.add_send(is_connected);
    if (is_connected) {
      unreachable.erase(std::string(peer));
    } else {
      unreachable.emplace(peer);
    }
  });

  fleet_state_hooks hooks;
  hooks.on_configuration = [this](base::time_point at) {
    if (requests) {
      requests->apply_configuration(at);
    }
  };
  hooks.on_view = [this](const membership::fleet_view& view, base::time_point at) {
    apply_view(view, at);
  };
  hooks.on_path_fault = [this](const membership::path_fault& fault) {
    rt.record({"membership.path", "instance", fault.peer,
               fault.cut == membership::path_direction::none ? "path_restored" : "path_cut",
               "direction=" + std::to_string(static_cast<int>(fault.cut)), 0});
  };
  hooks.is_unreachable = [this](std::string_view peer) {
    return unreachable.contains(peer) && !transport->is_connected(peer);
  };
  hooks.on_disk_time = [this](base::duration time) { self_watch.add_disk_time(time); };
  auto opened = fleet_state::open(rt, std::move(hooks), now);
  if (!opened) {
    return opened.error();
  }
  fleet = std::move(opened.value());
  requests = std::make_unique<traffic>(rt, *fleet);
  addresses = std::make_unique<address_book>(rt, *fleet);
  if (!settings.config_folder.empty()) {
    folder = std::make_unique<folder_task>(rt, *fleet);
  }
  apply_view(fleet->view(), now);
  if (auto started = transport->start(); !started) {
    return settings.peer.to_string() + ": " + peer::message_of(started.error());
  }
  open_listeners();
  return base::success();
}

void instance::impl::open_listeners() {
  entry = std::make_unique<proxy::entry_server>(io, entry_settings_of(settings),
                                                requests->make_hooks(), metrics);
  entry->set_interceptor(
      [this](const proxy::request_head& head) { return addresses->answer(head); });

  control::announce_hooks announce;
  announce.is_ready = [this] { return fleet->is_synced(); };
  announce.find_service = [this](std::string_view name) {
    return fleet->configuration().find_service(name);
  };
  announce.announce = [this](const health::announcement& a) {
    return requests->registry().announce(a, base::clock::now());
  };
  announce_server = std::make_unique<control::http_server>(
      io, control::http_server_settings{settings.announce.address, settings.announce.port},
      control::make_announce_handler(std::move(announce)));

  operator_sources sources{rt, *fleet, *requests, [this] { return ready(base::clock::now()); }};
  operator_server = std::make_unique<control::http_server>(
      io, control::http_server_settings{settings.operators.address, settings.operators.port},
      make_operator_handler(std::move(sources)));
}

void instance::impl::send(std::string_view to, message_kind kind, std::string body) {
  if (to == settings.id) {
    boost::asio::post(io,
                      [this, kind, body = std::move(body)] { dispatch(settings.id, kind, body); });
    return;
  }
  metrics.count("peer_messages_total", {}, 1);
  metrics.count("peer_bytes_total", {}, static_cast<double>(body.size()));
  transport->send(to, kind, std::move(body));
}

void instance::impl::dispatch(std::string_view from, message_kind kind, std::string_view body) {
  const auto now = base::clock::now();
  if (kind == message_kind::condition_report) {
    addresses->receive(from, body, now);
    return;
  }
  if (!fleet->receive(from, kind, body, now) && !requests->receive(from, kind, body, now)) {
    metrics.count("unknown_messages_total");
  }
}

// Connects to the members of the view and the voters of the settings. A new instance has no view
// and starts from the voters.
void instance::impl::apply_view(const membership::fleet_view& view, base::time_point now) {
  std::vector<peer::peer_address> peers;
  for (const auto& it : view.members) {
    if (it.id != settings.id) {
      peers.push_back({it.id, it.peer_address});
    }
  }
  for (const auto& it : settings.voters) {
    if (it.id != settings.id && view.find(it.id) == nullptr) {
      peers.push_back({it.id, it.peer.to_string()});
    }
  }
  transport->set_peers(peers);
  if (requests && view.version > 0) {
    requests->set_view(view, now);
  }
}

void instance::impl::schedule_tick() {
  // Ticking every 10 ms takes 1.0 % of a core on an idle instance, close to the limit of 1.2 %.
  tick_due = base::clock::now() + (requests->is_waiting() ? fast_tick : slow_tick);
  timer.expires_at(tick_due);
  timer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      on_tick();
    }
  });
}

void instance::impl::on_tick() {
  const auto now = base::clock::now();
  self_watch.add_loop_lag(now - tick_due);
  requests->fast_tick(now);
  if (now >= next_slow_tick) {
    next_slow_tick = now + slow_tick - fast_tick / 2;
    fleet->tick(now);
    requests->tick(now);
    if (folder) {
      folder->tick(now);
    }
    check_self(now);
  }
  schedule_tick();
}

void instance::impl::check_self(base::time_point now) {
  if (self_watch.tick(now)) {
    rt.record({"self_watch", "instance", settings.id,
               self_watch.is_healthy() ? "healthy" : "unhealthy", self_watch.reason(), 0});
  }
  const auto state = ready(now);
  if (state.is_ready != was_ready) {
    was_ready = state.is_ready;
    rt.record({"readiness", "instance", settings.id, state.is_ready ? "ready" : "not_ready",
               state.reason, 0});
  }
  addresses->set_local({state.is_ready, requests->load()}, now);
  metrics.set("is_ready", state.is_ready ? 1 : 0);
  metrics.set("revision", static_cast<double>(fleet->revision()));
  metrics.set("requests_running", static_cast<double>(requests->running()));
  metrics.set("requests_waiting", static_cast<double>(requests->waiting()));
}

readiness instance::impl::ready(base::time_point now) const {
  if (fleet->is_leaving()) {
    return {false, "leaving"};
  }
  if (!fleet->is_synced()) {
    return {false, "not_synced"};
  }
  if (!fleet->is_fresh(now)) {
    return {false, "stale_view"};
  }
  if (!self_watch.is_healthy()) {
    return {false, "unhealthy: " + self_watch.reason()};
  }
  if (requests->is_faulty()) {
    return {false, "requests fail at servers that other instances report as healthy"};
  }
  return {true, ""};
}

// The instance leaves the address answers first and closes its listener after `stop_lead`, so that
// callers with an older answer are still served.
void instance::impl::begin_stop(int signal) {
  observe::log_info("stop_begins", {{"signal", signal}, {"lead_ms", settings.stop_lead.count()}});
  const auto now = base::clock::now();
  fleet->leave(now);
  check_self(now);
  stop_at = now + settings.stop_lead + settings.stop_grace;
  entry->begin_stop({now, stop_at});
  const auto lead_timer = std::make_shared<boost::asio::steady_timer>(io, settings.stop_lead);
  lead_timer->async_wait([this, lead_timer](boost::system::error_code) { close_entry(); });
  signals.async_wait([this](boost::system::error_code ec, int) {
    if (!ec) {
      finish_stop(entry->connection_count());
    }
  });
}

void instance::impl::close_entry() {
  announce_server->stop();
  entry->stop(stop_at, [this](std::size_t aborted) { finish_stop(aborted); });
}

void instance::impl::finish_stop(std::size_t aborted) {
  observe::log_info("stop_ends",
                    {{"connections_cut", aborted}, {"requests_running", requests->running()}});
  io.stop();
}

instance::instance(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

instance::~instance() = default;

base::result<std::unique_ptr<instance>, std::string>
instance::open(settings::process_settings settings) {
  auto made = std::make_unique<impl>(std::move(settings));
  if (auto opened = made->open(); !opened) {
    return opened.error();
  }
  return std::unique_ptr<instance>(new instance(std::move(made)));
}

void instance::run() {
  impl_->signals.add(SIGTERM);
  impl_->signals.add(SIGINT);
  impl_->signals.async_wait([this](boost::system::error_code ec, int signal) {
    if (!ec) {
      impl_->begin_stop(signal);
    }
  });
  impl_->schedule_tick();
  observe::log_info("instance_started", {{"id", impl_->settings.id},
                                         {"fleet", impl_->settings.fleet},
                                         {"data_centre", impl_->settings.data_centre},
                                         {"entry", impl_->settings.entry.to_string()},
                                         {"is_voter", impl_->settings.is_voter()}});
  impl_->io.run();
}

} // namespace kingcupshunt::node
