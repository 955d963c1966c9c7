#include <doctest/doctest.h>

#include "../../src/proxy/server_holds.h"

using namespace kingcupshunt;
using proxy::server_holds;

namespace {

struct slow_caller {
  explicit slow_caller(server_holds& in, const std::string& service = "shop")
      : hold(in.add(
            {service, [this] { return moved; }, [this] { return is_waiting; }, [this] { ++ended; }},
            now)) {}
  std::uint64_t moved = 0;
  bool is_waiting = true;
  int ended = 0;
  base::time_point now{};
  std::shared_ptr<void> hold;
};

struct clock_and_holds {
  server_holds holds{4096};
  base::time_point now{};
  std::size_t run(base::milliseconds time) {
    std::size_t ended = 0;
    for (base::milliseconds t{0}; t < time; t += server_holds::tick_interval) {
      now += server_holds::tick_interval;
      ended += holds.tick(now);
    }
    return ended;
  }
};

} // namespace

// Guards against callers that stop within a body or don't read an answer and thereby keep all
// servers of a service from others.
TEST_CASE("a stalled caller's request ends when another request waits for a server") {
  clock_and_holds c;
  slow_caller stalled(c.holds);
  slow_caller elsewhere(c.holds, "other");
  CHECK(c.run(base::milliseconds(5000)) == 0); // nobody wants the server
  const auto waiting = c.holds.want("shop", c.now);
  CHECK(c.run(base::milliseconds(200)) == 1);
  CHECK(stalled.ended == 1);
  CHECK(elsewhere.ended == 0);
}

TEST_CASE("a refusal counts as a request that waits, for a while") {
  clock_and_holds c;
  slow_caller stalled(c.holds);
  c.run(base::milliseconds(1000));
  c.holds.note_refused("shop", c.now);
  CHECK(c.run(base::milliseconds(200)) == 1);
  stalled.is_waiting = false;
  c.run(base::milliseconds(1000));
  stalled.is_waiting = true;
  CHECK(c.run(base::milliseconds(1000)) == 0);
}

TEST_CASE("a caller that makes progress keeps its server, and so does one of a slow server") {
  clock_and_holds c;
  slow_caller steady(c.holds);
  slow_caller of_slow_server(c.holds);
  of_slow_server.is_waiting = false;
  const auto waiting = c.holds.want("shop", c.now);
  for (int i = 0; i < 50; ++i) {
    steady.moved += 500; // 5 kB/s
    CHECK(c.run(server_holds::tick_interval) == 0);
  }
  for (int i = 0; i < 50; ++i) {
    steady.moved += 100;
    c.run(server_holds::tick_interval);
  }
  CHECK(steady.ended > 0);
  CHECK(of_slow_server.ended == 0);
}

TEST_CASE("time in which the process was suspended is not held against a caller") {
  clock_and_holds c;
  slow_caller caller(c.holds);
  const auto waiting = c.holds.want("shop", c.now);
  c.run(base::milliseconds(100));
  c.now += base::seconds(10);
  CHECK(c.holds.tick(c.now) == 0);
}

TEST_CASE("a request that has ended holds nothing") {
  clock_and_holds c;
  int firsts = 0;
  c.holds.on_first = [&] { ++firsts; };
  {
    const slow_caller caller(c.holds);
    const slow_caller second(c.holds);
  }
  CHECK(firsts == 1);
  CHECK(c.run(base::milliseconds(100)) == 0);
  CHECK(c.holds.is_empty());
  const slow_caller next(c.holds);
  CHECK(firsts == 2);
}
