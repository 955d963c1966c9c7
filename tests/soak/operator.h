#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "callers.h"
#include "kingcupshunt/base/rng.h"
#include "ledger.h"
#include "wire.h"

namespace kingcupshunt::soak {

/// A stand-in operator: sends configurations, some of them at once, again or invalid, exchanges
/// keys, and reads back what was acknowledged.
class config_operator : public std::enable_shared_from_this<config_operator> {
public:
  config_operator(boost::asio::io_context& io, std::vector<std::string> controls,
                  wire::configuration first, caller_world& world, ledger& facts,
                  std::uint64_t seed);

  /// Sends the first configuration until it is acknowledged.
  boost::asio::awaitable<bool> start();
  /// One change, by chance: a key exchanged, two changes at once, an invalid one, a read.
  boost::asio::awaitable<void> act();
  /// Reads the newest configuration until an answer comes.
  boost::asio::awaitable<bool> read_back();

private:
  boost::asio::awaitable<bool> send(wire::configuration c);
  boost::asio::awaitable<unsigned> post(const std::string& target, const std::string& body,
                                        std::string& answer);
  boost::asio::awaitable<void> exchange_key();
  boost::asio::awaitable<void> send_invalid();
  boost::asio::awaitable<void> race();

  boost::asio::io_context& io_;
  std::vector<std::string> controls_;
  wire::configuration current_;
  caller_world& world_;
  ledger& facts_;
  base::rng rng_;
  std::uint64_t keys_made_ = 0;
};

} // namespace kingcupshunt::soak
