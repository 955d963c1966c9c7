#include <doctest/doctest.h>

#include "kingcupshunt/membership/self_watch.h"

using namespace kingcupshunt;
using membership::self_problem;

namespace {

struct watched {
  membership::self_watch watch;
  base::time_point now{};

  watched() { watch.tick(now); }

  /// Closes one window after `feed` has reported into it.
  template <class Feed>
  bool window(Feed feed) {
    feed(watch);
    now += base::seconds(1);
    return watch.tick(now);
  }
};

} // namespace

// Guards against an instance that stays in the address answers while it cannot serve, and against
// one that leaves them for a single hiccup.
TEST_CASE("an instance is unhealthy after two bad windows and healthy after five good ones") {
  watched w;
  const auto late = [](auto& watch) { watch.add_loop_lag(base::milliseconds(300)); };
  const auto good = [](auto& watch) { watch.add_loop_lag(base::milliseconds(5)); };
  CHECK_FALSE(w.window(late));
  CHECK_FALSE(w.window(good));
  CHECK_FALSE(w.window(late));
  CHECK(w.watch.is_healthy());
  CHECK(w.window(late));
  CHECK(w.watch.problem() == self_problem::event_loop_lag);
  CHECK(w.watch.reason() == "event loop is late: 300 ms");
  // Below the bound but not clearly: the instance must not alternate.
  const auto near = [](auto& watch) { watch.add_loop_lag(base::milliseconds(150)); };
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(w.window(near));
  }
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(w.window(good));
  }
  CHECK(w.window(good));
  CHECK(w.watch.is_healthy());
  CHECK(w.watch.reason().empty());
}

// Guards against each kind of fault being overlooked.
TEST_CASE("a slow disk and failing sends are recognised, few sends say nothing") {
  watched disk;
  const auto slow = [](auto& watch) { watch.add_disk_time(base::milliseconds(900)); };
  disk.window(slow);
  CHECK(disk.window(slow));
  CHECK(disk.watch.problem() == self_problem::slow_disk);

  watched sends;
  const auto failing = [](int n) {
    return [n](auto& watch) {
      for (int i = 0; i < n; ++i) {
        watch.add_send(i % 4 == 0);
      }
    };
  };
  sends.window(failing(8));
  CHECK_FALSE(sends.window(failing(8)));
  sends.window(failing(40));
  CHECK(sends.window(failing(40)));
  CHECK(sends.watch.reason() == "sends to other instances fail: 30 of 40");
}
