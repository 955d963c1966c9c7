#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "server_wire.h"

using namespace kingcupshunt;
using namespace kingcupshunt::platform;
using nlohmann::json;

namespace {

json beat() {
  return {{"address", "10.128.0.9:8080"},
          {"born", 1700000000000U},
          {"info", {{"service", "fitting"}, {"version", "v1"}, {"zone", "a"}, {"slots", 3}}},
          {"status", {{"state", "ready"}, {"seq", 4}, {"cold_left_s", 1.5}}}};
}

bool is_accepted(const json& b, const std::string& id = "i-1") {
  return parse_heartbeat(id, b.dump()).has_value();
}

bool is_accepted_with(const char* pointer, const json& value) {
  auto b = beat();
  b[json::json_pointer(pointer)] = value;
  return is_accepted(b);
}

/// The text of a beat in which `from` is replaced, for values that the library can't write.
std::string text_with(const std::string& from, const std::string& to) {
  auto text = beat().dump();
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against requests to an address that no connection can be made to.
TEST_CASE("a heartbeat whose address is no IP address with a port names no server") {
  REQUIRE(is_accepted(beat()));
  CHECK(is_accepted_with("/address", "10.128.0.9:65535"));
  CHECK(is_accepted_with("/address", "[fd00::9]:8080"));
  for (const auto* address :
       {"10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:99999", "10.128.0.9:-1", "10.128.0.9:8080x",
        "10.128.0.9:", ":8080", "10.128.0.9", "host.example:8080", "10.128.0.999:8080",
        "10.128.0.9:8080:1", " 10.128.0.9:8080", "10.128.0.9: 8080", "10.128.0.9\r\nA: b:80", ""}) {
    CAPTURE(address);
    CHECK(!is_accepted_with("/address", address));
  }
}

// Guards against tables that are too large for a message, which no instance could follow any more,
// and against line breaks in the head of a request, which names the id.
TEST_CASE("a heartbeat with a long or unprintable text names no server") {
  const std::string long_text(300, 'a');
  CHECK(!is_accepted(beat(), long_text));
  CHECK(!is_accepted(beat(), "i-1\r\nHost: other"));
  CHECK(!is_accepted(beat(), "i 1"));
  CHECK(!is_accepted(beat(), "i-\xff\xfe"));
  CHECK(!is_accepted_with("/info/service", long_text));
  CHECK(!is_accepted_with("/info/service", "a\nb"));
  CHECK(!is_accepted_with("/info/zone", long_text));
  CHECK(!is_accepted_with("/info/zone", 5));
  CHECK(!is_accepted_with("/unknown", std::string(1U << 20U, 'a')));
  CHECK(is_accepted_with("/unknown", long_text));
}

// Guards against a log line as long as the heartbeat that it is about.
TEST_CASE("the reason of a refused heartbeat is short") {
  auto b = beat();
  b["status"]["state"] = std::string(10'000, 's');
  const auto refused = parse_heartbeat("i-1", b.dump());
  REQUIRE(!refused);
  CHECK(refused.error().size() < 200);
}

// Guards against a start or sequence after which every heartbeat of the server itself is an old
// one.
TEST_CASE("a heartbeat with a start or sequence that no server reaches names no server") {
  for (const auto* number : {"18446744073709551615", "9223372036854775808", "9007199254740993",
                             "18446744073709551616", "1e400", "1e30", "-1", "1.5", "null", "NaN"}) {
    CAPTURE(number);
    CHECK(!parse_heartbeat("i-1", text_with("1700000000000", number)));
    CHECK(!parse_heartbeat("i-1", text_with("\"seq\":4", std::string("\"seq\":") + number)));
    CHECK(!parse_heartbeat("i-1", text_with("\"slots\":3", std::string("\"slots\":") + number)));
    CHECK(!born_in_farewell(std::string("{\"born\":") + number + "}"));
  }
  CHECK(!is_accepted_with("/born", 5'000'000'000'000U));
  CHECK(!is_accepted_with("/info/slots", 1'000'000'000'000'000'000U));
}

// Guards against a stack overflow and against an exception that leaves the handler.
TEST_CASE("a heartbeat that can't be read or is deeply nested names no server") {
  const auto deep = nested(100'000);
  CHECK(!parse_heartbeat("i-1", deep));
  CHECK(!parse_heartbeat("i-1", text_with("\"v1\"", deep)));
  CHECK(!parse_heartbeat("i-1", text_with("\"10.128.0.9:8080\"", deep)));
  CHECK(!parse_heartbeat("i-1", std::string(100'000, '[')));
  CHECK(!parse_heartbeat("i-1", text_with("fitting", "fit\xff")));
  CHECK(!born_in_farewell(deep));
  for (const auto* part : {"/address", "/info", "/status", "/info/service", "/status/state"}) {
    for (const auto& value : {json(), json(true), json(7), json::array(), json::object()}) {
      CHECK(!is_accepted_with(part, value));
    }
  }
}

// Guards against a deregistration of another writer that ends the use of a server.
TEST_CASE("a deregistration whose body can't be read is of no server") {
  CHECK(is_farewell(""));
  CHECK(is_farewell("{}"));
  CHECK(is_farewell(R"({"born":1700000000000})"));
  for (const auto* odd :
       {"[]", "null", "7", "{", "\xff", R"({"born":"5"})", R"({"born":1e400})", R"({"born":-1})",
        R"({"born":1.5})", R"({"born":null})", R"({"born":18446744073709551615})"}) {
    CAPTURE(odd);
    CHECK(!is_farewell(odd));
  }
  CHECK(!is_farewell(nested(100'000)));
}
