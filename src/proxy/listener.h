#pragma once

#include <utility>

#include <cstdint>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace kingcupshunt::proxy {

/// Makes `acceptor` listen on an IP address; port 0: any free port. `receive_bytes` is the receive
/// buffer of its connections, 0: the system's; `connections` how many are open at most, of which
/// some wait to be accepted. Throws std::runtime_error when it cannot.
void listen_on(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address,
               std::uint16_t port, int receive_bytes, std::size_t connections);

} // namespace kingcupshunt::proxy
