#include <doctest/doctest.h>

#include <string>

#include "kingcupshunt/base/compression.h"
#include "kingcupshunt/base/hash.h"

using namespace kingcupshunt;

TEST_CASE("what was compressed is decompressed") {
  for (const auto& content : {std::string(), std::string("a"), std::string(3'000'000, 'x'),
                              base::random_bytes(100'000)}) {
    const auto compressed = base::compress(content);
    CHECK(base::decompress(compressed, content.size()) == content);
  }
  CHECK(base::compress(std::string(3'000'000, 'x')).size() < 100'000);
}

// Guards against a sender whose few bytes become more than was stated.
TEST_CASE("a content of another size than stated is refused") {
  const auto compressed = base::compress(std::string(1'000'000, 'x'));
  CHECK(!base::decompress(compressed, 999'999));
  CHECK(!base::decompress(compressed, 1'000'001));
  CHECK(!base::decompress(compressed.substr(0, compressed.size() - 1), 1'000'000));
  CHECK(!base::decompress(compressed + "x", 1'000'000));
  CHECK(!base::decompress("", 10));
}
