#include <doctest/doctest.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>

#include "../../src/node/side_thread.h"

using namespace kingcupshunt;

namespace {

/// Runs one piece of work and tells on which thread.
std::thread::id thread_of_work(boost::asio::io_context& io, node::side_thread& side) {
  std::thread::id out;
  bool is_done = false;
  io.restart();
  const auto guard = boost::asio::make_work_guard(io);
  side.run([&] { out = std::this_thread::get_id(); }, [&] { is_done = true; });
  CHECK(!is_done);
  while (!is_done) {
    io.run_one();
  }
  return out;
}

} // namespace

// Guards against a system that lacks threads for a while: the process ended, or left out the work.
TEST_CASE("work runs on the event loop while no thread can be started, and beside it later") {
  boost::asio::io_context io;
  int failures = 0;
  std::string reason;
  node::side_thread_hooks hooks;
  hooks.start = [&, start = hooks.start] {
    if (failures < 2) {
      throw std::runtime_error("no threads");
    }
    return start();
  };
  hooks.on_failure = [&](const std::string& r) {
    ++failures;
    reason = r;
  };
  node::side_thread side(io, std::move(hooks));
  CHECK(thread_of_work(io, side) == std::this_thread::get_id());
  CHECK(thread_of_work(io, side) == std::this_thread::get_id());
  CHECK(failures == 2);
  CHECK(reason == "no threads");
  CHECK(thread_of_work(io, side) != std::this_thread::get_id());
  CHECK(failures == 2);
}
