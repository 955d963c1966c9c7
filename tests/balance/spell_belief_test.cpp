#include <doctest/doctest.h>

#include "kingcupshunt/balance/spell_belief.h"

using namespace kingcupshunt;
using balance::spell_belief;

namespace {

const base::time_point start{base::seconds(100)};
const balance::spell_settings settings;

} // namespace

TEST_CASE("one reset after many successes is enough to doubt a server, one success is not enough "
          "to trust it again") {
  spell_belief b;
  auto now = start;
  for (int i = 0; i < 50; ++i) {
    now += base::milliseconds(200);
    b.note(settings.success_odds, settings, now);
  }
  CHECK(b.failure(settings, now) < 0.02);
  b.note(settings.reset_odds, settings, now);
  b.note(settings.reset_odds, settings, now + base::milliseconds(100));
  CHECK(b.spell(settings, now + base::milliseconds(100)) > 0.9);
  b.note(settings.success_odds, settings, now + base::milliseconds(200));
  CHECK(b.spell(settings, now + base::milliseconds(200)) > 0.5);
  b.note(settings.success_odds, settings, now + base::milliseconds(300));
  b.note(settings.success_odds, settings, now + base::milliseconds(400));
  b.note(settings.success_odds, settings, now + base::milliseconds(500));
  CHECK(b.spell(settings, now + base::milliseconds(500)) < 0.2);
}

TEST_CASE("one error answer is no spell, several are") {
  spell_belief b;
  for (int i = 0; i < 20; ++i) {
    b.note(settings.success_odds, settings, start);
  }
  b.note(settings.error_odds, settings, start);
  CHECK(b.spell(settings, start) < 0.1);
  b.note(settings.error_odds, settings, start);
  b.note(settings.error_odds, settings, start);
  b.note(settings.error_odds, settings, start);
  CHECK(b.spell(settings, start) > 0.5);
}

TEST_CASE("evidence fades to the usual share") {
  spell_belief bad;
  bad.note(settings.reset_odds, settings, start);
  bad.note(settings.reset_odds, settings, start);
  const auto later = start + settings.memory * 5;
  CHECK(bad.spell(settings, later) < settings.usual_share + 0.02);
  spell_belief good;
  good.note(settings.success_odds, settings, start);
  CHECK(good.spell(settings, later) > settings.usual_share - 0.01);
}
