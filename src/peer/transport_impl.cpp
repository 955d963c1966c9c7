#include <utility>

#include "transport_impl.h"

#include <algorithm>
#include <charconv>

#include "relay.h"

namespace kingcupshunt::peer {

namespace {

using boost::asio::ip::tcp;

constexpr base::duration tick_interval = base::milliseconds(50);
/// Of a connection that stays when there is no room for new ones.
constexpr base::duration handshake_time = base::milliseconds(100);

std::optional<tcp::endpoint> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  if (ec || error != std::errc() || last != end) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

} // namespace

base::result<void, transport_error> transport::impl::start() {
  const auto endpoint = parse_address(settings.listen_address);
  if (!endpoint) {
    return transport_error::bad_address;
  }
  boost::system::error_code ec;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return transport_error::cannot_listen;
  }
  accept_next();
  schedule_tick();
  return base::success();
}

connection_events transport::impl::events() {
  connection_events out;
  out.on_ready = [this](connection& c) { on_ready(c); };
  out.on_frame = [this](connection& c, frame f) { on_frame(c.peer_id(), std::move(f)); };
  out.on_closed = [this](connection& c) { on_closed(c); };
  out.next_frame = [this](connection& c) { return next_frame(c); };
  return out;
}

void transport::impl::accept_next() {
  acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket s) {
    if (self->is_stopped) {
      return;
    }
    if (!ec) {
      self->accepted(std::move(s));
    }
    // An error such as a lack of descriptors passes; the next tick tries again.
    if (!ec) {
      self->accept_next();
    } else {
      self->is_accepting = false;
    }
  });
  is_accepting = true;
}

/// Closes the oldest connection before its authentication, so that clients that are not of the
/// fleet can't take the place of instances. One of an instance is done within a few milliseconds.
void transport::impl::close_oldest_unnamed() {
  if (unnamed.empty() || base::clock::now() - unnamed.front()->started_at() < handshake_time) {
    return;
  }
  ++counters.replaced_connections;
  const auto oldest = unnamed.front(); // closing removes it
  oldest->close();
}

void transport::impl::accepted(tcp::socket s) {
  if (incoming_count >= settings.limits.max_incoming ||
      unnamed.size() >= settings.limits.max_unauthenticated) {
    close_oldest_unnamed();
  }
  if (incoming_count >= settings.limits.max_incoming ||
      unnamed.size() >= settings.limits.max_unauthenticated) {
    ++counters.refused_connections;
    return;
  }
  ++incoming_count;
  unnamed.push_back(std::make_shared<connection>(std::move(s), handshake_role::server, settings,
                                                 std::string(), frame_memory, counters, events()));
  unnamed.back()->accept();
}

void transport::impl::connect(const std::string& id, peer_entry& entry, base::time_point now) {
  if (!entry.address || entry.outgoing || now < entry.retry_at) {
    return;
  }
  ++counters.connects;
  entry.outgoing = std::make_shared<connection>(tcp::socket(context), handshake_role::client,
                                                settings, id, frame_memory, counters, events());
  entry.outgoing->connect(*entry.address);
}

void transport::impl::on_ready(connection& c) {
  auto& entry = peers[c.peer_id()];
  if (c.is_outgoing()) {
    entry.failures = 0;
    if (connect_handler) {
      connect_handler(c.peer_id(), true);
    }
    return;
  }
  entry.incoming.push_back(c.shared_from_this());
  std::erase(unnamed, c.shared_from_this());
}

void transport::impl::on_closed(connection& c) {
  const auto self = c.shared_from_this();
  incoming_count -= c.is_outgoing() ? 0 : 1;
  std::erase(unnamed, self);
  const auto it = peers.find(c.peer_id());
  if (it == peers.end()) {
    return;
  }
  auto& entry = it->second;
  std::erase(entry.incoming, self);
  if (entry.outgoing == self) {
    entry.outgoing.reset();
    if (!c.is_ready()) {
      back_off(entry);
      ++counters.failed_connects;
      if (connect_handler) {
        connect_handler(c.peer_id(), false);
      }
    }
  }
}

void transport::impl::back_off(peer_entry& entry) {
  const auto& limits = settings.limits;
  const auto doubled = limits.least_backoff * (1 << std::min(entry.failures, 16));
  const auto backoff = std::min(doubled, limits.greatest_backoff);
  // Between a half and the whole, so that instances do not reconnect in step.
  const auto jittered = base::from_seconds(base::to_seconds(backoff) * (0.5 + random.unit() / 2));
  entry.retry_at = base::clock::now() + jittered;
  ++entry.failures;
}

connection* transport::impl::ready_connection(const peer_entry& entry) {
  if (entry.outgoing && entry.outgoing->is_ready()) {
    return entry.outgoing.get();
  }
  return entry.incoming.empty() ? nullptr : entry.incoming.back().get();
}

std::optional<frame> transport::impl::next_frame(connection& c) {
  const auto it = peers.find(c.peer_id());
  if (it == peers.end() || ready_connection(it->second) != &c) {
    return std::nullopt;
  }
  auto& entry = it->second;
  drop_late(it->first, entry, base::clock::now());
  if (entry.queue.empty()) {
    return std::nullopt;
  }
  ++counters.sent;
  return pop(entry);
}

frame transport::impl::pop(peer_entry& entry) {
  auto out = std::move(entry.queue.front().message);
  entry.queued_bytes -= out.body.size();
  entry.queue.pop_front();
  return out;
}

void transport::impl::drop(std::string_view to, message_kind kind, std::size_t bytes,
                           drop_reason reason) {
  switch (reason) {
  case drop_reason::queue_full:
    ++counters.dropped_full;
    break;
  case drop_reason::late:
    ++counters.dropped_late;
    break;
  case drop_reason::unknown:
    ++counters.dropped_unknown;
    break;
  case drop_reason::too_large:
    ++counters.dropped_too_large;
    break;
  }
  if (drop_handler) {
    drop_handler({to, kind, bytes, reason});
  }
}

void transport::impl::drop_late(std::string_view id, peer_entry& entry, base::time_point now) {
  while (!entry.queue.empty() && now - entry.queue.front().at > settings.limits.max_queue_time) {
    const auto message = pop(entry);
    drop(id, message.kind, message.body.size(), drop_reason::late);
  }
}

bool transport::impl::enqueue(std::string_view to, message_kind kind, std::string body) {
  auto it = peers.find(to);
  if (it == peers.end() || (!it->second.address && ready_connection(it->second) == nullptr)) {
    drop(to, kind, body.size(), drop_reason::unknown);
    return false;
  }
  auto& entry = it->second;
  const auto now = base::clock::now();
  drop_late(it->first, entry, now);
  entry.queued_bytes += body.size();
  entry.queue.push_back({{settings.versions.greatest, kind, std::move(body)}, now});
  while (entry.queue.size() > settings.limits.max_queued_messages ||
         entry.queued_bytes > settings.limits.max_queued_bytes) {
    const auto message = pop(entry);
    drop(it->first, message.kind, message.body.size(), drop_reason::queue_full);
  }
  if (auto* c = ready_connection(entry)) {
    c->flush();
  } else {
    connect(it->first, entry, now);
  }
  return true;
}

bool transport::impl::send(std::string_view to, message_kind kind, std::string body) {
  if (is_stopped) {
    return false;
  }
  const auto it = peers.find(to);
  const bool has_detour = it != peers.end() && !it->second.relay.empty() && is_relayed_kind(kind);
  if (body.size() > max_body_bytes - (has_detour ? relay_overhead_bytes : 0)) {
    drop(to, kind, body.size(), drop_reason::too_large);
    return false;
  }
  if (!has_detour) {
    return enqueue(to, kind, std::move(body));
  }
  const auto envelope = wrap_relay(settings.secret, settings.self_id, to, kind, body);
  return enqueue(it->second.relay, message_kind::transport_relay, pack(envelope));
}

void transport::impl::on_frame(const std::string& from, frame f) {
  ++counters.received;
  if (f.kind == message_kind::transport_relay) {
    on_relay(from, f);
  } else if (handler) {
    handler(from, f.kind, std::move(f.body));
  }
}

void transport::impl::on_relay(const std::string& from, const frame& f) {
  auto message = unpack<relay_message>(f.body);
  if (!message || !is_authentic(settings.secret, *message) ||
      !is_relayed_kind(static_cast<message_kind>(message->kind))) {
    ++counters.rejected_relays;
    return;
  }
  if (message->to == settings.self_id) {
    if (handler) {
      handler(message->from, static_cast<message_kind>(message->kind), std::move(message->body));
    }
    return;
  }
  // Only one hop: the sender must be the origin, and the message leaves on the direct path.
  if (message->from != from || !enqueue(message->to, message_kind::transport_relay, f.body)) {
    ++counters.rejected_relays;
    return;
  }
  ++counters.relayed;
}

void transport::impl::tick() {
  const auto now = base::clock::now();
  const auto check = [now](auto connections) { // a copy: closing changes the containers
    for (const auto& c : connections) {
      c->tick(now);
    }
  };
  check(unnamed);
  std::vector<std::shared_ptr<connection>> named;
  for (const auto& [id, entry] : peers) {
    named.insert(named.end(), entry.incoming.begin(), entry.incoming.end());
    if (entry.outgoing) {
      named.push_back(entry.outgoing);
    }
  }
  check(std::move(named));
  for (auto it = peers.begin(); it != peers.end();) {
    auto& entry = it->second;
    drop_late(it->first, entry, now);
    if (!entry.queue.empty() && ready_connection(entry) == nullptr) {
      connect(it->first, entry, now);
    }
    const bool is_unused =
        !entry.address && !entry.outgoing && entry.incoming.empty() && entry.relay.empty();
    it = is_unused ? peers.erase(it) : std::next(it);
  }
  if (!is_accepting) {
    accept_next();
  }
}

void transport::impl::schedule_tick() {
  timer.expires_after(tick_interval);
  timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->is_stopped) {
      self->tick();
      self->schedule_tick();
    }
  });
}

void transport::impl::stop() {
  is_stopped = true;
  handler = nullptr;
  connect_handler = nullptr;
  drop_handler = nullptr;
  boost::system::error_code ec;
  acceptor.close(ec);
  timer.cancel();
  std::vector<std::shared_ptr<connection>> all = unnamed;
  for (const auto& [id, entry] : peers) {
    all.insert(all.end(), entry.incoming.begin(), entry.incoming.end());
    if (entry.outgoing) {
      all.push_back(entry.outgoing);
    }
  }
  for (const auto& c : all) {
    c->close();
  }
  peers.clear();
}

void transport::impl::set_peers(std::span<const peer_address> wanted) {
  std::vector<std::shared_ptr<connection>> removed;
  for (auto& [id, entry] : peers) {
    const auto it = std::ranges::find(wanted, id, &peer_address::id);
    const auto address = it == wanted.end() ? std::nullopt : parse_address(it->address);
    if (address == entry.address) {
      continue;
    }
    entry.address = address;
    entry.failures = 0;
    entry.retry_at = {};
    if (entry.outgoing) {
      removed.push_back(entry.outgoing);
    }
  }
  for (const auto& c : removed) {
    c->close();
  }
  for (const auto& peer : wanted) {
    if (peer.id != settings.self_id) {
      peers[peer.id].address = parse_address(peer.address);
    }
  }
}

} // namespace kingcupshunt::peer
