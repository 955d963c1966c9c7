#include <doctest/doctest.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <poll.h>
#include <sstream>

#include "entry_process.h"

using namespace kingcupshunt;
using testing::entry_process;

// Clients that send without end or stop short brought an entry down: it ran out of memory. The
// number of clients, what they send and the bounds of entry_process stay as they are.

namespace {

/// Clients that send `text` as far as the entry takes it, keep their connections open and don't
/// read. They use eight addresses in turn.
class crowd {
public:
  crowd(entry_process& entry, std::size_t clients, std::string text)
      : entry_(entry), text_(std::move(text)) {
    for (std::size_t i = 0; i < clients; ++i) {
      connect(static_cast<int>(i % 8));
    }
  }
  ~crowd() {
    for (const auto& it : clients_) {
      close(it.socket);
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Sends until every client has sent all or was closed, or nothing moves any more. Returns the
  /// greatest number of descriptors of the entry seen meanwhile.
  std::size_t send_all() {
    std::size_t descriptors = 0;
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
      descriptors = std::max(descriptors, entry_.descriptors());
      if (senders.empty()) {
        break;
      }
    }
    entry_.wait_until_settled();
    return std::max(descriptors, entry_.descriptors());
  }

private:
  struct client {
    int socket = -1;
    std::size_t sent = 0;
    bool is_closed = false;
  };

  static sockaddr_in endpoint(const std::string& address, std::uint16_t port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &out.sin_addr);
    return out;
  }

  void connect(int net) {
    client c;
    c.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(c.socket >= 0);
    const int small = 4096; // what the entry writes must not vanish in the kernel
    setsockopt(c.socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const auto from = endpoint(entry_.address(1, net), 0);
    const auto to = endpoint(entry_.entry_address(), entry_process::entry_port);
    REQUIRE(bind(c.socket, reinterpret_cast<const sockaddr*>(&from), sizeof from) == 0);
    c.is_closed = ::connect(c.socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0;
    fcntl(c.socket, F_SETFL, O_NONBLOCK);
    clients_.push_back(c);
  }

  bool send_some(client& c) const {
    const auto n = send(c.socket, text_.data() + c.sent, text_.size() - c.sent, MSG_NOSIGNAL);
    c.is_closed = n < 0 && errno != EAGAIN;
    c.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    return n > 0;
  }

  entry_process& entry_;
  std::string text_;
  std::vector<client> clients_;
};

std::string head(const std::string& method, const std::string& path, const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + soak::wire::host + "\r\n" +
         soak::wire::request_id + ": 1\r\n" + fields + "\r\n";
}

/// A chunked request whose last chunk is missing.
std::string chunked_request(std::size_t chunk, std::size_t body) {
  std::ostringstream out;
  out << head("POST", "/write", "Transfer-Encoding: chunked\r\n");
  const std::string data(chunk, 'b');
  for (std::size_t n = 0; n < body; n += chunk) {
    out << std::hex << chunk << "\r\n" << data << "\r\n";
  }
  return out.str();
}

void check_survives(entry_process& entry, std::size_t clients, const std::string& text) {
  crowd c(entry, clients, text);
  const auto descriptors = c.send_all();
  REQUIRE(entry.is_alive());
  const auto resident_kb = entry.peak_resident_kb();
  MESSAGE("peak resident memory ", resident_kb, " KiB of ", entry_process::most_resident_kb,
          ", descriptors ", descriptors, " of ", entry_process::most_descriptors);
  CHECK(resident_kb <= entry_process::most_resident_kb);
  CHECK(descriptors <= entry_process::most_descriptors);
  CHECK(testing::wait_until([&] { return entry.is_serving(); }, std::chrono::seconds(30)));
  CHECK(entry.is_alive());
}

} // namespace

TEST_CASE("many bodies in large chunks that stop short stay within the memory of an entry") {
  entry_process entry;
  check_survives(entry, 160, chunked_request(200'000, 800'000));
}

TEST_CASE("many bodies in chunks of a few bytes that stop short stay within the memory") {
  entry_process entry;
  check_survives(entry, 160, chunked_request(8, 400'000));
}

TEST_CASE("many bodies with a length that stop short stay within the memory of an entry") {
  entry_process entry;
  const auto text = head("POST", "/write", "Content-Length: 900000\r\n");
  check_survives(entry, 160, text + std::string(880'000, 'b'));
}

TEST_CASE("many clients that don't read long answers leave an entry within its memory") {
  entry_process entry;
  std::string text;
  for (int i = 0; i < 8; ++i) {
    text += head("GET", "/read/900000", "");
  }
  check_survives(entry, 200, text);
}

TEST_CASE("many pipelined requests of clients that don't read stay within an entry's memory") {
  entry_process entry;
  std::string text;
  for (int i = 0; i < 64; ++i) {
    text += head("GET", "/read/16000", "Padding: " + std::string(2000, 'p') + "\r\n");
  }
  check_survives(entry, 800, text);
}

TEST_CASE("many heads that stop short stay within the memory and descriptors of an entry") {
  entry_process entry;
  auto text = head("GET", "/read/1", "Padding: " + std::string(15'000, 'p') + "\r\n");
  text.resize(text.size() - 4);
  check_survives(entry, 2500, text);
}

TEST_CASE("many connections without a request stay within the descriptors of an entry") {
  entry_process entry;
  check_survives(entry, 5000, "");
}
