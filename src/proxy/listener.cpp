#include "listener.h"

#include <algorithm>
#include <stdexcept>

namespace kingcupshunt::proxy {

using boost::asio::ip::tcp;

namespace {

/// Part of the connections that may wait to be accepted. They hold received bytes as well.
constexpr std::size_t backlog_divisor = 4;
constexpr std::size_t least_backlog = 128;
constexpr std::size_t greatest_backlog = boost::asio::socket_base::max_listen_connections;

} // namespace

void listen_on(tcp::acceptor& acceptor, const std::string& address, std::uint16_t port,
               int receive_bytes, std::size_t connections) {
  try {
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (receive_bytes > 0) {
      // Accepted connections inherit it. Set before they send, it bounds their window.
      acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receive_bytes));
    }
    acceptor.bind(endpoint);
    acceptor.listen(static_cast<int>(
        std::clamp(connections / backlog_divisor, least_backlog, greatest_backlog)));
  } catch (const boost::system::system_error& e) {
    throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port) + ": " +
                             e.what());
  }
}

} // namespace kingcupshunt::proxy
