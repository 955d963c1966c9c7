#include <doctest/doctest.h>

#include "kingcupshunt/auth/key.h"

using namespace kingcupshunt;

TEST_CASE("a generated key matches its hash and differs from the next") {
  const auto a = auth::generate_key();
  const auto b = auth::generate_key();
  CHECK(a.text != b.text);
  CHECK(a.text.size() == 68);
  CHECK(base::sha256(a.text) == a.sha256);
}

TEST_CASE("only a bearer token of one word is taken as a key") {
  CHECK(auth::bearer_token("Bearer abc") == "abc");
  CHECK(auth::bearer_token("bearer  abc") == "abc");
  CHECK(auth::bearer_token("Basic abc").empty());
  CHECK(auth::bearer_token("Bearer a b").empty());
  CHECK(auth::bearer_token("Bearer").empty());
  CHECK(auth::bearer_token("Bearerabc").empty());
}
