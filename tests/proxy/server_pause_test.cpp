#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/proxy/head_checks.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;
using health::attempt_end;

// Servers that answer 503 with Retry-After want no request of this instance for so long.

namespace {

std::string refusal_of_server(const std::string& fields, int status = 503) {
  return "HTTP/1.1 " + std::to_string(status) + " Later\r\nNot-Executed: 1\r\n" + fields +
         "Content-Length: 0\r\n\r\n";
}

struct pause_fixture : fixture {
  explicit pause_fixture(std::vector<std::string> ups)
      : fixture(std::move(ups), [](entry_settings& s) {
          s.names.not_run = "Not-Executed";
          s.names.has_not_run_statuses = true;
          s.names.has_fractional_retry_after = true;
          s.names.is_shed_budgeted = true;
        }) {}

  health::attempt first_report() {
    start();
    (void)get();
    REQUIRE(eventually([&] { return !log().reports.empty(); }));
    return log().reports[0];
  }
};

} // namespace

// Guards against a pause that stays unread.
TEST_CASE("the Retry-After of a server's 503 is reported as its pause") {
  backend server(always(refusal_of_server("Retry-After: 1.5\r\n")));
  pause_fixture f({server.id()});
  const auto a = f.first_report();
  CHECK(a.end == attempt_end::shed);
  CHECK(a.pause == base::milliseconds(1500));
  CHECK(f.counter("kingcupshunt_upstream_pauses_unreadable_total") == 0);
}

// Guards against pauses from values that state none, and from other statuses.
TEST_CASE("a Retry-After that is no number of seconds, or of another status, is no pause") {
  for (const auto* value : {"-1", "soon", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CAPTURE(value);
    backend server(always(refusal_of_server(std::string("Retry-After: ") + value + "\r\n")));
    pause_fixture f({server.id()});
    CHECK(f.first_report().pause == base::duration{});
    CHECK(f.counter("kingcupshunt_upstream_pauses_unreadable_total") == 1);
  }
  backend other(always(refusal_of_server("Retry-After: 1\r\n", 429)));
  pause_fixture f({other.id()});
  CHECK(f.first_report().pause == base::duration{});
  CHECK(f.counter("kingcupshunt_upstream_pauses_unreadable_total") == 0);
}

// Guards against callers that are told to come back while every server still wants no request.
TEST_CASE("a request that no server took is refused with the time until one takes requests") {
  backend server(always(refusal_of_server("Retry-After: 1.5\r\n")));
  pause_fixture f({server.id()});
  const auto pick = f.decisions.pick;
  f.decisions.pick = [pick](const auto& request, auto fingerprint,
                            const auto& tried) -> decided<upstream_target> {
    if (!tried.empty()) {
      return refusal{503, "servers_paused", "", ran_state::no, base::milliseconds(1500)};
    }
    return pick(request, fingerprint, tried);
  };
  f.start();
  const auto a = f.get();
  CHECK(a.status == 503);
  CHECK(a.field("retry-after") == "1.500");
}

// Guards against a pause without end.
TEST_CASE("a server's pause has fractions and a greatest length") {
  CHECK(server_pause_of("0") == base::duration{});
  CHECK(server_pause_of("0.25") == base::milliseconds(250));
  CHECK(server_pause_of("12") == base::seconds(12));
  CHECK(server_pause_of("99999999999999999999") == max_server_pause);
  for (const auto* value : {"", "-0.5", "-0", "1e3", "2.5 ", " 1", "1,5", "inf", "-nan", "0x10"}) {
    CAPTURE(value);
    CHECK(!server_pause_of(value));
  }
}
