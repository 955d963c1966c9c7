#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "kingcupshunt/peer/frame.h"
#include "kingcupshunt/peer/handshake.h"

using namespace kingcupshunt::peer;

namespace {

const kingcupshunt::base::sha256_digest key{1, 2, 3};
const kingcupshunt::base::sha256_digest other_key{3, 2, 1};

} // namespace

// Guards against frames that are split differently from how they were sent.
TEST_CASE("packets survive any division of the byte stream") {
  CHECK(rc::check([](const std::vector<std::string>& contents, const std::vector<int>& cuts) {
    std::string stream;
    for (const auto& content : contents) {
      stream += make_packet(content);
    }
    packet_reader reader;
    std::vector<std::string> seen;
    std::size_t at = 0;
    std::size_t cut = 0;
    while (at < stream.size()) {
      const auto n =
          cuts.empty() ? 3 : 1 + static_cast<std::size_t>(std::abs(cuts[cut++ % cuts.size()] % 9));
      reader.feed(std::string_view(stream).substr(at, n));
      at += n;
      for (auto next = reader.next(); next.value(); next = reader.next()) {
        seen.emplace_back(*next.value());
      }
    }
    RC_ASSERT(seen == contents);
    RC_ASSERT(reader.finish().has_value());
  }));
}

// Guards against memory spent on a length that no frame may have.
TEST_CASE("a frame beyond the limit and one cut short are told apart") {
  packet_reader reader(100);
  reader.feed(make_packet(std::string(101, 'x')).substr(0, 4));
  CHECK(reader.next().error() == frame_error::too_large);

  packet_reader cut(100);
  cut.feed(make_packet("abc").substr(0, 5));
  CHECK_FALSE(cut.next().value().has_value());
  CHECK(cut.finish().error() == frame_error::truncated);
}

// Guards against misreading frames of versions that this instance does not know.
TEST_CASE("a frame keeps its members and an unknown version is refused") {
  const auto content = encode_frame(3, message_kind::rate_ask, std::string("a\0b", 3));
  const auto decoded = decode_frame(content, {1, 3});
  REQUIRE(decoded);
  CHECK(decoded.value().version == 3);
  CHECK(decoded.value().kind == message_kind::rate_ask);
  CHECK(decoded.value().body == std::string("a\0b", 3));
  CHECK(decode_frame(content, {1, 2}).error() == frame_error::unknown_version);
  CHECK(decode_frame(content, {4, 9}).error() == frame_error::unknown_version);
  for (const auto* bad : {"", "\xc1", "\x93\x01\x02", "\x80", "\x93\x01\x02\x03"}) {
    CHECK(decode_frame(bad, {0, 255}).error() == frame_error::malformed);
  }
}

// Guards against crashes on input from the network.
TEST_CASE("arbitrary bytes never decode to a crash") {
  CHECK(rc::check([](const std::string& bytes) {
    (void)decode_frame(bytes, {1, 1});
    (void)frame_opener(key).open(bytes);
  }));
}

// Guards against forged, replayed, dropped and reordered frames.
TEST_CASE("an opener accepts each sealed frame once and in order") {
  frame_sealer sealer(key);
  const auto first = sealer.seal("first").substr(length_bytes);
  const auto second = sealer.seal("second").substr(length_bytes);

  frame_opener opener(key);
  CHECK(opener.open(first).value() == "first");
  CHECK(opener.open(second).value() == "second");
  CHECK(opener.open(second).error() == frame_error::unauthenticated);

  CHECK(frame_opener(key).open(second).error() == frame_error::unauthenticated);
  CHECK(frame_opener(other_key).open(first).error() == frame_error::unauthenticated);
  auto changed = first;
  changed[0] = 'F';
  CHECK(frame_opener(key).open(changed).error() == frame_error::unauthenticated);
  CHECK(frame_opener(key).open("short").error() == frame_error::malformed);
}

// Guards against 137 GB that a stranger's five bytes made the parser ask for.
TEST_CASE("a count that the input cannot hold is refused before memory is allocated") {
  for (const auto* header : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff"}) {
    const std::string bytes(header, 5);
    CHECK(decode_frame(bytes, {1, 1}).error() == frame_error::malformed);
    CHECK_FALSE(unpack<hello_message>(bytes).has_value());
  }
  CHECK(decode_frame(std::string(4000, '\x91'), {1, 1}).error() == frame_error::malformed);
}
