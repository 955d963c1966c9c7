#include "role_runtime.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <sys/resource.h>

#include <boost/asio/post.hpp>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/observe/event_log.h"

namespace kingcupshunt::node {

namespace {

constexpr base::milliseconds tick_interval{25}; // half of the maximum age of load totals
constexpr base::seconds reload_interval{1};     // settings can change without SIGHUP
/// Share of the process's memory for incomplete frames of other instances.
constexpr std::size_t frame_memory_divisor = 8;
constexpr const char* status_path = "/status";
/// Pages of one port that their callers have not read yet.
constexpr std::size_t page_memory = std::size_t{4} << 20U;

std::uint64_t random_number() {
  return base::hash64(base::random_bytes(sizeof(std::uint64_t))) | 1U;
}

peer::transport_settings transport_settings_of(const settings::role_settings& s,
                                               const settings::port_limits& ports) {
  peer::transport_settings out;
  out.self_id = s.id;
  out.fleet = s.fleet;
  out.secret = s.fleet_secret;
  out.listen_address = s.peer.to_string();
  out.limits.greatest_backoff = base::milliseconds(200); // reconnects soon after a partition ends
  out.limits.connect_timeout = base::milliseconds(400);  // a host without power sends no answer
  out.limits.silence = base::milliseconds(1500);
  if (s.memory_bytes > 0) {
    out.limits.frame_memory = s.memory_bytes / frame_memory_divisor;
  }
  out.limits.max_incoming = ports.peers;
  out.limits.max_unauthenticated = ports.unauthenticated_peers;
  out.seed = random_number();
  return out;
}

} // namespace

control::http_server_settings port_for_reading(const settings::listen_address& at,
                                               std::size_t connections) {
  control::http_server_settings out;
  out.address = at.address;
  out.port = at.port;
  out.body_limit = 0;
  out.body_memory = 0;
  out.answer_memory = page_memory;
  out.connections = connections;
  return out;
}

std::size_t most_descriptors() {
  rlimit limit{};
  const bool is_limited =
      ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return is_limited ? limit.rlim_cur : 0;
}

nlohmann::json status_of(const fleet::evacuation_set& evacuations) {
  return {{"number", evacuations.number}, {"data_centres", evacuations.data_centres}};
}

role_runtime::role_runtime(settings::role_settings s, role_hooks hooks,
                           const settings::port_limits& limits)
    : settings(std::move(s)), ports(limits), seed(random_number()), hooks_(std::move(hooks)) {}

base::result<void, std::string> role_runtime::start() {
  transport = std::make_unique<peer::transport>(io, transport_settings_of(settings, ports));
  transport->on_message([this](std::string_view from, peer::message_kind kind,
                               const std::string& body) { hooks_.on_message(from, kind, body); });
  transport->on_drop(
      [this](const peer::dropped_message& m) { drops_.note(m, base::clock::now()); });
  if (auto started = transport->start(); !started) {
    return settings.peer.to_string() + ": " + peer::message_of(started.error());
  }
  if (settings.metrics.port != 0) {
    metrics_server_ = std::make_unique<control::http_server>(
        io, port_for_reading(settings.metrics, ports.metrics),
        [this](const control::http_request& request,
               const std::function<void(control::http_response)>& done) {
          done(operator_page(request));
        });
  }
  return base::success();
}

/// The status, and the metrics under any other path.
control::http_response role_runtime::operator_page(const control::http_request& request) {
  if (request.path != status_path || !hooks_.status) {
    return {200, "text/plain; version=0.0.4", metrics.serialize(), {}};
  }
  auto page = hooks_.status();
  page["id"] = settings.id;
  page["data_centre"] = settings.data_centre;
  // The own id and data centre, and sets of a former build, may have bytes that are not UTF-8.
  return {200,
          "application/json",
          page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
          {}};
}

void role_runtime::send(std::string_view to, peer::message_kind kind, std::string body) {
  metrics.count("peer_messages_total");
  metrics.count("peer_bytes_total", {}, static_cast<double>(body.size()));
  if (to == settings.id) {
    boost::asio::post(
        io, [this, kind, body = std::move(body)] { hooks_.on_message(settings.id, kind, body); });
    return;
  }
  transport->send(to, kind, std::move(body));
}

void role_runtime::set_peers(const std::set<std::string, std::less<>>& ids) {
  std::vector<peer::peer_address> peers;
  for (const auto& id : ids) {
    if (id != settings.id) {
      peers.push_back({id, id + ":" + std::to_string(settings.peer.port)});
    }
  }
  transport->set_peers(peers);
}

void role_runtime::schedule_tick() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    const auto now = base::clock::now();
    hooks_.on_tick(now);
    if (now >= next_reload_) {
      next_reload_ = now + reload_interval;
      hooks_.on_reload();
    }
    schedule_tick();
  });
}

void role_runtime::wait_for_signal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      observe::log_info("reload", {{"signal", signal}});
      hooks_.on_reload();
    } else if (!std::exchange(is_stopping_, true)) {
      observe::log_info("stop_begins", {{"signal", signal}});
      hooks_.on_stop();
    }
    wait_for_signal();
  });
}

void role_runtime::run() {
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  wait_for_signal();
  schedule_tick();
  io.run();
  observe::log_info("stop_ends", {{"id", settings.id}});
}

} // namespace kingcupshunt::node
