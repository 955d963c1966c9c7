#include <doctest/doctest.h>

#include <map>

#include "kingcupshunt/admission/fair_queue.h"

using namespace kingcupshunt;
using admission::fair_queue;
using base::milliseconds;
using config::request_class;

namespace {

const base::time_point start = base::time_point{} + base::seconds(100);

struct queue_run {
  fair_queue queue;
  std::vector<std::string> order;
  std::map<std::string, int> refused;
  std::vector<proxy::refusal> refusals;
  int decisions = 0;

  explicit queue_run(std::size_t limit, std::size_t slots = 1)
      : queue({"fitting", limit, 20}, {[this](const auto&) { ++decisions; }, {}}) {
    queue.set_slots(slots, start);
  }

  fair_queue::ticket enter(const std::string& workspace,
                           request_class priority = request_class::normal, double weight = 1,
                           base::time_point now = start, base::duration left = base::seconds(60)) {
    return queue.enter({workspace, weight, priority, now + left}, now,
                       [this, workspace](proxy::decided<void> d) {
                         if (d) {
                           order.push_back(workspace);
                         } else {
                           ++refused[workspace];
                           refusals.push_back(d.error());
                         }
                       });
  }

  void finish_all(base::time_point now = start, milliseconds run_time = milliseconds(10)) {
    while (queue.running() > 0) {
      queue.finish(order.back(), request_class::normal, run_time, now);
    }
  }

  std::ptrdiff_t count(const std::string& workspace, std::size_t first, std::size_t n) const {
    const auto from = order.begin() + static_cast<std::ptrdiff_t>(first);
    return std::count(from, from + static_cast<std::ptrdiff_t>(n), workspace);
  }
};

} // namespace

// Guards against a tenant with a long queue that delays the others.
TEST_CASE("turns are shared by weight whatever the queues' lengths") {
  queue_run run(200);
  run.enter("first");
  for (int i = 0; i < 100; ++i) {
    run.enter("large");
  }
  for (int i = 0; i < 10; ++i) {
    run.enter("small");
    run.enter("heavy", request_class::normal, 2);
    run.enter("heavy", request_class::normal, 2);
  }
  run.finish_all();
  CHECK(run.order.size() == 131);
  CHECK(run.count("small", 1, 20) == 5);
  CHECK(run.count("heavy", 1, 20) == 10);
  CHECK(run.count("large", 1, 20) == 5);
}

// Guards against a flood of lookups that delays payments, and against starvation for ever.
TEST_CASE("classes are served in order and the lowest still gets a share") {
  queue_run run(400);
  run.enter("first");
  for (int i = 0; i < 100; ++i) {
    run.enter("deferrable", request_class::deferrable);
    run.enter("normal");
    run.enter("critical", request_class::critical);
  }
  run.finish_all();
  CHECK(run.count("critical", 1, 100) >= 95);
  CHECK(run.count("deferrable", 1, 100) == 5);
}

// Guards against refusing the tenant within its share when another one has filled the queue.
TEST_CASE("a full queue cuts the tenant over its share and the lowest class first") {
  queue_run run(10);
  run.enter("first");
  for (int i = 0; i < 10; ++i) {
    run.enter("large");
  }
  run.enter("small");
  CHECK(run.refused["large"] == 1);
  CHECK(run.refused["small"] == 0);
  run.enter("large");
  CHECK(run.refused["large"] == 2);
  for (int i = 0; i < 5; ++i) {
    run.enter("critical", request_class::critical);
  }
  CHECK(run.refused["critical"] == 0);
  CHECK(run.refused["large"] == 7);
  CHECK(run.queue.waiting() == 10);
  CHECK(run.decisions == 1); // operators see one decision a second with a count
  for (const auto& r : run.refusals) {
    CHECK(r.ran == proxy::ran_state::no);
  }
}

// Guards against requests that wait for a turn which comes after their deadline.
TEST_CASE("a request that cannot meet its deadline is refused at once") {
  queue_run run(100);
  for (int i = 0; i < 40; ++i) {
    run.enter("a");
    run.finish_all(start, milliseconds(100));
  }
  for (int i = 0; i < 10; ++i) {
    run.enter("a");
  }
  CHECK(run.queue.waiting() == 9);
  run.enter("b", request_class::normal, 1, start, milliseconds(150));
  CHECK(run.refused["b"] == 1);
  CHECK(run.refusals.back().reason == "deadline_unmeetable");
  CHECK(run.refusals.back().retry_after.has_value());
  // The share of another workspace comes after at most one request of each.
  run.enter("b", request_class::normal, 1, start, milliseconds(350));
  CHECK(run.refused["b"] == 1);
  run.enter("a", request_class::normal, 1, start, milliseconds(350));
  CHECK(run.refused["a"] == 1);
}

// Guards against requests that stay in the queue for ever when no slot comes free.
TEST_CASE("a deadline that passes in the queue is a refusal as not run") {
  queue_run run(100, 0);
  run.enter("a", request_class::normal, 1, start, milliseconds(100));
  const auto ticket = run.enter("b", request_class::normal, 1, start, milliseconds(100));
  CHECK(run.queue.cancel(ticket, start));
  CHECK(!run.queue.cancel(ticket, start));
  run.queue.tick(start + milliseconds(101));
  CHECK(run.refused["a"] == 1);
  CHECK(run.refused["b"] == 0);
  CHECK(run.queue.waiting() == 0);
}

// Guards against load that stays at the slots although upstreams shed it.
TEST_CASE("the limit falls when upstreams shed and rises with finished requests") {
  queue_run run(100, 10);
  for (int i = 0; i < 20; ++i) {
    run.enter("a");
  }
  CHECK(run.queue.running() == 10);
  run.queue.note_shed(start);
  run.queue.note_shed(start + milliseconds(1));
  CHECK(run.queue.limit() == 8);
  run.finish_all(start, milliseconds(10));
  for (int i = 0; i < 40; ++i) {
    run.enter("a");
    run.finish_all(start, milliseconds(10));
  }
  CHECK(run.queue.limit() == 10);
  run.queue.set_slots(4, start);
  CHECK(run.queue.limit() == 4);
  run.queue.set_slots(12, start);
  CHECK(run.queue.limit() == 12);
}

// Guards against a tenant that takes more than its share by long requests.
TEST_CASE("a workspace is charged for requests that run longer than the mean") {
  queue_run run(1000, 1);
  for (int i = 0; i < 300; ++i) {
    run.enter("slow");
    run.enter("fast");
  }
  double used_slow = 0;
  double used_fast = 0;
  for (int i = 0; i < 200; ++i) {
    const auto workspace = run.order.back();
    const auto time = workspace == "slow" ? milliseconds(40) : milliseconds(10);
    (workspace == "slow" ? used_slow : used_fast) += base::to_seconds(time);
    run.queue.finish(workspace, request_class::normal, time, start);
  }
  CHECK(used_slow / used_fast < 1.6);
}
