#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "kingcupshunt/peer/handshake.h"
#include "kingcupshunt/peer/transport.h"
#include "support/heap_use.h"

using namespace kingcupshunt;
using namespace kingcupshunt::peer;
using namespace kingcupshunt::testing;
using boost::asio::ip::tcp;

// Guards against an instance that runs out of memory while many others, or strangers, send it bytes
// without end: each frame is within its own limit, and their sum is not bounded.

namespace {

constexpr std::size_t frame_memory = std::size_t{2} << 20U;
constexpr std::size_t least_per_connection = std::size_t{160} << 10U;
constexpr std::size_t own_use = std::size_t{1} << 20U;

/// An instance whose event loop runs on its own thread.
struct instance {
  instance() {
    transport_settings settings;
    settings.self_id = "n1";
    settings.fleet = "fleet";
    settings.secret = "secret";
    settings.listen_address = "127.0.0.11:0";
    settings.limits.frame_memory = frame_memory;
    settings.limits.max_unauthenticated = 8;
    link.emplace(context, settings);
    REQUIRE(link->start());
    link->on_message([this](std::string_view, message_kind, const std::string&) { ++messages; });
    thread = std::thread([this] {
      while (!is_ending) {
        context.run_for(base::milliseconds(5));
      }
    });
  }
  ~instance() {
    is_ending = true;
    thread.join();
  }

  boost::asio::io_context context;
  std::optional<transport> link;
  std::atomic<int> messages{0};
  std::atomic<bool> is_ending{false};
  std::thread thread;
};

/// A connection of another instance, written by hand.
struct raw_peer {
  raw_peer(std::string id, std::uint16_t port) : socket(io) {
    socket.connect({boost::asio::ip::make_address("127.0.0.11"), port});
    settings = {std::move(id), "fleet", "secret", {1, 1}, "n1"};
  }
  bool authenticate() {
    handshake h(handshake_role::client, settings, std::string(challenge_bytes, 'c'));
    return send(make_packet(h.start())) && step(h) && step(h) && h.is_done();
  }
  /// Reads a packet and sends the handshake's answer.
  bool step(handshake& h) {
    std::string bytes(1, '\0');
    for (;;) {
      const auto packet = reader.next();
      if (!packet) {
        return false;
      }
      if (packet.value()) {
        const auto answer = h.receive(*packet.value());
        return answer && (answer.value().empty() || send(make_packet(answer.value())));
      }
      boost::system::error_code ec;
      if (socket.read_some(boost::asio::buffer(bytes), ec) == 0) {
        return false;
      }
      reader.feed(bytes);
    }
  }
  bool send(std::string_view bytes) {
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    return !ec;
  }
  boost::asio::io_context io;
  tcp::socket socket;
  handshake_settings settings;
  packet_reader reader;
};

} // namespace

TEST_CASE("frames that do not end share a bound, and other messages are received meanwhile") {
  constexpr std::size_t n = 24;
  instance one;
  const auto port = one.link->listen_port();
  std::string unfinished = make_packet(std::string(max_body_bytes, 'x'));
  unfinished.resize(unfinished.size() - 1);
  std::vector<std::unique_ptr<raw_peer>> peers;
  for (std::size_t i = 0; i < n; ++i) {
    peers.push_back(std::make_unique<raw_peer>("p" + std::to_string(i), port));
    REQUIRE(peers.back()->authenticate());
  }
  reset_heap_peak();
  const auto before = heap_bytes();
  std::size_t sent = 0;
  for (const auto& p : peers) {
    sent += p->send(unfinished) ? 1 : 0;
  }
  std::this_thread::sleep_for(base::milliseconds(300));
  CHECK(sent > 0);
  CHECK(heap_peak_bytes() - before < frame_memory + n * least_per_connection + own_use);

  raw_peer sound("sound", port);
  handshake h(handshake_role::client, sound.settings, std::string(challenge_bytes, 'c'));
  REQUIRE(sound.send(make_packet(h.start())));
  REQUIRE(sound.step(h));
  REQUIRE(sound.step(h));
  frame_sealer sealer(h.result().send_key);
  REQUIRE(sound.send(sealer.seal(encode_frame(1, message_kind::rate_ask, "body"))));
  for (int i = 0; i < 400 && one.messages == 0; ++i) {
    std::this_thread::sleep_for(base::milliseconds(5));
  }
  CHECK(one.messages == 1);
}

TEST_CASE("strangers that never finish the handshake leave room for others soon") {
  instance one;
  const auto port = one.link->listen_port();
  std::vector<std::unique_ptr<raw_peer>> strangers;
  for (int i = 0; i < 40; ++i) {
    strangers.push_back(std::make_unique<raw_peer>("s", port));
  }
  bool is_known = false;
  for (int i = 0; i < 40 && !is_known; ++i) {
    is_known = raw_peer("p", port).authenticate();
    std::this_thread::sleep_for(base::milliseconds(100));
  }
  CHECK(is_known);
  CHECK(one.link->counters().refused_connections >= 32);
}
