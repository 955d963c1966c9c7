#include <doctest/doctest.h>

#include "kingcupshunt/control/announce_api.h"

using namespace kingcupshunt;

namespace {

const std::string valid =
    R"({"service": "fitting", "address": "10.0.0.1:9000", "data_centre": "dc1", "slots": 3,
        "incarnation": 7})";

struct fixture {
  fixture() {
    auto made = std::make_shared<config::service>();
    made->name = "fitting";
    made->secret_sha256 = base::sha256("secret");
    hooks.is_ready = [this] { return is_ready; };
    hooks.find_service = [made](std::string_view name) {
      return name == "fitting" ? made : nullptr;
    };
    hooks.announce = [this](const health::announcement& a) {
      accepted.push_back(a);
      return !is_refusing;
    };
  }

  unsigned post(const std::string& body, const std::string& secret = "secret") const {
    control::http_request request;
    request.method = "POST";
    request.path = "/announce";
    request.headers["authorization"] = "Bearer " + secret;
    request.body = body;
    unsigned status = 0;
    control::make_announce_handler(hooks)(request, [&](auto r) { status = r.status; });
    return status;
  }

  control::announce_hooks hooks;
  bool is_ready = true;
  bool is_refusing = false;
  std::vector<health::announcement> accepted;
};

} // namespace

TEST_CASE("an announcement with the service's secret reaches the registry") {
  fixture f;
  CHECK(f.post(valid) == 200);
  REQUIRE(f.accepted.size() == 1);
  CHECK(f.accepted[0].id == "10.0.0.1:9000");
  CHECK(f.accepted[0].slots == 3);
}

TEST_CASE("an announcement with a wrong secret, an unknown service or a malformed body does not "
          "reach the registry") {
  fixture f;
  CHECK(f.post(valid, "guess") == 401);
  auto other = valid;
  other.replace(other.find("fitting"), 7, "orders");
  CHECK(f.post(other) == 404);
  CHECK(f.post("{") == 400);
  CHECK(f.post("[]") == 400);
  auto host = valid;
  host.replace(host.find("10.0.0.1"), 8, "example!");
  CHECK(f.post(host) == 400);
  auto slots = valid;
  slots.replace(slots.find("3,"), 1, "0");
  CHECK(f.post(slots) == 400);
  CHECK(f.accepted.empty());
}

TEST_CASE("an instance without configuration answers 503 and a refused announcement gives 409") {
  fixture f;
  f.is_ready = false;
  CHECK(f.post(valid) == 503); // the server then tries another instance
  f.is_ready = true;
  f.is_refusing = true;
  CHECK(f.post(valid) == 409);
}
