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

/// A connection to one upstream. It is returned to the pool only after a whole answer.
struct upstream_connection {
  upstream_connection(tcp::socket s, std::string id)
      : stream(std::make_shared<timed_socket>(std::move(s))), upstream_id(std::move(id)) {}

  std::shared_ptr<timed_socket> stream;
  std::string upstream_id;
  std::string last_request_id; ///< where answers echo it
  bool was_reused = false;
  bool is_tunnelled = false;      ///< through another instance
  base::time_point last_answer{}; ///< end of the last whole answer
};

/// Which connections a request may use.
enum class connection_need : std::uint8_t {
  any,      ///< an idle one if available, otherwise a new one
  verified, ///< as `any`, idle only if it answered within settings.verified_for
  fresh     ///< always a new one
};

/// Pool of connections to upstreams, limited for each upstream. The newest idle connection is
/// reused first.
class upstream_pool {
public:
  using connection_ptr = std::shared_ptr<upstream_connection>;

  upstream_pool(boost::asio::any_io_executor executor, const entry_settings& settings,
                observe::metrics& metrics);

  /// Returns an idle connection that is still open, or an unconnected one that the caller connects.
  /// Null when the limit for this upstream, or for all, is reached. Every connection must be
  /// returned with `put` or `drop`.
  connection_ptr take(const std::string& upstream_id, connection_need need, base::time_point now);

  /// Returns a connection on which a whole answer was read. Closes it when unread bytes remain.
  void put(connection_ptr connection, base::time_point now);

  /// Closes a taken connection.
  void drop(const connection_ptr& connection);

  /// Closes the idle connections of an upstream after one of its connections failed.
  void discard_idle(const std::string& upstream_id);

  /// Closes connections that are idle for too long or closed by the upstream. Call every second.
  void sweep(base::time_point now);

  void close_idle();
  std::size_t open_count(const std::string& upstream_id) const;
  std::size_t idle_count(const std::string& upstream_id) const;

private:
  struct entry {
    std::vector<connection_ptr> idle; ///< newest last
    std::size_t open = 0;             ///< idle and in use
  };

  void close(entry& e, const connection_ptr& connection);
  bool has_room();

  boost::asio::any_io_executor executor_;
  const entry_settings& settings_;
  observe::metrics& metrics_;
  std::unordered_map<std::string, entry> entries_;
  std::size_t open_ = 0; ///< to all upstreams
};

} // namespace kingcupshunt::proxy
