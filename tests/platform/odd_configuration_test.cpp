#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "config_wire.h"

using namespace kingcupshunt;
using namespace kingcupshunt::platform;
using nlohmann::json;

namespace {

json configuration() {
  return {{"version", "r7"},
          {"resources",
           {{{"type", "routes"},
             {"metadata", {{"name", "r-1"}}},
             {"spec",
              {{"host", "shop.example"},
               {"path_prefix", "/"},
               {"kind", "safe"},
               {"timeout_s", 2.5},
               {"service", "fitting"}}}},
            {{"type", "services"},
             {"metadata", {{"name", "fitting"}}},
             {"spec", {{"health_path", "/health"}}}},
            {{"type", "tenants"},
             {"metadata", {{"name", "t1"}}},
             {"spec", {{"api_keys", {"key-one"}}, {"rate_per_s", 52}}}},
            {{"type", "limits"}, {"metadata", json::object()}, {"spec", json::object()}}}}};
}

bool is_valid_with(std::size_t resource, const char* name, const json& value) {
  auto all = configuration();
  all["resources"][resource]["spec"][name] = value;
  return parse_document(all.dump()).has_value();
}

} // namespace

// Guards against a number that becomes another one when it is converted, such as a time of 1e300 s
// that becomes 0.
TEST_CASE("a configuration with a number beyond every bound is refused") {
  REQUIRE(parse_document(configuration().dump()));
  for (const double number : {1e12, 1e17, 1e19, 1e300, 4294967297.0, 18446744073709551616.0}) {
    CAPTURE(number);
    for (const auto* name : {"timeout_s", "priority", "max_attempts"}) {
      CHECK(!is_valid_with(0, name, number));
    }
    CHECK(!is_valid_with(1, "max_connections", number));
    CHECK(!is_valid_with(2, "priority", number));
    CHECK(!is_valid_with(3, "header_timeout_s", number));
    CHECK(!is_valid_with(3, "idle_timeout_s", number));
  }
  CHECK(!is_valid_with(3, "max_body_bytes", 1e19));
  CHECK(!is_valid_with(3, "max_header_bytes", 1e300));
}

// Guards against a stack overflow.
TEST_CASE("a deeply nested member of a configuration does no harm") {
  const auto text = configuration().dump();
  const auto deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string part :
       {"\"/health\"", "\"fitting\"", "\"key-one\"", "52", "2.5", "\"r7\""}) {
    auto odd = text;
    odd.replace(odd.find(part), part.size(), deep);
    CHECK(!parse_document(odd));
    if (part != "\"r7\"") { // a document is translated for its content
      CHECK(!translate_document(odd));
    }
  }
  CHECK(!parse_document(deep));
}
