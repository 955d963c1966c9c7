#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "config_wire.h"
#include "kingcupshunt/config/snapshot.h"
#include "settings.h"

using namespace kingcupshunt;
using namespace kingcupshunt::platform;
using nlohmann::json;

namespace {

json configuration(const json& spec) {
  return {
      {"version", "r7"},
      {"resources", {{{"type", "services"}, {"metadata", {{"name", "fitting"}}}, {"spec", spec}}}}};
}

json settings_with(const json& bounds) {
  return {{"ip", "10.1.0.5"},           {"zone", "a"},
          {"region", "east"},           {"internal_port_range", {7660, 7675}},
          {"seeds", {"10.3.0.8:8407"}}, {"bounds", bounds}};
}

std::shared_ptr<const config::service> service_of(const json& spec) {
  const auto translated = translate_document(configuration(spec).dump());
  REQUIRE(translated);
  const auto merged = config::to_json(translated.value());
  config::snapshot s;
  REQUIRE(s.apply(merged));
  return s.find_service("fitting");
}

} // namespace

// Guards against terms for cold servers that are read but not passed on.
TEST_CASE("the terms of a service for cold servers are translated") {
  const auto s = service_of({{"warmup_s", 3.0}, {"cold_per_s", 4.7}});
  CHECK(s->warmup == base::milliseconds(3000));
  CHECK(s->cold_rate == 4.7);
  CHECK(service_of({{"cold_per_s", 1e300}, {"warmup_s", 1e300}})->cold_rate ==
        config::max_cold_rate);
}

// Guards against a document that builds before these terms refuse although it needs none of them.
TEST_CASE("a service without a rate for cold servers gives the document of before") {
  for (const auto& spec :
       {json::object(), json{{"cold_per_s", 0}, {"warmup_s", 0}}, json{{"cold_per_s", nullptr}}}) {
    CHECK(service_of(spec)->cold_rate == 0);
    const auto merged = config::to_json(translate_document(configuration(spec).dump()).value());
    CHECK(!merged["services"]["fitting"].contains("cold_rate"));
    CHECK(!merged["services"]["fitting"].contains("warmup_ms"));
  }
  CHECK(!parse_document(configuration({{"cold_per_s", -1}}).dump()));
  CHECK(!parse_document(configuration({{"warmup_s", "3"}}).dump()));
}

TEST_CASE("the bound on requests to cold servers is read from the settings") {
  const auto usual = parse_settings(settings_with(json::object()).dump());
  REQUIRE(usual);
  CHECK(usual.value().bounds.cold.over == 1.5);
  CHECK(usual.value().bounds.cold.slack == 8);
  const auto s = parse_settings(settings_with({{"cold_over", 1.2}, {"cold_slack", 3}}).dump());
  REQUIRE(s);
  CHECK(s.value().bounds.cold.requests_per_second(10) == 15);
  CHECK(!parse_settings(settings_with({{"cold_over", -1}}).dump()));
}
