#include "harness.h"

#include <doctest/doctest.h>

#include "kingcupshunt/base/rng.h"

using namespace kingcupshunt;
using namespace kingcupshunt::proxy;
using namespace kingcupshunt::proxy::testing;

namespace {

constexpr std::uint64_t seed = 20261205;
constexpr int sequences = 150;

/// Answers with the request line and the body, so that a request that was framed wrongly shows.
void echo(backend& self, test_connection& c, int) {
  for (std::string head; (head = c.read_head()).ends_with("\r\n\r\n");) {
    std::string body;
    if (const auto at = head.find("Content-Length: "); at != std::string::npos) {
      body = c.read_exactly(std::stoul(head.substr(at + 16)));
    } else if (head.find("Transfer-Encoding: ") != std::string::npos) {
      while (!body.ends_with("0\r\n\r\n")) {
        const auto more = c.read_exactly(1);
        if (more.empty()) {
          return;
        }
        body += more;
      }
    }
    self.note(head);
    c.send(ok_answer(head.substr(0, head.find('\r')) + "|" + body));
  }
}

std::string valid_request(base::rng& rng, int number) {
  const auto path = "/p" + std::to_string(number);
  const std::string head = " " + path + " HTTP/1.1\r\nHost: shop\r\n" + authorization();
  switch (rng.below(5)) {
  case 0:
    return "POST" + head + "Content-Length: 24\r\n\r\nGET /smuggled HTTP/1.1\r\n";
  case 1:
    return "PUT" + head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  case 2:
    return "GET" + head + "Connection: close\r\n\r\n";
  default:
    return "GET" + head + "\r\n";
  }
}

std::string invalid_request(base::rng& rng) {
  const std::vector<std::string> all = {
      "GET /bad HTTP/1.1\r\nHost: shop\r\nX: \x02\r\n\r\n",
      "GET /bad HTTP/1.1\r\nHost: shop\r\nHost: other\r\n\r\n",
      "POST /bad HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      "POST /bad HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "POST /bad HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET /bad HTTP/1.1\nHost: shop\n\r\n\r\n",
      "GET /bad HTTP/1.0\r\nHost: shop\r\n\r\n",
      "GET /bad/../x HTTP/1.1\r\nHost: shop\r\n\r\n",
      "GET /bad HTTP/1.1\r\nHost: shop\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
  };
  return all[rng.below(all.size())];
}

struct outcome {
  int status = 0;
  std::string body;
  bool is_closing = false;
};

outcome read_outcome(test_connection& c) {
  const auto a = c.read_answer();
  // The body of a refusal names the id that the entry gave the request.
  return {a.status, a.status == 200 ? a.body : a.field("x-kingcupshunt-reason"),
          a.field("connection") == "close" || a.status == 0};
}

void send_in_pieces(test_connection& c, const std::string& bytes, base::rng& rng) {
  for (std::size_t at = 0; at < bytes.size();) {
    const auto n = std::min<std::size_t>(1 + rng.below(200), bytes.size() - at);
    c.send(std::string_view(bytes).substr(at, n));
    at += n;
  }
}

} // namespace

TEST_CASE("a row of requests has the outcomes that each has on a connection of its own") {
  backend b(echo);
  fixture f({b.id()}, [](entry_settings& s) { s.connections_per_upstream = 64; });
  f.decisions.authorize = [&f](const request_head& head) -> decided<authorized_request> {
    auto route = f.route;
    route.kind =
        head.method == "GET" ? config::request_kind::repeatable : config::request_kind::once;
    return authorized_request{
        std::make_shared<config::service>(f.service), std::make_shared<config::route>(route),
        std::make_shared<config::workspace>(f.workspace), head.arrival_time + f.service.timeout};
  };
  f.start();
  base::rng rng(seed);
  for (int i = 0; i < sequences; ++i) {
    CAPTURE(i);
    std::vector<std::string> row;
    const auto length = 1 + rng.below(6);
    for (std::uint64_t n = 0; n < length; ++n) {
      row.push_back(rng.below(5) == 0 ? invalid_request(rng)
                                      : valid_request(rng, i * 10 + static_cast<int>(n)));
    }
    std::vector<outcome> expected;
    for (const auto& request : row) {
      test_connection alone(f.port());
      alone.send(request);
      expected.push_back(read_outcome(alone));
      if (expected.back().is_closing) {
        break;
      }
    }
    test_connection c(f.port());
    std::string all;
    for (const auto& request : row) {
      all += request;
    }
    send_in_pieces(c, all, rng);
    for (const auto& one : expected) {
      const auto got = read_outcome(c);
      CHECK(got.status == one.status);
      CHECK(got.body == one.body);
      CHECK(got.is_closing == one.is_closing);
    }
    if (expected.back().is_closing) {
      CHECK(c.is_closed_by_peer());
    }
  }
  CHECK(b.received().find("/bad") == std::string::npos);
  CHECK(b.received().find("/smuggled") == std::string::npos);
}
