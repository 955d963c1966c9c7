#include "harness.h"

#include <doctest/doctest.h>

using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

TEST_CASE("a request is forwarded and its answer relayed") {
  backend b(always(ok_answer("fits")));
  fixture f({b.id()});
  f.start();
  test_connection c(f.port());
  for (int i = 0; i < 3; ++i) {
    c.send("GET /lookups/7?x=1 HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n");
    const auto a = c.read_answer();
    CHECK(a.status == 200);
    CHECK(a.body == "fits");
    CHECK(!a.field("x-request-id").empty());
  }
  CHECK(b.connections() == 1); // keep-alive to the upstream
  const auto bytes = b.received();
  CHECK(bytes.find("GET /lookups/7?x=1 HTTP/1.1\r\n") == 0);
  CHECK(bytes.find("X-Kingcupshunt-Workspace: optician\r\n") != std::string::npos);
  CHECK(bytes.find("X-Kingcupshunt-Deadline-Ms: ") != std::string::npos);
  CHECK(bytes.find(test_key) == std::string::npos);
  CHECK(eventually([&] { return f.log().finished == 3; }));
  CHECK(f.log().admitted == 3);
  CHECK(f.log().reports.size() == 3);
}
