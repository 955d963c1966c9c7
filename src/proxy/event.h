#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshunt/base/time.h"

namespace kingcupshunt::proxy {

/// Wakes one waiting coroutine of the same event loop. A notification that precedes the wait ends
/// that wait at once.
class event {
public:
  explicit event(const boost::asio::any_io_executor& executor) : timer_(executor) {}

  void notify() {
    is_set_ = true;
    timer_.cancel();
  }

  /// Discards a notification that no wait has consumed.
  void clear() noexcept { is_set_ = false; }

  /// Waits for a notification or until `t`. Returns true when notified.
  boost::asio::awaitable<bool> wait_until(base::time_point t) {
    if (!is_set_) {
      boost::system::error_code ec;
      timer_.expires_at(t);
      co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    co_return std::exchange(is_set_, false);
  }

private:
  boost::asio::steady_timer timer_;
  bool is_set_ = false;
};

} // namespace kingcupshunt::proxy
