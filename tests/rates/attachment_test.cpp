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
  CHECK(w.b.level() <= 198 + 0.5 * 100 * 2.05);
  CHECK(w.b.level() >= 198 + 0.5 * 100 * 1.9);
  const auto before = w.b.level();
  w.run(4000, 5000, 0);
  CHECK(w.a.share() == 1);
  CHECK(w.b.level() == doctest::Approx(before + 99).epsilon(0.03));
}

// Guards against an owner that grants on waking what others admitted while it stood still.
TEST_CASE("an owner that stood still has no more to grant than before") {
  watched_bucket w({100, 1000}, 0);
  w.run(0, 2000, 0);
  const auto before = w.b.level();
  w.apply(w.a.note_heard("e0", false, at_ms(5000))); // before the first tick
  CHECK(w.b.level() <= before + 0.01);
  w.run(5000, 6000, 0);
  CHECK(w.b.level() <= before + 100);
  CHECK(w.b.level() >= before + 90);
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

// Guards against a rate that is kept from the callers for entries which can't use their shares.
TEST_CASE("one that no control instance hears counts for as long as its lease") {
  watched_bucket w({100, 1000}, 0);
  w.run(0, 3000, 1);
  CHECK(w.a.share() == 0.75);
  w.run(3000, 3500, 1);
  CHECK(w.a.share() == 1);
}

TEST_CASE("one that another control instance hears keeps its part") {
  watched_bucket w({100, 1000}, 0);
  const std::vector<std::string> heard{"e0"};
  for (int ms = 0; ms < 20'000; ms += 1000) {
    w.a.note_heard_elsewhere(heard, at_ms(ms));
    w.run(ms, ms + 1000, 1);
  }
  CHECK(w.a.share() == 0.75);
}

TEST_CASE("without any instance heard the whole rate is granted") {
  attachment a;
  CHECK(a.check(start).empty());
  CHECK(a.check(start + base::seconds(9)).empty());
  CHECK(a.share() == 1);
}
