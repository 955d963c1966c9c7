#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "kingcupshunt/config/snapshot.h"

using namespace kingcupshunt;

namespace {

const std::string digest_a(64, 'a');
const std::string digest_b(64, 'b');

config::files base_files() {
  return {{"10-base.json", R"({
    // comments are allowed
    "services": {"fitting": {"secret_sha256": ")" +
                               digest_a + R"(", "floor": 0.6}},
    "routes": {"fit": {"service": "fitting", "prefix": "/fit"},
               "hold": {"service": "fitting", "prefix": "/fit/hold", "methods": ["POST"],
                        "is_repeatable": false}},
    "workspaces": {"optician-1": {"rate": 5}},
    "keys": {"k1": {"workspace": "optician-1", "sha256": ")" +
                               digest_b + R"("}}
  })"}};
}

config::error error_of(const config::files& all) {
  auto parsed = config::parse(all);
  REQUIRE(!parsed);
  return parsed.error();
}

} // namespace

TEST_CASE("a later file changes only what it states and null removes a member") {
  auto all = base_files();
  all["20-change.json"] =
      R"({"workspaces": {"optician-1": {"burst": 7}}, "routes": {"hold": null}})";
  auto parsed = config::parse(all);
  REQUIRE(parsed);
  const auto ws = parsed.value().find_workspace("optician-1");
  CHECK(ws->rate == 5);
  CHECK(ws->burst == 7);
  CHECK(parsed.value().routes().size() == 1);
}

TEST_CASE("the longest prefix by whole segments and the method choose the route") {
  auto parsed = config::parse(base_files());
  REQUIRE(parsed);
  const auto& s = parsed.value();
  CHECK(s.find_route("h", "POST", "/fit/hold/7")->name == "hold");
  CHECK(s.find_route("h", "GET", "/fit/hold/7")->name == "fit");
  CHECK(s.find_route("h", "GET", "/fit")->name == "fit");
  CHECK(s.find_route("h", "GET", "/fitting") == nullptr);
}

// Guards against a request that is run by the service of a route which doesn't allow it.
TEST_CASE("a prefix that ends with a slash matches only paths that begin with it") {
  auto all = base_files();
  all["20-order.json"] = R"({
    "services": {"orders": {"secret_sha256": ")" +
                         digest_a + R"("}},
    "routes": {"order": {"service": "orders", "prefix": "/order/", "host": "h"}}})";
  auto parsed = config::parse(all);
  REQUIRE(parsed);
  CHECK(parsed.value().find_route("h", "POST", "/order/7")->name == "order");
  CHECK(parsed.value().find_route("h", "POST", "/order/")->name == "order");
  CHECK(parsed.value().find_route("h", "POST", "/order") == nullptr);
  all["30-rest.json"] = R"({"routes": {"rest": {"service": "fitting", "prefix": "/"}}})";
  parsed = config::parse(all);
  REQUIRE(parsed);
  CHECK(parsed.value().find_route("h", "POST", "/order")->name == "rest");
  CHECK(parsed.value().find_route("h", "POST", "/order/")->name == "order");
}

TEST_CASE("an error names file, pointer and what is allowed") {
  auto all = base_files();
  all["20-bad.json"] = R"({"services": {"fitting": {"floor": 1.5}}})";
  auto e = error_of(all);
  CHECK(e.code == config::error_code::out_of_range);
  CHECK(e.file == "20-bad.json");
  CHECK(e.pointer == "/services/fitting/floor");

  all["20-bad.json"] = "{\n  \"services\": }";
  e = error_of(all);
  CHECK(e.code == config::error_code::not_json);
  CHECK(e.detail.find("line 2") != std::string::npos);

  all["20-bad.json"] = R"({"routes": {"fit": {"colour": 1}}})";
  CHECK(error_of(all).code == config::error_code::unknown_member);
  all["20-bad.json"] = R"({"routes": {"fit": {"service": "none"}}})";
  CHECK(error_of(all).code == config::error_code::unknown_reference);
  all["20-bad.json"] = R"({"routes": {"fit2": {"service": "fitting", "prefix": "/fit/"}}})";
  CHECK(error_of(all).code == config::error_code::duplicate);
}

TEST_CASE("a key put in place of its hash is not repeated in the error") {
  auto all = base_files();
  all["20-bad.json"] = R"({"keys": {"k1": {"sha256": "kcs_secret"}}})";
  CHECK(config::describe(error_of(all)).find("kcs_secret") == std::string::npos);
}

TEST_CASE("a delta brings an older snapshot to the newer document") {
  auto all = base_files();
  const auto before = config::merge(all).value();
  auto held = config::parse(all).value();
  all["20.json"] = R"({"keys": {"k1": {"is_withdrawn": true}}, "routes": {"hold": null}})";
  const auto delta = config::make_delta(before, config::merge(all).value());
  CHECK(delta.size() == 2);
  REQUIRE(held.apply(delta));
  base::sha256_digest digest{};
  REQUIRE(base::parse_hex(digest_b, digest));
  CHECK(held.find_key(digest)->is_withdrawn);
  CHECK(held.find_route("", "POST", "/fit/hold")->name == "fit");
}

TEST_CASE("a delta with an error changes nothing") {
  auto held = config::parse(base_files()).value();
  const auto delta = nlohmann::json::parse(
      R"({"routes": {"fit": null}, "workspaces": {"optician-1": {"rate": -1}}})");
  CHECK(!held.apply(delta));
  CHECK(held.find_route("", "GET", "/fit") != nullptr);
}

TEST_CASE("the document of a snapshot gives an equal snapshot, so images lose nothing") {
  auto all = base_files();
  all["20.json"] = R"({"routes": {"fit": {"class": "deferrable", "is_hedged": true, "host": "h"}},
                       "workspaces": {"optician-1": {"weight": 2.5}}})";
  const auto before = config::parse(all).value();
  config::snapshot after;
  REQUIRE(after.apply(config::to_document(before)));
  CHECK(config::to_document(after) == config::to_document(before));
  CHECK(after.find_route("h", "GET", "/fit")->priority == config::request_class::deferrable);
  CHECK(after.find_workspace("optician-1")->weight == 2.5);
}

TEST_CASE("numbers, names and nesting that break a JSON library are refused") {
  auto all = base_files();
  all["20.json"] = R"({"workspaces": {"optician-1": {"rate": 1e999}}})";
  CHECK(error_of(all).code == config::error_code::out_of_range);
  all["20.json"] = R"({"a~b": {}})";
  CHECK(error_of(all).code == config::error_code::unknown_member);
  all["20.json"] = R"({"routes": {"a~/b": {"service": "fitting", "prefix": "/x"}}})";
  CHECK(error_of(all).code == config::error_code::out_of_range);
  std::string deep = R"({"a": )";
  for (int i = 0; i < 100'000; ++i) {
    deep += R"({"a": )";
  }
  all["20.json"] = deep;
  CHECK(!config::parse(all));
}

// A kind that is read as another one would let a request run twice.
TEST_CASE("the kind of a route is read from one member or from the two older ones") {
  using config::request_kind;
  const auto kind_of = [](const std::string& members) {
    auto all = base_files();
    all["20-kind.json"] = R"({"routes": {"fit": {)" + members + "}}}";
    auto parsed = config::parse(all);
    REQUIRE(parsed);
    return parsed.value().find_route("h", "GET", "/fit")->kind;
  };
  CHECK(kind_of(R"("kind": "repeatable")") == request_kind::repeatable);
  CHECK(kind_of(R"("kind": "download")") == request_kind::download);
  CHECK(kind_of(R"("kind": "once")") == request_kind::once);
  CHECK(kind_of(R"("kind": "upload")") == request_kind::upload);
  CHECK(kind_of(R"("kind": "keyed_once")") == request_kind::keyed_once);
  CHECK(kind_of("") == request_kind::repeatable);
  CHECK(kind_of(R"("is_repeatable": false)") == request_kind::keyed_once);
  CHECK(kind_of(R"("is_repeatable": false, "needs_idempotency_key": false)") == request_kind::once);
  CHECK(kind_of(R"("kind": "once", "is_repeatable": false)") == request_kind::once);
}

TEST_CASE("an unknown kind and contradictory members are refused with the pointer of the route") {
  for (const char* members :
       {R"("kind": "safe")", R"("kind": "")", R"("kind": 3)",
        R"("kind": "once", "is_repeatable": true)", R"("kind": "upload", "is_repeatable": true)",
        R"("kind": "download", "is_repeatable": false)",
        R"("kind": "keyed_once", "needs_idempotency_key": false)"}) {
    CAPTURE(members);
    auto all = base_files();
    all["20-kind.json"] = std::string(R"({"routes": {"fit": {)") + members + "}}}";
    CHECK(error_of(all).pointer == "/routes/fit/kind");
  }
}

// Builds without downloads refuse a configuration with a member that they do not know.
TEST_CASE("a printed document states a kind only where the older members can't") {
  auto all = base_files();
  all["20-kind.json"] =
      R"({"routes": {"fit": {"kind": "download"}, "hold": {"is_repeatable": null, "kind": "once"}}})";
  auto parsed = config::parse(all);
  REQUIRE(parsed);
  const auto document = config::to_document(parsed.value());
  CHECK(document["routes"]["fit"]["kind"] == "download");
  CHECK(!document["routes"]["fit"].contains("is_repeatable"));
  CHECK(!document["routes"]["hold"].contains("kind"));
  CHECK(document["routes"]["hold"]["is_repeatable"] == false);
  CHECK(document["routes"]["hold"]["needs_idempotency_key"] == false);
}
