#include <doctest/doctest.h>

#include "kingcupshunt/proxy/header_rewrite.h"

using namespace kingcupshunt::proxy;
namespace http = boost::beast::http;

namespace {

const std::string key = "kc_0123456789abcdef";

request_header head_with(const char* name, const std::string& value) {
  request_header h;
  h.version(11);
  h.method(http::verb::get);
  h.target("/a");
  h.set(http::field::host, "shop");
  h.set(name, value);
  return h;
}

std::string forwarded(const request_header& h, const body_framing& framing = {}) {
  return upstream_head(h, key, "optician", "id-1", framing);
}

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("no header sent to an upstream contains the key") {
  CHECK(!has(forwarded(head_with("Authorization", "Bearer " + key)), key));
  CHECK(!has(forwarded(head_with("Authorization", "Basic abc")), "abc"));
  CHECK(!has(forwarded(head_with("X-Api-Key", "x" + key + "y")), key));
  CHECK(!has(forwarded(head_with("Cookie", "k=" + key)), key));
  CHECK(!has(forwarded(head_with("X-Encoded", "%6bc_0123456789abcdef")), "0123456789abcdef"));
  CHECK(!has(forwarded(head_with("X-Upper", "KC_0123456789ABCDEF")), "0123456789ABCDEF"));
  CHECK(!has(forwarded(head_with("kc_0123456789abcdef", "1")), key));
  CHECK(!is_usable_request_id(key, key));
}

TEST_CASE("a caller cannot set headers that the entry sets") {
  const auto out = forwarded(head_with("X-Kingcupshunt-Workspace", "rich"));
  CHECK(!has(out, "rich"));
  CHECK(has(out, "X-Kingcupshunt-Workspace: optician\r\n"));
  CHECK(!has(forwarded(head_with("x-kingcupshunt-DEADLINE-ms", "999999")), "999999"));
  CHECK(!has(forwarded(head_with("X-Request-Id", "other")), "other"));
}

TEST_CASE("hop-by-hop fields are not forwarded to the upstream") {
  for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization",
                           "TE", "Trailer", "Upgrade", "Expect"}) {
    CAPTURE(name);
    CHECK(!has(forwarded(head_with(name, "mark")), "mark"));
  }
  auto h = head_with("Connection", "close, X-Hop");
  h.set("X-Hop", "mark");
  h.set("X-End", "kept");
  CHECK(!has(forwarded(h), "mark"));
  CHECK(has(forwarded(h), "X-End: kept\r\n"));
}

TEST_CASE("Connection cannot remove the fields on which the entry's decisions depend") {
  auto h = head_with("Connection", "host, idempotency-key");
  h.set("Idempotency-Key", "order-1");
  CHECK(has(forwarded(h), "Host: shop\r\n"));
  CHECK(has(forwarded(h), "Idempotency-Key: order-1\r\n"));
}

TEST_CASE("framing fields are replaced") {
  auto h = head_with("Content-Length", "999");
  CHECK(has(forwarded(h, {false, 5}), "Content-Length: 5\r\n"));
  CHECK(!has(forwarded(h, {true, {}}), "999"));
  CHECK(has(forwarded(h, {true, {}}), "Transfer-Encoding: chunked\r\n"));
  CHECK(try_fields(-5, "") == "X-Kingcupshunt-Deadline-Ms: 0\r\n\r\n");
}

TEST_CASE("an upstream cannot forge the entry's answer headers") {
  response_header h;
  h.result(200);
  h.reason("OK");
  h.set("X-Kingcupshunt-Ran", "no");
  h.set("Connection", "X-Hop, close");
  h.set("X-Hop", "mark");
  h.set("Keep-Alive", "timeout=5");
  h.set("ETag", "kept");
  const auto out = caller_head(h, {false, 3}, "id-1", false);
  CHECK(!has(out, "Ran"));
  CHECK(!has(out, "mark"));
  CHECK(!has(out, "close"));
  CHECK(!has(out, "timeout"));
  CHECK(has(out, "ETag: kept\r\n"));
  CHECK(has(out, "Content-Length: 3\r\n"));
  CHECK(has(caller_head(h, {}, "id-1", true), "Connection: close\r\n"));
}

TEST_CASE("refusals contain the reason, the ran state and a rounded-up Retry-After") {
  refusal r{429, "rate_exceeded", "wait", ran_state::no, kingcupshunt::base::milliseconds(1001)};
  const auto out = refusal_answer(r, "id-1", false, false);
  CHECK(out.starts_with("HTTP/1.1 429 Too Many Requests\r\n"));
  CHECK(has(out, "X-Kingcupshunt-Reason: rate_exceeded\r\n"));
  CHECK(has(out, "X-Kingcupshunt-Ran: no\r\n"));
  CHECK(has(out, "Retry-After: 2\r\n")); // 1 s would be refused again
  r.retry_after.reset();
  CHECK(!has(refusal_answer(r, "id-1", false, false), "Retry-After"));
  CHECK(refusal_answer(r, "id-1", true, false).ends_with("\r\n\r\n")); // HEAD has no body
}
