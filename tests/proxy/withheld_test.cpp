#include "harness.h"

#include <utility>

#include <doctest/doctest.h>

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

// An order that a server gets no more requests may come between the choice of the server and the
// sending, while the connection is established.

TEST_CASE("a request is not sent to a server that became forbidden, but to another one") {
  backend forbidden(always(ok_answer("forbidden")));
  backend other(always(ok_answer("other")));
  fixture f({forbidden.id(), other.id()});
  f.decisions.may_send = [&](const std::string& server, bool) { return server != forbidden.id(); };
  f.start();
  const auto answer = f.get();
  CHECK(answer.status == 200);
  CHECK(answer.body == "other");
  CHECK(forbidden.received().empty());
  CHECK(f.counter("kingcupshunt_requests_withheld_total") == 1);
  // No evidence against the server, and its slot is released.
  REQUIRE(eventually([&] { return f.log().reports.size() == 2; }));
  const auto seen = f.log();
  REQUIRE(seen.reports.size() == 2);
  CHECK(seen.reports[0].upstream == forbidden.id());
  CHECK(seen.reports[0].end == health::attempt_end::cancelled);
}

TEST_CASE("a request that may be sent to no server is refused as not run") {
  backend forbidden(always(ok_answer("forbidden")));
  fixture f({forbidden.id()});
  f.decisions.may_send = [](const std::string&, bool) { return false; };
  f.start();
  const auto answer = f.get();
  CHECK(answer.status == 503);
  CHECK(forbidden.received().empty());
}

namespace {

/// The first choice is `forbidden`. Then every server is full for `full` calls, if none is excluded
/// as tried, and `other` is chosen after them.
void choose(fixture& f, const backend& forbidden, const backend& other, int full, int& calls) {
  f.decisions.pick = [&, full,
                      regular = f.decisions.pick](const auto& request, auto print,
                                                  const auto& tried) -> decided<upstream_target> {
    if (calls++ == 0) {
      return regular(request, print, {other.id()});
    }
    if (calls <= full) {
      refusal busy{503, "servers_full", "every server is full", ran_state::no, std::nullopt};
      busy.is_transient = tried.empty();
      return busy;
    }
    return regular(request, print, {forbidden.id()});
  };
  f.decisions.may_send = [&](const std::string& server, bool) { return server != forbidden.id(); };
}

} // namespace

TEST_CASE("a withheld request that finds the other servers full waits and is no try") {
  // Guards against an immediate refusal of requests that run in no server, during the seconds after
  // an order when the other data centres take over the load.
  backend forbidden(always(ok_answer("forbidden")));
  backend other(always(ok_answer("other")));
  fixture f({forbidden.id(), other.id()}, [](entry_settings& s) { s.max_tries = 1; });
  f.route.max_tries = 1;
  int calls = 0;
  choose(f, forbidden, other, 10, calls);
  f.start();
  const auto answer = f.get();
  CHECK(answer.status == 200);
  CHECK(answer.body == "other");
  CHECK(forbidden.received().empty());
  CHECK(f.log().retries_requested == 0);
}

TEST_CASE("a withheld request waits no longer than its deadline") {
  backend forbidden(always(ok_answer("forbidden")));
  backend other(always(ok_answer("other")));
  fixture f({forbidden.id(), other.id()});
  f.service.timeout = base::milliseconds(300);
  int calls = 0;
  choose(f, forbidden, other, 1'000'000, calls);
  f.start();
  const auto begin = base::clock::now();
  CHECK(f.get().status == 503);
  const auto took = base::clock::now() - begin;
  CHECK(took > base::milliseconds(200));
  CHECK(took < base::seconds(2));
  CHECK(other.received().empty());
}

TEST_CASE("a withheld request is refused at once when no server may take it later") {
  // Guards against callers that wait until their deadline when all data centres are evacuated.
  backend forbidden(always(ok_answer("forbidden")));
  fixture f({forbidden.id()});
  f.service.timeout = base::seconds(10);
  f.decisions.pick = [first = true,
                      regular = f.decisions.pick](const auto& request, auto print,
                                                  const auto&) mutable -> decided<upstream_target> {
    if (std::exchange(first, false)) {
      return regular(request, print, {});
    }
    return refusal{503, "evacuated", "no data centre is left", ran_state::no, std::nullopt};
  };
  f.decisions.may_send = [](const std::string&, bool) { return false; };
  f.start();
  const auto begin = base::clock::now();
  CHECK(f.get().status == 503);
  CHECK(base::clock::now() - begin < base::seconds(2));
}
