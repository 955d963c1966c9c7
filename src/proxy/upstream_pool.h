#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/proxy/entry_settings.h"
#include "kingcupshunt/proxy/hooks.h"
#include "timed_socket.h"

namespace kingcupshunt::proxy {

/// A connection to one upstream. It goes back to the pool only after a whole answer.
struct upstream_connection {
  upstream_connection(tcp::socket s, std::string id)
      : stream(std::make_shared<timed_socket>(std::move(s))), upstream_id(std::move(id)) {}

  std::shared_ptr<timed_socket> stream;
  std::string upstream_id;
  bool was_reused = false;
  base::time_point last_answer{}; ///< end of the last whole answer
};

/// Which connections a request accepts.
enum class connection_need : std::uint8_t {
  any,      ///< an idle one when there is one
  verified, ///< an idle one only if it answered within settings.verified_for
  fresh     ///< a new one
};

/// Open connections to upstreams, bounded for each upstream, the newest idle one reused first.
class upstream_pool {
public:
  using connection_ptr = std::shared_ptr<upstream_connection>;

  upstream_pool(boost::asio::any_io_executor executor, const entry_settings& settings,
                observe::metrics& metrics);

  /// An idle connection that is still open, or an unconnected one for the caller to connect.
  /// Null when the bound for this upstream is reached. Every connection is given back through
  /// `put` or `drop`.
  connection_ptr take(const std::string& upstream_id, connection_need need, base::time_point now);

  /// Keeps a connection on which a whole answer was read and nothing is left over.
  void put(connection_ptr connection, base::time_point now);

  /// Closes a connection.
  void drop(const connection_ptr& connection);

  /// Closes the idle connections of an upstream after one of them turned out dead.
  void discard_idle(const std::string& upstream_id);

  /// Closes connections idle for too long and those that the upstream closed. Call every second.
  void sweep(base::time_point now);

  void close_idle();
  std::size_t open_count(const std::string& upstream_id) const;
  std::size_t idle_count(const std::string& upstream_id) const;

private:
  struct entry {
    std::vector<connection_ptr> idle; ///< newest last
    std::size_t open = 0;             ///< idle and taken
  };

  void close(entry& e, const connection_ptr& connection);

  boost::asio::any_io_executor executor_;
  const entry_settings& settings_;
  observe::metrics& metrics_;
  std::unordered_map<std::string, entry> entries_;
};

} // namespace kingcupshunt::proxy
