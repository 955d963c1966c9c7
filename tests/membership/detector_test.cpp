#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

#include "kingcupshunt/membership/detector.h"
#include "membership/simulation.h"

using namespace simulation;
namespace membership = kingcupshunt::membership;
using membership::member_status;
using membership::path_direction;

namespace {

struct detector_fleet {
  struct instance {
    std::unique_ptr<membership::detector> core;
    std::vector<membership::member_change> changes;
    std::vector<membership::path_fault> faults;
    bool is_up = true;
  };

  explicit detector_fleet(std::size_t n, std::uint64_t seed = 1) : net(seed), instances(n) {
    for (std::size_t i = 0; i < n; ++i) {
      start(i, 1000);
    }
  }

  network net;
  std::vector<instance> instances;

  time_point now() const { return time_point{} + std::chrono::hours(1) + net.now; }

  void start(std::size_t i, std::uint64_t unix_ms) {
    auto& self = instances[i];
    self.is_up = true;
    membership::detector_settings settings;
    settings.self_id = id_of(i);
    settings.incarnation = membership::make_incarnation(unix_ms);
    settings.seed = i + 1;
    membership::detector_hooks hooks;
    hooks.on_change = [&self](const auto& change) { self.changes.push_back(change); };
    hooks.on_path_fault = [&self](const auto& fault) { self.faults.push_back(fault); };
    self.core = std::make_unique<membership::detector>(
        settings,
        [this, i](std::string_view to, message_kind kind, std::string body) {
          net.send(i, number_of(to), kind, std::move(body));
        },
        hooks);
    self.core->set_view(view_of(instances.size()), now());
  }

  void run(duration length) {
    for (const auto end = net.now + length; net.now < end;) {
      net.run_until(net.now + milliseconds(50),
                    [this](auto from, auto to, auto kind, const auto& body) {
                      if (instances[to].is_up) {
                        instances[to].core->receive(id_of(from), kind, body, now());
                      }
                    });
      for (auto& self : instances) {
        if (self.is_up) {
          self.core->tick(now());
        }
      }
    }
  }

  std::size_t count(std::size_t member, member_status status) const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      n +=
          i != member && instances[i].is_up && instances[i].core->status_of(id_of(member)) == status
              ? 1U
              : 0U;
    }
    return n;
  }

  std::size_t changes_to(member_status status) const {
    std::size_t n = 0;
    for (const auto& self : instances) {
      n += static_cast<std::size_t>(
          std::ranges::count(self.changes, status, &membership::member_change::to));
    }
    return n;
  }
};

} // namespace

// Guards against false alarms: moderate loss must not make any member fail.
TEST_CASE("no member fails under moderate loss") {
  detector_fleet fleet(15);
  fleet.net.loss = 0.1;
  fleet.run(milliseconds(120'000));
  CHECK(fleet.changes_to(member_status::failed) == 0);
}

// Guards against a dead instance that keeps its roles.
TEST_CASE("a killed instance is failed everywhere within the suspicion time") {
  detector_fleet fleet(15);
  fleet.run(milliseconds(5000));
  fleet.instances[3].is_up = false;
  fleet.run(milliseconds(6000));
  CHECK(fleet.count(3, member_status::failed) == 14);
}

// Guards against treating a planned stop as a failure.
TEST_CASE("a planned leave is told apart from a failure") {
  detector_fleet fleet(15);
  fleet.run(milliseconds(5000));
  fleet.instances[3].core->leave(fleet.now());
  fleet.run(milliseconds(2000));
  fleet.instances[3].is_up = false;
  fleet.run(milliseconds(10'000));
  CHECK(fleet.count(3, member_status::left) == 14);
  CHECK(fleet.changes_to(member_status::failed) == 0);
}

// Guards against a restarted process that is taken for its predecessor.
TEST_CASE("a rejoining instance is recognised by its higher incarnation") {
  detector_fleet fleet(9);
  fleet.run(milliseconds(3000));
  fleet.instances[4].is_up = false;
  fleet.run(milliseconds(8000));
  REQUIRE(fleet.count(4, member_status::failed) == 8);
  fleet.start(4, 2000);
  fleet.run(milliseconds(5000));
  CHECK(fleet.count(4, member_status::alive) == 8);
  for (std::size_t i = 0; i < 9; ++i) {
    if (i != 4) {
      CHECK(std::ranges::any_of(fleet.instances[i].changes, [](const auto& change) {
        return change.id == id_of(4) && change.has_restarted;
      }));
    }
  }
}

// Guards against both mistakes with a one-way partition: taking it for a death and missing it.
TEST_CASE("a one-way cut is reported as a path fault and not as a death") {
  for (const bool is_request_cut : {true, false}) {
    CAPTURE(is_request_cut);
    detector_fleet fleet(9);
    fleet.run(milliseconds(5000));
    fleet.net.cuts.insert(is_request_cut ? std::pair{0, 1} : std::pair{1, 0});
    fleet.run(milliseconds(20'000));
    CHECK(fleet.changes_to(member_status::failed) == 0);
    REQUIRE_FALSE(fleet.instances[0].faults.empty());
    CHECK(fleet.instances[0].faults.back().peer == id_of(1));
    CHECK(fleet.instances[0].faults.back().cut ==
          (is_request_cut ? path_direction::to_peer : path_direction::from_peer));
    fleet.net.cuts.clear();
    fleet.run(milliseconds(20'000));
    CHECK(fleet.instances[0].faults.back().cut == path_direction::none);
  }
}

// Guards against an instance with a broken uplink that declares the whole fleet dead.
TEST_CASE("an instance whose sends are all lost declares nobody failed") {
  detector_fleet fleet(9);
  fleet.run(milliseconds(5000));
  for (std::size_t i = 1; i < 9; ++i) {
    fleet.net.cuts.insert({0, i});
  }
  fleet.run(milliseconds(20'000));
  CHECK(fleet.instances[0].core->is_isolated());
  CHECK(std::ranges::count(fleet.instances[0].changes, member_status::failed,
                           &membership::member_change::to) == 0);
  CHECK(fleet.count(0, member_status::failed) == 8);
  fleet.net.cuts.clear();
  fleet.run(milliseconds(20'000));
  CHECK(fleet.count(0, member_status::alive) == 8);
}

// Guards against roles that move to and fro with a flapping member.
TEST_CASE("a member that keeps failing and returning is damped and later used again") {
  detector_fleet fleet(5);
  fleet.run(milliseconds(3000));
  for (std::uint64_t i = 0; i < 3; ++i) {
    fleet.instances[2].is_up = false;
    fleet.run(milliseconds(6000));
    fleet.start(2, 2000 + i);
    fleet.run(milliseconds(4000));
  }
  CHECK(fleet.count(2, member_status::damped) == 4);
  fleet.run(milliseconds(120'000));
  CHECK(fleet.count(2, member_status::alive) == 4);
}

// Guards against a partition after which each side keeps the other one for dead.
TEST_CASE("both sides of a healed partition recover each other") {
  detector_fleet fleet(9);
  fleet.run(milliseconds(3000));
  for (std::size_t a = 0; a < 3; ++a) {
    for (std::size_t b = 3; b < 9; ++b) {
      fleet.net.cuts.insert({a, b});
      fleet.net.cuts.insert({b, a});
    }
  }
  fleet.run(milliseconds(20'000));
  CHECK(fleet.count(0, member_status::failed) >= 6);
  fleet.net.cuts.clear();
  fleet.run(milliseconds(30'000));
  for (std::size_t i = 0; i < 9; ++i) {
    CHECK(fleet.count(i, member_status::alive) == 8);
  }
}

// Guards against unbounded messages in a fleet with much news.
TEST_CASE("a message carries a bounded number of updates") {
  membership::update_queue queue(512);
  for (std::size_t i = 0; i < 1000; ++i) {
    queue.add({id_of(i), 2, i}, false);
  }
  CHECK(queue.size() == 512);
  queue.add({"urgent", 2, 1}, true);
  CHECK(queue.take(1, {1, 9}).front().id == "urgent");
  CHECK(queue.size() == 512);
  CHECK(queue.take(6, {1, 1}).size() == 6);
  CHECK(queue.size() == 506);
  CHECK(queue.take(512, {1, 1}).size() == 506);
  CHECK(queue.size() == 0);
}

// Guards against deaths that several one-way cuts together make up.
TEST_CASE("no member fails while each pair is joined by some path in both directions") {
  CHECK(rc::check([] {
    const auto n = *rc::gen::inRange<std::size_t>(6, 20);
    detector_fleet fleet(n, *rc::gen::inRange<std::uint64_t>(0, 1U << 20U));
    fleet.run(milliseconds(2000));
    // Each member loses at most two of its paths in each direction.
    const auto shift = *rc::gen::inRange<std::size_t>(1, n);
    const auto second = *rc::gen::inRange<std::size_t>(1, n);
    for (std::size_t i = 0; i < n; ++i) {
      fleet.net.cuts.insert({i, (i + shift) % n});
      fleet.net.cuts.insert({i, (i + second) % n});
    }
    fleet.run(milliseconds(15'000));
    RC_ASSERT(fleet.changes_to(member_status::failed) == 0U);
    const auto has_fault = [](const auto& self) { return !self.faults.empty(); };
    RC_ASSERT(std::ranges::any_of(fleet.instances, has_fault));
  }));
}
