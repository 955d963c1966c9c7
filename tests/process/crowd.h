#pragma once

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <poll.h>
#include <stop_token>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

namespace kingcupshunt::testing {

/// Where the clients of a crowd connect from and to.
struct crowd_path {
  std::vector<std::string> from; ///< addresses that the clients use in turn
  std::string to;
  std::uint16_t port = 0;
};

/// Clients that send `text` as far as the process takes it, keep their connections open and don't
/// read.
class crowd {
public:
  crowd(const crowd_path& path, std::size_t clients, std::string text) : text_(std::move(text)) {
    for (std::size_t i = 0; i < clients; ++i) {
      connect(path.from[i % path.from.size()], path);
    }
  }
  ~crowd() {
    for (const auto& it : clients_) {
      close(it.socket);
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Sends until every client has sent all or was closed, or nothing moves any more. Calls
  /// `measure` after each round.
  void send_all(const std::function<void()>& measure) {
    int still = 0; // rounds in which no client could send
    while (still < 20) {
      std::vector<pollfd> open;
      std::vector<client*> senders;
      for (auto& it : clients_) {
        if (!it.is_closed && it.sent < text_.size()) {
          open.push_back({it.socket, POLLOUT, 0});
          senders.push_back(&it);
        }
      }
      poll(open.data(), open.size(), 100);
      const bool has_moved =
          std::ranges::count_if(senders, [&](client* c) { return send_some(*c); }) > 0;
      still = has_moved ? 0 : still + 1;
      measure();
      if (senders.empty()) {
        break;
      }
    }
  }

private:
  struct client {
    int socket = -1;
    std::size_t sent = 0;
    bool is_closed = false;
  };

protected:
  /// Replaces the connections that the process has closed. Returns their number.
  std::size_t reconnect(const crowd_path& path) {
    std::size_t n = 0;
    for (auto& it : clients_) {
      char byte = 0;
      const auto got = recv(it.socket, &byte, 1, MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN)) {
        close(it.socket);
        it = opened(path.from.front(), path);
        ++n;
      }
    }
    return n;
  }

private:
  static sockaddr_in endpoint(const std::string& address, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
  }

  void connect(const std::string& address, const crowd_path& path) {
    clients_.push_back(opened(address, path));
    REQUIRE(clients_.back().socket >= 0);
  }

  /// Its socket is -1 when it could not be opened and bound.
  static client opened(const std::string& address, const crowd_path& path) {
    client c;
    c.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int small = 4096; // what the process writes must not vanish in the kernel
    setsockopt(c.socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const auto from = endpoint(address, 0);
    const auto to = endpoint(path.to, path.port);
    const int is_on = 1;
    setsockopt(c.socket, SOL_SOCKET, SO_REUSEADDR, &is_on, sizeof is_on);
    if (bind(c.socket, reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0) {
      close(std::exchange(c.socket, -1));
      return c;
    }
    c.is_closed = ::connect(c.socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0;
    fcntl(c.socket, F_SETFL, O_NONBLOCK);
    return c;
  }

  bool send_some(client& c) const {
    const auto n = send(c.socket, text_.data() + c.sent, text_.size() - c.sent, MSG_NOSIGNAL);
    c.is_closed = n < 0 && errno != EAGAIN;
    c.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    return n > 0;
  }

  std::string text_;
  std::vector<client> clients_;
};

/// Idle clients that connect again whenever the process closes their connections.
class tireless_crowd : crowd {
public:
  tireless_crowd(const crowd_path& path, std::size_t clients)
      : crowd(path, clients, ""), thread_([this, path](const std::stop_token& stop) {
          while (!stop.stop_requested()) {
            if (reconnect(path) == 0) {
              std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
          }
        }) {}

private:
  std::jthread thread_; // ends before the clients
};

} // namespace kingcupshunt::testing
