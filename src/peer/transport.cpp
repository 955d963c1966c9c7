#include <utility>

#include "kingcupshunt/peer/transport.h"

#include "transport_impl.h"

namespace kingcupshunt::peer {

const char* message_of(transport_error error) noexcept {
  switch (error) {
  case transport_error::bad_address:
    return "address is not \"ip:port\"";
  case transport_error::cannot_listen:
    return "cannot listen on the address";
  }
  return "unknown transport error";
}

const char* name_of(drop_reason reason) noexcept {
  switch (reason) {
  case drop_reason::queue_full:
    return "queue_full";
  case drop_reason::late:
    return "late";
  case drop_reason::unknown:
    return "unknown_receiver";
  case drop_reason::too_large:
    return "too_large";
  }
  return "unknown";
}

transport::transport(boost::asio::io_context& context, transport_settings settings)
    : impl_(std::make_shared<impl>(context, std::move(settings))) {}

transport::~transport() {
  impl_->stop();
}

base::result<void, transport_error> transport::start() {
  return impl_->start();
}

void transport::stop() {
  impl_->stop();
}

std::uint16_t transport::listen_port() const noexcept {
  boost::system::error_code ec;
  return impl_->acceptor.local_endpoint(ec).port();
}

void transport::set_peers(std::span<const peer_address> peers) {
  impl_->set_peers(peers);
}

void transport::on_message(message_function handler) {
  impl_->handler = std::move(handler);
}

void transport::on_drop(std::function<void(const dropped_message&)> handler) {
  impl_->drop_handler = std::move(handler);
}

void transport::on_connect_result(std::function<void(std::string_view, bool)> handler) {
  impl_->connect_handler = std::move(handler);
}

bool transport::send(std::string_view to, message_kind kind, std::string body) {
  return impl_->send(to, kind, std::move(body));
}

void transport::set_relay(std::string_view to, std::string_view via) {
  impl_->peers[std::string(to)].relay = via;
}

void transport::clear_relay(std::string_view to) {
  if (const auto it = impl_->peers.find(to); it != impl_->peers.end()) {
    it->second.relay.clear();
  }
}

bool transport::is_connected(std::string_view peer) const {
  const auto it = impl_->peers.find(peer);
  return it != impl_->peers.end() && impl::ready_connection(it->second) != nullptr;
}

const transport_counters& transport::counters() const noexcept {
  return impl_->counters;
}

} // namespace kingcupshunt::peer
