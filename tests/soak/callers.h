#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "http.h"
#include "kingcupshunt/base/rng.h"
#include "ledger.h"
#include "wire.h"

namespace kingcupshunt::soak {

struct key_in_use {
  std::string key;
  std::string workspace;
  bool is_withdrawn = false;
};

/// What callers need to know; changed by the operator while they run.
struct caller_world {
  std::vector<std::string> directories; ///< "address:port" each
  std::vector<wire::route> routes;
  std::vector<key_in_use> keys;             ///< withdrawn ones stay for a while
  std::map<std::string, std::string> links; ///< entry's own address to that of its proxy
  std::map<std::string, std::string> names; ///< entry's own address to its name in the ledger
  base::milliseconds pause{150};            ///< mean time between the requests of a caller
  base::milliseconds patience{2500};
  double withdrawn_share = 0.1; ///< requests for which a withdrawn key will do
  bool is_stopped = false;
};

/// A stand-in caller: asks which entries to use, keeps connections open until they end, and tells
/// the ledger what it sent and saw.
class caller : public std::enable_shared_from_this<caller> {
public:
  caller(boost::asio::io_context& io, const caller_world& world, ledger& facts, std::string name,
         std::uint64_t seed);

  void start(std::function<void()> on_end);

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> resolve();
  boost::asio::awaitable<void> send_one();
  key_in_use choose_key();
  seen_answer judge(const std::string& id, const std::optional<http_response>& answer) const;

  boost::asio::io_context& io_;
  const caller_world& world_;
  ledger& facts_;
  std::string name_;
  base::rng rng_;
  std::vector<std::string> addresses_;
  base::time_point resolve_at_{};
  std::map<std::string, std::unique_ptr<http_connection>> connections_; ///< by entry address
  std::uint64_t requests_ = 0;
  std::function<void()> on_end_;
};

} // namespace kingcupshunt::soak
