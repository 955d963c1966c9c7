#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/fleet.h"

using namespace test;
using state::outcome;

namespace {

std::string file_of(const std::string& name) {
  return R"({"workspaces": {")" + name + R"(": {"rate": 5}}})";
}

state::set_view view_of(fleet& f) {
  state::set_view out{"view", 0, 0, "ops", {}};
  for (const auto* part : {&f.voters(), &f.others()}) {
    for (const auto& id : *part) {
      out.members.push_back({id, "dc" + id.substr(id.size() - 1), "", "", true});
    }
  }
  return out;
}

bool have_all(fleet& f, std::uint64_t revision) {
  for (const auto* part : {&f.voters(), &f.others()}) {
    for (const auto& id : *part) {
      if (f[id].follower && f[id].follower->revision() < revision) {
        return false;
      }
    }
  }
  return true;
}

const auto ignore = [](const auto&) {};

} // namespace

TEST_CASE("a change reaches all instances along the tree and by pull") {
  fleet f(3, 12, 1);
  REQUIRE(f.run_until([&] { return f.leader() != nullptr; }, milliseconds(5000)));
  auto& client = *f["e5"].client;
  client.change_view(view_of(f), f.now() + milliseconds(3000), ignore, f.now());
  f.run(milliseconds(500));
  f.gossip();
  REQUIRE(f.run_until([&] { return have_all(f, 1); }, milliseconds(1000)));
  // Along the tree alone.
  std::uint64_t revision = 0;
  client.change(
      {"r1", 1, "ops", {{"10.json", file_of("a")}}, {}}, f.now() + milliseconds(3000),
      [&](auto r) { revision = r.value().revision; }, f.now());
  CHECK(f.run_until([&] { return have_all(f, 2); }, milliseconds(1000)));
  CHECK(revision == 2);
  CHECK(f["e9"].config.find_workspace("a") != nullptr);
  CHECK(f["e9"].follower->view().members.size() == 15);
}

TEST_CASE("an instance that starts takes the state at a read index and is synced then") {
  fleet f(3, 2, 2);
  REQUIRE(f.run_until([&] { return f.leader() != nullptr; }, milliseconds(5000)));
  for (int i = 0; i < 60; ++i) {
    const auto name = "w" + std::to_string(i);
    f["e3"].client->change(
        {name, f.leader()->current().revision(), "ops", {{name + ".json", file_of(name)}}, {}},
        f.now() + milliseconds(3000), ignore, f.now());
    f.run(milliseconds(60));
  }
  REQUIRE(f.leader()->current().revision() == 60);
  f.crash("e4");
  f.start("e4");
  f["e4"].document = nlohmann::json::object();
  auto& follower = *f["e4"].follower;
  CHECK(!follower.is_synced());
  f["e4"].client->read(
      f.now() + milliseconds(2000),
      [&](auto r) {
        follower.require(r.value().revision);
        follower.on_behind(f["e4"].client->leader(), r.value().revision, f.now());
      },
      f.now());
  CHECK(f.run_until([&] { return follower.is_synced(); }, milliseconds(3000)));
  // 60 deltas are more than the 20 kept: the state came whole, in chunks.
  CHECK(follower.images_taken() == 1);
  CHECK(f["e4"].config.workspaces().size() == 60);
}

// Guards against a second effect when only the answer was lost.
TEST_CASE("a change whose answers are lost is resent and has one effect") {
  fleet f(3, 1, 3);
  REQUIRE(f.run_until([&] { return f.leader() != nullptr; }, milliseconds(5000)));
  f.loss = 0.3;
  f.duplication = 0.3;
  std::vector<state::command_result> answers;
  for (int i = 0; i < 10; ++i) {
    f["e3"].client->change(
        {"r" + std::to_string(i), 0, "ops", {{"10.json", file_of("a")}}, {}},
        f.now() + milliseconds(60000), [&](auto r) { answers.push_back(r.value()); }, f.now());
  }
  REQUIRE(f.run_until([&] { return answers.size() == 10; }, milliseconds(60000)));
  CHECK(std::ranges::count(answers, outcome::accepted, &state::command_result::code) == 1);
  CHECK(std::ranges::count(answers, outcome::conflict, &state::command_result::code) == 9);
  CHECK(f.leader()->current().revision() == 1);
}

TEST_CASE("an attempt that was given up is released and never granted") {
  fleet f(3, 2, 4);
  REQUIRE(f.run_until([&] { return f.leader() != nullptr; }, milliseconds(5000)));
  f.loss = 1; // the first copies are lost
  int answered = 0;
  const auto attempt = f["e3"].client->reserve_key(
      "w", "k", 7, f.now() + milliseconds(5000), [&](auto) { ++answered; }, f.now());
  f.run(milliseconds(20));
  f["e3"].client->cancel(attempt, f.now());
  f.loss = 0;
  f.run(milliseconds(2000));
  CHECK(answered == 0);
  outcome code = outcome::none;
  f["e4"].client->reserve_key(
      "w", "k", 7, f.now() + milliseconds(2000), [&](auto r) { code = r.value().code; }, f.now());
  f.run(milliseconds(500));
  CHECK(code == outcome::granted);
}

namespace {

struct reservation_log {
  std::map<std::string, std::set<std::uint64_t>> running; ///< key to attempts that sent
};

void use_reservations(fleet& f, const std::string& id, reservation_log& log) {
  const auto key = "k" + std::to_string(f.rng().below(5));
  const auto incarnation = f[id].incarnation;
  auto attempt = std::make_shared<std::uint64_t>(0);
  *attempt = f[id].client->reserve_key(
      "w", key, 7, f.now() + milliseconds(f.rng().below(3000)),
      [&f, &log, id, key, attempt, incarnation](auto r) {
        if (!r || r.value().code != outcome::granted || f[id].incarnation != incarnation) {
          return;
        }
        switch (f.rng().below(4)) {
        case 0:
          f[id].client->release_key(*attempt, f.now()); // did not run
          return;
        case 1:
          f[id].client->abandon_key(*attempt); // may have run
          break;
        default:
          f[id].client->complete_key(*attempt, state::kept_answer{200, "t", "ok"}, f.now());
        }
        log.running[key].insert(*attempt);
      },
      f.now());
  if (f.rng().below(4) == 0) {
    f[id].client->cancel(*attempt, f.now());
  }
}

} // namespace

// Guards against a second run of a non-repeatable request, a second effect of a resend, a revision
// that goes back and voters whose state differs.
TEST_CASE("under faults keys run once, changes take effect once and revisions never go back") {
  CHECK(rc::check("fleet", [] {
    fleet f(3, 4, *rc::gen::arbitrary<std::uint64_t>());
    auto& rng = f.rng();
    f.run_until([&] { return f.leader() != nullptr; }, milliseconds(5000));
    reservation_log log;
    std::uint64_t accepted = 0;
    int changes = 0;
    for (int step = 0; step < 60; ++step) {
      const auto id = f.others()[rng.below(f.others().size())];
      use_reservations(f, id, log);
      if (rng.below(3) == 0) {
        const auto name = "r" + std::to_string(++changes);
        f[id].client->change(
            {name, f[id].follower->revision(), id, {{name + ".json", file_of(name)}}, {}},
            f.now() + milliseconds(20000),
            [&](auto r) { accepted += r && r.value().code == outcome::accepted ? 1 : 0; }, f.now());
      }
      const auto victim = rng.below(2) == 0 ? f.voters()[rng.below(3)] : id;
      switch (rng.below(6)) {
      case 0:
        f.crash(victim);
        f.run(milliseconds(rng.below(2000)));
        f.start(victim);
        break;
      case 1:
        f.loss = rng.unit() * 0.4;
        f.duplication = rng.unit() * 0.4;
        f.max_delay = milliseconds(1 + rng.below(400));
        break;
      default:
        f.gossip();
      }
      f.run(milliseconds(rng.below(300)));
      RC_ASSERT(f.violation == "");
    }
    f.loss = f.duplication = 0;
    f.max_delay = milliseconds(5);
    f.run(milliseconds(25000));
    auto* leader = f.leader();
    RC_ASSERT(leader != nullptr);
    for (const auto& [key, attempts] : log.running) {
      RC_ASSERT(attempts.size() == 1U);
    }
    f.gossip();
    f.run(milliseconds(2000));
    const auto& current = leader->current();
    RC_ASSERT(current.configuration().files().size() >= accepted);
    RC_ASSERT(current.configuration().files().size() == current.revision());
    for (const auto& id : f.voters()) {
      RC_ASSERT(f[id].server->current().save() == current.save());
    }
    for (const auto& id : f.others()) {
      RC_ASSERT(f[id].follower->revision() == current.revision());
      RC_ASSERT(f[id].document == current.configuration().merged());
    }
  }));
}

TEST_CASE("every active member is below the root of the tree once") {
  CHECK(rc::check("tree", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 300);
    const auto centres = *rc::gen::inRange<std::size_t>(1, 20);
    membership::fleet_view view;
    for (std::size_t i = 0; i < n; ++i) {
      view.members.push_back(
          {"i" + std::to_string(i + 1000), "dc" + std::to_string(i % centres), "", "", true});
    }
    std::map<std::string, int> received;
    const auto root = view.members[n / 2].id;
    for (const auto& member : view.members) {
      state::distribution d({member.id}, {});
      d.set_view(view, {});
      RC_ASSERT(d.children(root).size() <= 2 * state::distribution_fan_out);
      for (const auto& child : d.children(root)) {
        ++received[child];
      }
    }
    RC_ASSERT(received.size() == n - 1);
    RC_ASSERT(!received.contains(root));
  }));
}
