#include "harness.h"

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
