#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "consensus/cluster.h"

using namespace test;

namespace {

/// Steps of one run; KINGCUPSHUNT_LONG_RUN multiplies them.
int steps() {
  const char* factor = std::getenv("KINGCUPSHUNT_LONG_RUN");
  return 40 * (factor == nullptr ? 1 : std::max(1, std::atoi(factor)));
}

bool is_whole(cluster& c) {
  auto* l = c.leader();
  return l != nullptr && l->is_ready() && l->are_voters_settled() &&
         l->voters().voters.size() == c.ids().size() && std::ranges::all_of(c.ids(), [&](auto& id) {
           const auto* v = l->voters().find(id);
           return v != nullptr && v->store == c[id].disk.store && c[id].replica &&
                  c[id].replica->is_storage_well();
         });
}

void repair(cluster& c) {
  c.heal();
  c.loss = c.duplication = 0;
  for (const auto& id : c.ids()) {
    auto& n = c[id];
    n.disk.delay = milliseconds(1);
    n.disk.is_failing = false;
    if (!n.replica || n.replica->has_failed()) {
      c.crash(id);
      c.start(id);
    }
  }
}

void disturb(cluster& c) {
  auto& rng = c.rng();
  const auto& id = c.ids()[rng.below(c.ids().size())];
  const auto& other = c.ids()[rng.below(c.ids().size())];
  switch (rng.below(9)) {
  case 0:
    c.crash(id);
    break;
  case 1:
    c.crash(id);
    c[id].disk.is_failing = false;
    c.start(id);
    break;
  case 2:
    c.cut(id, other); // one way
    break;
  case 3:
    c.heal();
    break;
  case 4:
    c[id].disk.delay = milliseconds(1 + rng.below(3) * 900);
    break;
  case 5:
    c[id].disk.is_failing = true;
    break;
  case 6:
    c.loss = rng.unit() * 0.3;
    c.duplication = rng.unit() * 0.3;
    c.max_delay = milliseconds(1 + rng.below(200));
    break;
  case 7:
    if (auto* l = c.leader()) {
      l->transfer_leadership(c.now());
    }
    break;
  default:
    // A disk is lost only while all others are whole; a second loss would lose the majority.
    if (is_whole(c)) {
      c.replace_disk(id);
      c.start(id);
      c.run_until([&] { return is_whole(c); }, milliseconds(20000));
    } else {
      repair(c);
    }
  }
}

} // namespace

// Guards against two leaders in a term, loss of an acknowledged entry and state machines that part.
TEST_CASE("replicas keep one history under faults of network, processes and disks") {
  CHECK(rc::check("faults", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    cluster c(seed % 2 == 0 ? 3 : 5, seed);
    c.run_until([&] { return is_whole(c); }, milliseconds(20000));
    int n = 0;
    for (int i = steps(); i > 0; --i) {
      disturb(c);
      for (auto k = c.rng().below(8); k > 0; --k) {
        for (const auto& id : c.ids()) {
          // Every replica that believes to lead takes commands, also a deposed one.
          if (auto& r = c[id].replica; r && r->is_leader()) {
            (void)r->propose("command " + std::to_string(++n), c.now());
          }
        }
        c.run(milliseconds(1 + c.rng().below(400)));
      }
      RC_ASSERT(c.violation == "");
    }
    repair(c);
    c.max_delay = milliseconds(5);
    RC_ASSERT(c.run_until([&] { return is_whole(c); }, milliseconds(60000)));
    c.run(milliseconds(5000));
    RC_ASSERT(c.violation == "");
    for (const auto& id : c.ids()) {
      RC_ASSERT(c[id].applied == c.history());
    }
    const std::set<std::string> kept(c.history().begin(), c.history().end());
    RC_ASSERT(kept.size() == c.history().size());
    RC_ASSERT(std::ranges::includes(kept, c.acknowledged));
    RC_TAG(c.acknowledged.size() / 25 * 25);
  }));
}
