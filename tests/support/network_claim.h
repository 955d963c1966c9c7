#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace kingcupshunt::testing {

/// Second part of the loopback addresses 127.N.x.y that one run uses. A bound socket keeps other
/// runs on the machine away from it for the life of this object.
class network_claim {
public:
  network_claim() {
    for (std::uint32_t i = 0; i < networks; ++i) {
      number_ = first + (static_cast<std::uint32_t>(getpid()) + i) % networks;
      if (try_bind()) {
        return;
      }
    }
    throw std::runtime_error("no loopback network is free");
  }
  ~network_claim() { close(socket_); }
  network_claim(const network_claim&) = delete;
  network_claim& operator=(const network_claim&) = delete;

  std::uint32_t number() const noexcept { return number_; }

private:
  static constexpr std::uint32_t first = 16;
  static constexpr std::uint32_t networks = 200;
  static constexpr std::uint16_t port = 7659;

  bool try_bind() {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    const auto text = "127." + std::to_string(number_) + ".255.1";
    inet_pton(AF_INET, text.c_str(), &at.sin_addr);
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
      return true;
    }
    close(socket_);
    return false;
  }

  int socket_ = -1;
  std::uint32_t number_ = 0;
};

} // namespace kingcupshunt::testing
