#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int requests = 600;

const std::vector<std::string> first_lines = {
    "GET / HTTP/1.1",   "GET /a",           "GET  / HTTP/1.1",   "GET / HTTP/1.2",
    "G@T / HTTP/1.1",   "GET a HTTP/1.1",   " GET / HTTP/1.1",   "POST /../a HTTP/1.1",
    "GET / HTTP/1.1 x", "\x16\x03\x01\x02", "GET /%zz HTTP/1.1", "POST /a HTTP/1.1",
};
const std::vector<std::string> header_lines = {
    "Host: shop",
    "Host: shop",
    "Content-Length: 5",
    "Content-Length: x",
    "Content-Length: 99999999999999999999999",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: xchunked, chunked",
    "X:\x01",
    ": empty",
    "no colon",
    " folded",
    "Connection: close",
    "Upgrade: h2c",
    "Expect: 200-ok",
    "X y: 1",
    "Authorization: Bearer a",
    "Authorization: Bearer b",
    std::string("N: \0", 4),
    "Trailer: Host",
};
const std::vector<std::string> bodies = {
    "",
    "hello",
    "5\r\nhello\r\n0\r\n\r\n",
    "-1\r\n",
    "fffffffffffffffff\r\nx",
    "0\r\nX\x01: 1\r\n\r\n",
    "5\r\nhelloXX0\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
};

template <class T>
const T& choose(base::rng& rng, const std::vector<T>& all) {
  return all[rng.below(all.size())];
}

/// Returns a malformed request: its last header line always contains a control character.
std::string malformed(base::rng& rng) {
  std::string out = choose(rng, first_lines) + "\r\n";
  const auto lines = rng.below(6);
  for (std::uint64_t i = 0; i < lines; ++i) {
    out += choose(rng, header_lines) + (rng.below(20) == 0 ? "\n" : "\r\n");
  }
  out += "X-Bad: \x02\r\n\r\n" + choose(rng, bodies);
  const auto flips = rng.below(4);
  for (std::uint64_t i = 0; i < flips; ++i) {
    const auto at = rng.below(out.size());
    if (out[at] != '\x02') {
      out[at] = static_cast<char>(rng.below(256));
    }
  }
  return out;
}

} // namespace

TEST_CASE("malformed requests are refused or closed and the server continues to serve") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) { s.head_timeout = base::milliseconds(50); });
  f.start();
  base::rng rng(seed);
  int refused = 0;
  for (int i = 0; i < requests; ++i) {
    test_connection c(f.port());
    const auto request = malformed(rng);
    c.send(request);
    c.finish_sending();
    const auto a = c.read_answer();
    CAPTURE(i);
    CHECK((a.status == 0 || a.status >= 400));
    refused += a.status >= 400 ? 1 : 0;
  }
  CHECK(refused > requests / 2);
  CHECK(b.requests() == 0);
  CHECK(f.get().status == 200);
}

// A row that begins with valid requests must not hide what follows from the checks of a head.
TEST_CASE(
    "malformed requests behind valid ones are refused or closed and nothing behind them runs") {
  backend b(always(ok_answer()));
  fixture f({b.id()}, [](entry_settings& s) { s.head_timeout = base::milliseconds(50); });
  f.start();
  const std::string valid = "GET /a HTTP/1.1\r\nHost: shop\r\n" + authorization() + "\r\n";
  base::rng rng(seed);
  for (int i = 0; i < requests; ++i) {
    CAPTURE(i);
    test_connection c(f.port());
    const int before = 1 + i % 2;
    const auto served = b.requests();
    c.send((before == 2 ? valid + valid : valid) + malformed(rng));
    for (int n = 0; n < before; ++n) {
      CHECK(c.read_answer().status == 200);
    }
    const auto a = c.read_answer();
    CHECK((a.status == 0 || a.status >= 400));
    CHECK(c.is_closed_by_peer());
    CHECK(b.requests() == served + before);
  }
}

TEST_CASE("malformed chunks never reach a backend server as a complete body") {
  backend b([](backend& self, test_connection& c, int) {
    // Reads to the end of a chunked body; the request would be answered if the entry ended the body
    // despite the error.
    if (self.read_request(c)) {
      c.send(ok_answer());
    }
  });
  fixture f({b.id()});
  f.start();
  base::rng rng(seed);
  for (int i = 0; i < 100; ++i) {
    std::string body = "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n";
    body.resize(rng.below(body.size() - 5)); // truncated before the last chunk
    body += choose(rng, std::vector<std::string>{"zz\r\n", "\x01", "-5\r\n", "5 5\r\n"});
    test_connection c(f.port());
    c.send("POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    c.finish_sending();
    const auto a = c.read_answer();
    CAPTURE(body);
    CHECK((a.status == 0 || a.status >= 400));
  }
  CHECK(b.requests() == 0);
}
