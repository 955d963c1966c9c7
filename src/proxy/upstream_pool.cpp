#include "upstream_pool.h"

namespace kingcupshunt::proxy {

upstream_pool::upstream_pool(boost::asio::any_io_executor executor, const entry_settings& settings,
                             observe::metrics& metrics)
    : executor_(std::move(executor)), settings_(settings), metrics_(metrics) {}

upstream_pool::connection_ptr upstream_pool::take(const std::string& upstream_id,
                                                  connection_need need, base::time_point now) {
  auto& e = entries_[upstream_id];
  while (need != connection_need::fresh && !e.idle.empty()) {
    auto newest = e.idle.back();
    const bool is_too_old =
        need == connection_need::verified && now - newest->last_answer > settings_.verified_for;
    if (is_too_old) {
      break; // the remaining ones are older
    }
    e.idle.pop_back();
    // The upstream closed it, or sent bytes that belong to no request.
    if (newest->stream->has_pending_input()) {
      metrics_.count("upstream_stale_connections_total", "found_closed");
      close(e, newest);
      continue;
    }
    newest->was_reused = true;
    return newest;
  }
  if (e.open >= settings_.connections_per_upstream && !e.idle.empty()) {
    const auto oldest = e.idle.front();
    e.idle.erase(e.idle.begin());
    close(e, oldest);
  }
  if (e.open >= settings_.connections_per_upstream || !has_room()) {
    return nullptr;
  }
  ++e.open;
  ++open_;
  metrics_.count("upstream_connections_opened_total");
  return std::make_shared<upstream_connection>(tcp::socket(executor_), upstream_id);
}

void upstream_pool::put(connection_ptr connection, base::time_point now) {
  if (!connection->stream->is_open() || !connection->stream->buffered().empty()) {
    drop(connection);
    return;
  }
  connection->last_answer = now;
  connection->stream->expires_at(base::time_point::max());
  if (connection->stream->buffer().capacity() > timed_socket::min_read_bytes) {
    connection->stream->release_buffer(); // a long answer has enlarged it
  }
  entries_[connection->upstream_id].idle.push_back(std::move(connection));
}

void upstream_pool::drop(const connection_ptr& connection) {
  close(entries_[connection->upstream_id], connection);
}

void upstream_pool::close(entry& e, const connection_ptr& connection) {
  connection->stream->close();
  if (e.open > 0) {
    --e.open;
    --open_;
  }
}

/// Whether another connection may be opened. Closes the one that has been idle the longest for it
/// when all upstreams together have as many as they may.
bool upstream_pool::has_room() {
  const auto limit = settings_.max_upstream_connections;
  if (limit == 0 || open_ < limit) {
    return true;
  }
  entry* oldest = nullptr;
  for (auto& [id, e] : entries_) {
    const bool is_older =
        !e.idle.empty() &&
        (oldest == nullptr || e.idle.front()->last_answer < oldest->idle.front()->last_answer);
    oldest = is_older ? &e : oldest;
  }
  if (oldest == nullptr) {
    metrics_.count("upstream_connections_exhausted_total");
    return false;
  }
  const auto connection = oldest->idle.front();
  oldest->idle.erase(oldest->idle.begin());
  close(*oldest, connection);
  return true;
}

void upstream_pool::discard_idle(const std::string& upstream_id) {
  auto& e = entries_[upstream_id];
  for (const auto& connection : e.idle) {
    close(e, connection);
  }
  e.idle.clear();
  metrics_.count("upstream_pool_renewals_total");
}

void upstream_pool::sweep(base::time_point now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    auto& e = it->second;
    std::erase_if(e.idle, [&](const connection_ptr& connection) {
      const bool is_dead = now - connection->last_answer > settings_.upstream_idle_timeout ||
                           connection->stream->has_pending_input();
      if (is_dead) {
        close(e, connection);
      }
      return is_dead;
    });
    it = e.open == 0 ? entries_.erase(it) : std::next(it);
  }
}

void upstream_pool::close_idle() {
  for (auto& [id, e] : entries_) {
    for (const auto& connection : e.idle) {
      close(e, connection);
    }
    e.idle.clear();
  }
}

std::size_t upstream_pool::open_count(const std::string& upstream_id) const {
  const auto it = entries_.find(upstream_id);
  return it == entries_.end() ? 0 : it->second.open;
}

std::size_t upstream_pool::idle_count(const std::string& upstream_id) const {
  const auto it = entries_.find(upstream_id);
  return it == entries_.end() ? 0 : it->second.idle.size();
}

} // namespace kingcupshunt::proxy
