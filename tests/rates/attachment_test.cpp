#include <doctest/doctest.h>

#include "kingcupshunt/rates/attachment.h"
#include "kingcupshunt/rates/bucket.h"

using namespace kingcupshunt;
using namespace kingcupshunt::rates;

namespace {

const base::time_point start{base::seconds(100)};

base::time_point at_ms(int ms) {
  return start + base::milliseconds(ms);
}

/// An owner's account of one workspace beside four instances.
struct watched_bucket {
  explicit watched_bucket(limit l, double level) : b(l, level, start) {
    for (const auto* id : {"e0", "e1", "e2", "e3"}) {
      apply(a.note_heard(id, false, start));
    }
  }
  void apply(const std::vector<attachment_change>& changes) {
    for (const auto& c : changes) {
      b.apply(c);
    }
  }
  /// Time passes in which the instances from `first` on are heard.
  void run(int from_ms, int to_ms, int first) {
    for (int ms = from_ms; ms < to_ms; ms += 50) {
      for (int i = first; i < 4; ++i) {
        apply(a.note_heard("e" + std::to_string(i), false, at_ms(ms)));
      }
      apply(a.check(at_ms(ms)));
    }
    b.accrue(at_ms(to_ms));
  }
  attachment a;
  bucket b;
};

} // namespace

TEST_CASE("the parts of instances that aren't heard don't accrue at the owner") {
  watched_bucket w({100, 1000}, 0);
  w.run(0, 2000, 0);
  CHECK(w.b.level() == doctest::Approx(198)); // 99 % of the time, for drift
  w.run(2000, 4000, 2);                       // two of four are cut off
  CHECK(w.a.share() == 0.5);
  // Half of the level is theirs as well.
  CHECK(w.b.level() <= 0.5 * 198 + 0.5 * 100 * 2);
  CHECK(w.b.level() >= 0.5 * 198 + 0.5 * 100 * 1.2);
  const auto before = w.b.level();
  w.run(4000, 5000, 0);
  CHECK(w.a.share() == 1);
  CHECK(w.b.level() == doctest::Approx(before + 99).epsilon(0.03));
}

// Guards against an owner that grants on waking what others admitted while it stood still.
TEST_CASE("an owner that stood still has nothing to grant") {
  watched_bucket w({100, 1000}, 0);
  w.run(0, 2000, 0);
  w.apply(w.a.note_heard("e0", false, at_ms(5000))); // before the first tick
  CHECK(w.b.level() <= 0.01);
  w.run(5000, 6000, 0);
  CHECK(w.b.level() <= 100);
  CHECK(w.b.level() >= 95);
}

TEST_CASE("a short pause costs its own accrual only") {
  watched_bucket w({100, 1000}, 500);
  w.run(0, 1000, 0);
  const auto before = w.b.level();
  w.run(1550, 1600, 0); // not called for 600 ms
  CHECK(w.b.level() <= before + 5);
  CHECK(w.b.level() >= before - 5);
}

TEST_CASE("an instance that leaves as planned takes nothing with it") {
  watched_bucket w({100, 1000}, 500);
  w.run(0, 100, 0);
  w.apply(w.a.note_heard("e0", true, at_ms(100)));
  w.run(100, 2000, 1);
  CHECK(w.a.share() == 1);
  CHECK(w.b.level() >= 500 + 0.99 * 190);
}

TEST_CASE("one that ended without notice is forgotten after half a minute") {
  watched_bucket w({100, 1000}, 0);
  w.run(0, 2000, 1);
  CHECK(w.a.share() == 0.75);
  w.run(2000, 32'000, 1);
  CHECK(w.a.share() == 1);
}

TEST_CASE("without any instance heard the whole rate is granted") {
  attachment a;
  CHECK(a.check(start).empty());
  CHECK(a.check(start + base::seconds(9)).empty());
  CHECK(a.share() == 1);
}
