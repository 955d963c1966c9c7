#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

namespace kingcupshunt::node {

struct side_thread_hooks {
  /// Starts the thread. May throw.
  std::function<std::unique_ptr<boost::asio::thread_pool>()> start = [] {
    return std::make_unique<boost::asio::thread_pool>(1);
  };
  std::function<void(const std::string& reason)> on_failure = [](const std::string&) {};
};

/// Runs long work beside an event loop, one piece after another. Its thread starts with the first
/// one; while it can't be started, work runs on the event loop.
class side_thread {
public:
  /// `io` outlives this object.
  explicit side_thread(boost::asio::io_context& io, side_thread_hooks hooks = {});

  /// Runs `work`, then `done` on the event loop, not within this call.
  void run(std::function<void()> work, std::function<void()> done);

private:
  bool start();

  boost::asio::io_context& io_;
  side_thread_hooks hooks_;
  std::unique_ptr<boost::asio::thread_pool> thread_;
};

} // namespace kingcupshunt::node
