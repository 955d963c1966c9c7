#include "side_thread.h"

#include <exception>
#include <utility>

#include <boost/asio/post.hpp>

namespace kingcupshunt::node {

side_thread::side_thread(boost::asio::io_context& io, side_thread_hooks hooks)
    : io_(io), hooks_(std::move(hooks)) {}

/// Each piece of work tries again, since the system may lack threads for a while only.
bool side_thread::start() {
  try {
    if (!thread_) {
      thread_ = hooks_.start();
    }
    return true;
  } catch (const std::exception& e) {
    hooks_.on_failure(e.what());
    return false;
  }
}

void side_thread::run(std::function<void()> work, std::function<void()> done) {
  if (!start()) {
    boost::asio::post(io_, [work = std::move(work), done = std::move(done)] {
      work();
      done();
    });
    return;
  }
  boost::asio::post(*thread_, [this, work = std::move(work), done = std::move(done)]() mutable {
    work();
    boost::asio::post(io_, std::move(done));
  });
}

} // namespace kingcupshunt::node
