#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "kingcupshunt/admission/hedging.h"
#include "kingcupshunt/admission/retry_policy.h"
#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using base::milliseconds;
using health::attempt_end;

namespace {

const base::time_point start = base::time_point{} + base::seconds(100);

health::attempt attempt_of(attempt_end end, std::uint32_t status = 0) {
  health::attempt a;
  a.route = "fit";
  a.end = end;
  a.status = status;
  return a;
}

struct policy_run {
  std::map<std::string, int, std::less<>> retries;
  std::map<std::string, int, std::less<>> denials;
  int decisions = 0;
  admission::retry_policy policy{{},
                                 {[this](auto r) { ++retries[std::string(r)]; },
                                  [this](auto r) { ++denials[std::string(r)]; },
                                  [this](const auto&) { ++decisions; }}};

  bool decide(attempt_end end, bool is_repeatable, std::uint32_t tries = 1,
              std::uint32_t status = 0) {
    const admission::retry_request r{"w", is_repeatable, tries, start + base::seconds(1), {}, true};
    return policy.decide(r, attempt_of(end, status), start).is_allowed;
  }
};

} // namespace

// Guards against non-repeatable requests, such as payments, that run twice.
TEST_CASE("a request that may have run is retried only when repeatable") {
  policy_run run;
  CHECK(run.decide(attempt_end::connect_failed, false));
  CHECK(run.decide(attempt_end::shed, false));
  for (const auto end :
       {attempt_end::closed_unanswered, attempt_end::truncated, attempt_end::timed_out,
        attempt_end::malformed, attempt_end::stale_connection, attempt_end::error_status}) {
    CHECK(!run.decide(end, false, 1, 503));
  }
  CHECK(run.denials["may_have_run"] == 6);
  CHECK(!run.policy.take_hedge("w", false, start));
}

// Guards against retries after final answers, without time left, or without limit.
TEST_CASE("the answer, the number of tries and the deadline limit retries") {
  policy_run run;
  CHECK(!run.decide(attempt_end::ok, true, 1, 200));
  CHECK(!run.decide(attempt_end::error_status, true, 1, 500));
  CHECK(!run.decide(attempt_end::cancelled, true));
  CHECK(!run.decide(attempt_end::closed_unanswered, true, 3));
  CHECK(run.decide(attempt_end::error_status, true, 1, 503));
  admission::retry_request late{"w", true, 1, start + milliseconds(5), milliseconds(10), true};
  CHECK(run.policy.decide(late, attempt_of(attempt_end::connect_failed), start).denial ==
        admission::retry_denial::no_time);
  late.deadline = start + base::seconds(1);
  late.is_answer_unsent = false;
  CHECK(!run.policy.decide(late, attempt_of(attempt_end::truncated), start).is_allowed);
  CHECK(run.retries["error_status"] == 1);
}

// Guards against a general failure that multiplies the load.
TEST_CASE("at 100 % failure retries stay within the constant part of the budget") {
  policy_run run;
  // 10 s with 1000 requests/s over 10 workspaces, all answered.
  auto now = start;
  const auto phase = [&](bool is_failing) {
    std::uint64_t sent = 0;
    for (int i = 0; i < 10'000; ++i, now += milliseconds(1)) {
      const auto w = "w" + std::to_string(i % 10);
      ++sent;
      auto last = attempt_of(is_failing ? attempt_end::timed_out : attempt_end::ok);
      run.policy.note(w, last, now);
      for (std::uint32_t tries = 1;; ++tries, ++sent) {
        const admission::retry_request r{w, true, tries, now + base::seconds(1), {}, true};
        if (!run.policy.decide(r, last, now).is_allowed) {
          break;
        }
      }
    }
    return static_cast<double>(sent) / 10'000;
  };
  CHECK(phase(false) == 1.0);
  const double first = phase(true);  // includes retries earned by earlier successes
  const double second = phase(true); // only the constant part is left
  INFO("amplification " << first << " " << second);
  CHECK(first < 1.1);
  CHECK(second < 1.01);
  CHECK(run.denials["budget_spent"] > 15'000);
  CHECK(run.decisions >= 2);
  CHECK(run.decisions <= 4);
}

// Guards against failures of one workspace that use up the retries of the others.
TEST_CASE("a workspace does not use the retry budget of another one") {
  admission::retry_budget budget;
  for (int i = 0; i < 1000; ++i) {
    budget.deposit("good", start);
  }
  int bad = 0;
  while (budget.withdraw("bad", start)) {
    ++bad;
  }
  CHECK(bad == 2);
  CHECK(budget.withdraw("good", start));
}

// Guards against many workspaces that fail at the same time and each use their constant part.
TEST_CASE("the budget of the instance limits the total over its workspaces") {
  admission::retry_budget budget;
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    allowed += budget.withdraw("w" + std::to_string(i), start) ? 1 : 0;
  }
  CHECK(allowed == 25);
}

// Guards against memory that grows with each new workspace.
TEST_CASE("the budget keeps a bounded number of workspaces") {
  admission::retry_budget_settings s;
  s.max_workspaces = 100;
  admission::retry_budget budget(s);
  for (int i = 0; i < 1000; ++i) {
    budget.deposit("w" + std::to_string(i), start + milliseconds(i));
  }
  CHECK(budget.size() <= 100);
}

// Guards against hedges that are too early or never sent because the estimate drifts.
TEST_CASE("the running quantile is close to the exact one") {
  base::rng rng(20261204);
  for (const double q : {0.5, 0.9, 0.95, 0.99}) {
    admission::quantile_estimate estimate(q);
    std::vector<double> all;
    for (int i = 0; i < 20'000; ++i) {
      const double value = -std::log(1.0 - rng.unit());
      estimate.add(value);
      all.push_back(value);
    }
    std::ranges::sort(all);
    const double exact = all[static_cast<std::size_t>(q * 20'000)];
    INFO("quantile " << q << " exact " << exact << " estimate " << estimate.value());
    CHECK(estimate.value() == doctest::Approx(exact).epsilon(0.05));
  }
}

// Guards against hedges of non-repeatable requests or without time left.
TEST_CASE("the hedge delay follows the route's time to first byte") {
  admission::hedging hedging;
  auto a = attempt_of(attempt_end::ok, 200);
  CHECK(!hedging.delay("fit", true, true, base::seconds(1)));
  for (int i = 0; i < 5000; ++i) {
    a.first_byte = milliseconds(i % 100 < 90 ? 10 : 200);
    hedging.note(a);
  }
  const auto delay = hedging.delay("fit", true, true, base::seconds(1));
  REQUIRE(delay);
  CHECK(*delay > milliseconds(10));
  CHECK(*delay <= milliseconds(210));
  CHECK(!hedging.delay("fit", true, false, base::seconds(1)));
  CHECK(!hedging.delay("fit", false, true, base::seconds(1)));
  CHECK(!hedging.delay("fit", true, true, milliseconds(5)));
}
