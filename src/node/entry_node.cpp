#include "kingcupshunt/node/entry_node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "entry_traffic.h"
#include "kingcupshunt/observe/event_log.h"
#include "kingcupshunt/proxy/entry_server.h"
#include "kingcupshunt/proxy/tunnel_server.h"
#include "role_runtime.h"

namespace kingcupshunt::node {

using peer::message_kind;

namespace {

/// Time from the stop signal to the close of the listener, in lifetimes of an address answer: at
/// most three, since some callers use an answer that long.
constexpr double address_lifetimes = 2.5;
/// Reserved between the last answer and the kill at the end of the stop grace period.
constexpr base::milliseconds stop_margin{400};
/// How long after the deadline the proxy answers itself, since an upstream's own time-out answer
/// arrives slightly after the deadline.
constexpr base::milliseconds answer_grace{60};
constexpr base::milliseconds connect_timeout{400}; // connecting takes about 1 ms
constexpr base::milliseconds verified_for{1500};   // upstreams close idle connections later
constexpr base::milliseconds upstream_idle_timeout{4000};
constexpr std::size_t max_replay_bytes = std::size_t{1} << 20U;
/// The rest of the process's memory is for connections, their kernel buffers and the server table.
constexpr std::size_t answer_memory_divisor = 8;
/// Shares of the process's memory for bytes that the system has received from callers, from servers
/// and on tunnels, and that are not read yet.
constexpr std::size_t caller_receive_divisor = 4;
constexpr std::size_t upstream_receive_divisor = 8;
constexpr std::size_t tunnel_receive_divisor = 16;
/// Two bodies of the greatest size that is held whole, also in a process with little memory.
constexpr double least_caller_memory = 4.0 * static_cast<double>(max_replay_bytes);
constexpr base::seconds max_request_time{120};

peer::handshake_settings handshake_of(const settings::role_settings& s) {
  peer::handshake_settings out;
  out.self_id = s.id;
  out.fleet = s.fleet;
  out.secret = s.fleet_secret;
  return out;
}

proxy::entry_settings entry_settings_of(const settings::role_settings& s,
                                        const settings::port_limits& ports,
                                        proxy::wire_names names) {
  proxy::entry_settings out;
  out.address = s.entry.address;
  out.port = s.entry.port;
  out.max_connections = ports.callers;
  out.max_upstream_connections = ports.upstreams;
  out.single_caller_share = s.caller_memory.single_share;
  out.least_body_rate = s.caller_memory.least_body_rate;
  out.max_connections_per_caller = ports.callers; // callers may share an address
  out.max_replay_bytes = max_replay_bytes;
  out.must_read_chunked_whole = true;
  out.max_stored_answer_bytes = max_replay_bytes;
  if (s.memory_bytes > 0) {
    out.max_answer_memory_bytes = s.memory_bytes / answer_memory_divisor;
    out.max_caller_memory_bytes = static_cast<std::size_t>(
        std::max(static_cast<double>(s.memory_bytes) * s.caller_memory.share, least_caller_memory));
    out.caller_receive_bytes =
        settings::receive_buffer_of(s.memory_bytes / caller_receive_divisor,
                                    std::min(ports.callers, proxy::most_connections_of(out)));
    out.upstream_receive_bytes =
        settings::receive_buffer_of(s.memory_bytes / upstream_receive_divisor, ports.upstreams);
  }
  out.total_timeout = max_request_time;
  out.connect_timeout = connect_timeout;
  out.verified_for = verified_for;
  out.upstream_idle_timeout = upstream_idle_timeout;
  out.silence_timeout = max_request_time; // slow lookups are hedged instead
  out.answer_grace = answer_grace;
  out.names = std::move(names);
  out.tunnel_handshake = handshake_of(s);
  return out;
}

} // namespace

struct entry_node::impl {
  impl(const settings::role_settings& s, proxy::wire_names n, entry_node_hooks h)
      : names(std::move(n)), hooks(std::move(h)),
        runtime(s, make_role_hooks(), settings::entry_limits_of(s, most_descriptors())),
        link(link_settings(), link_hooks()),
        traffic(runtime, link, [this] { entry->discard_upstream_connections(); }),
        stop_timer(runtime.io) {}

  role_hooks make_role_hooks();
  fleet::entry_link_settings link_settings() const;
  fleet::entry_link_hooks link_hooks();
  base::result<void, std::string> open();
  void on_message(std::string_view from, message_kind kind, const std::string& body);
  bool is_ready() const {
    return !is_leaving && link.has_document() && link.is_fresh() &&
           !link.is_outdated(base::clock::now());
  }
  void begin_stop();
  void close_entry(base::time_point stop_at);
  void end_listener();

  proxy::wire_names names;
  entry_node_hooks hooks;
  role_runtime runtime;
  fleet::entry_link link;
  entry_traffic traffic;
  boost::asio::steady_timer stop_timer;
  std::unique_ptr<proxy::entry_server> entry;
  std::unique_ptr<proxy::tunnel_server> tunnels;
  std::unique_ptr<control::http_server> readiness;
  bool is_leaving = false;
  std::size_t open_listeners = 0; ///< of `entry` and `tunnels`, those whose stop has not ended
  bool was_ready = false;
};

role_hooks entry_node::impl::make_role_hooks() {
  role_hooks out;
  out.on_message = [this](std::string_view from, message_kind kind, const std::string& body) {
    on_message(from, kind, body);
  };
  out.on_tick = [this](base::time_point now) {
    if (is_ready() != was_ready) {
      was_ready = !was_ready;
      observe::log_info("readiness", {{"is_ready", was_ready}, {"version", link.version()}});
      link.query_now();
    }
    link.tick(now);
    traffic.tick(now);
  };
  out.status = [this] {
    return nlohmann::json{{"is_ready", is_ready()},
                          {"is_fresh", link.is_fresh()},
                          {"version", link.version()},
                          {"evacuations", status_of(link.evacuations())}};
  };
  out.on_stop = [this] { begin_stop(); };
  out.on_reload = [this] {
    if (const auto s = hooks.reload ? hooks.reload() : std::nullopt) {
      link.set_seeds(s->seeds);
    }
  };
  return out;
}

fleet::entry_link_settings entry_node::impl::link_settings() const {
  fleet::entry_link_settings out;
  out.self = runtime.settings.id;
  out.entry_address = runtime.settings.entry.to_string();
  out.data_centre = runtime.settings.data_centre;
  if (runtime.settings.tunnel.port != 0) {
    out.tunnel_address = runtime.settings.tunnel.to_string();
  }
  out.lease = runtime.settings.bounds.lease;
  out.apply_time = runtime.settings.bounds.apply_time;
  return out;
}

fleet::entry_link_hooks entry_node::impl::link_hooks() {
  fleet::entry_link_hooks out;
  out.send = [this](std::string_view to, message_kind kind, std::string body) {
    runtime.send(to, kind, std::move(body));
  };
  out.is_ready = [this] { return is_ready(); };
  out.is_leaving = [this] { return is_leaving; };
  out.is_cut_off = [this] { return traffic.is_cut_off(); };
  out.has_no_path = [this] { return traffic.has_no_path(); };
  out.on_server = [this](const fleet::server_record& r) { traffic.on_server(r); };
  out.on_document = [this](const config::snapshot& s) {
    traffic.on_document(s);
    if (const auto limits = s.entry_limits(); limits && entry) {
      entry->set_caller_limits(limits->head_bytes, limits->head_timeout, limits->idle_timeout);
    }
  };
  out.on_evacuations = [this](const fleet::evacuation_set& e) { traffic.set_evacuations(e); };
  out.on_controls = [this] { traffic.update_controls(); };
  out.defer = [this](std::function<void()> step) {
    boost::asio::post(runtime.io, std::move(step));
  };
  out.log = [this](std::string_view event, std::string_view detail) {
    runtime.metrics.count("entry_events_total", event);
    observe::log_info(event, {{"detail", detail}});
  };
  return out;
}

base::result<void, std::string> entry_node::impl::open() {
  if (auto started = runtime.start(); !started) {
    return started.error();
  }
  const auto& s = runtime.settings;
  link.set_seeds(s.seeds);
  const auto& ports = runtime.ports;
  entry = std::make_unique<proxy::entry_server>(runtime.io, entry_settings_of(s, ports, names),
                                                traffic.make_hooks(), runtime.metrics);
  if (s.tunnel.port != 0) {
    proxy::tunnel_server_settings tunnel;
    tunnel.address = s.tunnel.address;
    tunnel.port = s.tunnel.port;
    tunnel.handshake = handshake_of(s);
    tunnel.max_tunnels = ports.tunnels;
    tunnel.receive_bytes =
        settings::receive_buffer_of(s.memory_bytes / tunnel_receive_divisor, 2 * ports.tunnels);
    tunnels = std::make_unique<proxy::tunnel_server>(
        runtime.io, std::move(tunnel),
        [this](const std::string& server) { return traffic.address_of(server); }, runtime.metrics);
  }
  readiness = std::make_unique<control::http_server>(
      runtime.io, port_for_reading(s.readiness, ports.readiness),
      [this](const control::http_request& request,
             const std::function<void(control::http_response)>& done) {
        if (request.path != hooks.readiness_path) {
          done(control::error_response(404, "not_found", "only the readiness path is served"));
        } else if (is_ready()) {
          done({200, "application/json", "{\"is_ready\":true}", {}});
        } else {
          done(control::error_response(503, "not_ready", is_leaving ? "leaving" : "no lease"));
        }
      });
  return base::success();
}

void entry_node::impl::on_message(std::string_view from, message_kind kind,
                                  const std::string& body) {
  const auto now = base::clock::now();
  switch (kind) {
  case message_kind::rate_grant:
  case message_kind::load_total:
  case message_kind::permit_grant:
    traffic.receive(from, kind, body, now);
    break;
  default:
    link.receive(from, kind, body, now);
  }
}

/// Keeps the listener open for a while, since callers use an address for some time after it was
/// removed from the address answers.
void entry_node::impl::begin_stop() {
  const auto now = base::clock::now();
  const auto& bounds = runtime.settings.bounds;
  const auto stop_at = now + bounds.stop_grace - stop_margin;
  is_leaving = true;
  link.query_now();
  link.tick(now);
  entry->begin_stop({now, stop_at});
  open_listeners = tunnels ? 2 : 1;
  if (tunnels) {
    // A request of another instance may begin on an open tunnel at any time, so tunnels are closed
    // early enough for the requests on them to end.
    tunnels->stop(stop_at, [this] { end_listener(); });
  }
  stop_timer.expires_at(std::min(
      now + base::from_seconds(base::to_seconds(bounds.address_lifetime) * address_lifetimes),
      stop_at));
  stop_timer.async_wait([this, stop_at](boost::system::error_code) { close_entry(stop_at); });
}

void entry_node::impl::close_entry(base::time_point stop_at) {
  entry->stop(stop_at, [this](std::size_t aborted) {
    observe::log_info("connections_cut", {{"count", aborted}});
    end_listener();
  });
}

void entry_node::impl::end_listener() {
  if (--open_listeners == 0) {
    runtime.end();
  }
}

entry_node::entry_node(std::unique_ptr<impl> i) : impl_(std::move(i)) {}

entry_node::~entry_node() = default;

base::result<std::unique_ptr<entry_node>, std::string>
entry_node::open(const settings::role_settings& settings, proxy::wire_names names,
                 entry_node_hooks hooks) {
  auto made = std::make_unique<impl>(settings, std::move(names), std::move(hooks));
  if (auto opened = made->open(); !opened) {
    return opened.error();
  }
  return std::unique_ptr<entry_node>(new entry_node(std::move(made)));
}

void entry_node::run() {
  const auto& s = impl_->runtime.settings;
  observe::log_info("entry_started",
                    {{"id", s.id}, {"data_centre", s.data_centre}, {"entry", s.entry.to_string()}});
  impl_->runtime.run();
}

} // namespace kingcupshunt::node
