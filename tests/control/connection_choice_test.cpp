#include <doctest/doctest.h>

#include <algorithm>

#include "kingcupshunt/control/connection_choice.h"

using namespace kingcupshunt;
using control::choose_connections_to_close;
using control::waiting_connection;

namespace {

waiting_connection at(std::string_view address, int ms) {
  return {address, base::time_point(base::milliseconds(ms))};
}

} // namespace

// Guards against a client with many connections that drives out the few of others.
TEST_CASE("the connections of the address with the most are closed first, the oldest of them") {
  const std::vector<waiting_connection> all = {at("a", 5), at("b", 1), at("b", 2),
                                               at("b", 3), at("c", 0), at("c", 9)};
  CHECK(choose_connections_to_close(all, 1) == std::vector<std::size_t>{1});
  auto three = choose_connections_to_close(all, 3);
  std::ranges::sort(three);
  CHECK(three == std::vector<std::size_t>{1, 2, 4});
}

TEST_CASE("among addresses with one connection each, the one that has waited the longest goes") {
  const std::vector<waiting_connection> all = {at("a", 5), at("b", 1), at("c", 3)};
  CHECK(choose_connections_to_close(all, 2) == std::vector<std::size_t>{1, 2});
  CHECK(choose_connections_to_close(all, 9).size() == 3);
  CHECK(choose_connections_to_close({}, 1).empty());
}
