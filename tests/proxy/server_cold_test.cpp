#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/proxy/head_checks.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

std::string cold(const std::string& value) {
  return "X-Kingcupshunt-Server-Cold-Ms: " + value + "\r\n";
}

/// What the report of one request to a server with these fields says of its cold time.
std::optional<base::duration> reported(const std::string& status, const std::string& fields,
                                       double unreadable = 0) {
  backend server(always("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\nok"));
  fixture f({server.id()}, [](entry_settings& s) { s.names.expected_instance = "Expected"; });
  f.start();
  f.get();
  CHECK(eventually([&] { return !f.log().reports.empty(); }));
  CHECK(f.counter("kingcupshunt_upstream_cold_unreadable_total") == unreadable);
  return f.log().reports.front().cold_left;
}

} // namespace

// Guards against reading the field in successes only, and against a time that grows on its way.
TEST_CASE("any answer with the field reports how long its server remains cold") {
  for (const auto* status : {"200 OK", "404 Not Found", "500 Broken", "503 Full"}) {
    CAPTURE(status);
    const auto left = reported(status, cold("600000"));
    REQUIRE(left);
    CHECK(*left <= base::milliseconds(600'000));
    CHECK(*left > base::duration{});
  }
  CHECK(reported("200 OK", cold("0")) == base::duration{});
  CHECK(!reported("200 OK", ""));
}

// Guards against a server that is taken for cold for a garbled field, or for another's answer.
TEST_CASE("a cold field that states no time is counted and ignored, that of another instance is "
          "ignored") {
  CHECK(!reported("200 OK", cold("-1"), 1));
  CHECK(!reported("200 OK", cold("soon"), 1));
  CHECK(!reported("200 OK", cold(""), 1));
  CHECK(!reported("200 OK", cold("5") + cold("5"), 1));
  CHECK(!reported("421 Other", cold("600000")));
}

TEST_CASE("the cold time of an answer is bounded") {
  CHECK(cold_left_of("1500") == base::milliseconds(1500));
  CHECK(cold_left_of("0.5") == base::microseconds(500));
  CHECK(cold_left_of("99999999999999999999") == max_cold_left);
  CHECK(!cold_left_of("nan"));
  CHECK(!cold_left_of("1 s"));
}
