#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "kingcupshunt/base/hash.h"
#include "kingcupshunt/base/result.h"
#include "kingcupshunt/peer/message.h"

namespace kingcupshunt::peer {

enum class frame_error : std::uint8_t {
  too_large,       ///< the length exceeds the limit
  truncated,       ///< the connection ended within a frame
  malformed,       ///< not [version, kind, body], or shorter than its HMAC
  unknown_version, ///< a version outside the supported range
  unauthenticated, ///< wrong HMAC: forged, replayed or out of order
};

/// Short fixed text for `error`.
const char* message_of(frame_error error) noexcept;

template <class T>
using frame_result = base::result<T, frame_error>;

/// Range of frame versions that an instance can read and write.
struct version_range {
  std::uint8_t least = 1;
  std::uint8_t greatest = 1;
};

struct frame {
  std::uint8_t version = 1;
  message_kind kind{};
  std::string body;
};

inline constexpr std::size_t length_bytes = 4;
inline constexpr std::size_t frame_mac_bytes = 16;

/// Greatest content of a packet: a body, its envelope and the HMAC.
inline constexpr std::size_t max_packet_bytes = max_body_bytes + 256;

/// msgpack form [version, kind, body].
std::string encode_frame(std::uint8_t version, message_kind kind, std::string_view body);

/// Parses [version, kind, body]. Further elements from a newer sender are skipped.
frame_result<frame> decode_frame(std::string_view content, version_range supported);

/// `content` with its 4-byte big-endian length in front.
std::string make_packet(std::string_view content);

/// Splits a byte stream into packets.
class packet_reader {
public:
  explicit packet_reader(std::size_t limit = max_packet_bytes) : limit_(limit) {}

  /// Changes the greatest accepted content of a packet in bytes.
  void set_limit(std::size_t limit) noexcept { limit_ = limit; }

  void feed(std::string_view bytes);

  /// Content of the next whole packet, empty when more bytes are needed. The view is valid until
  /// the next call of feed.
  frame_result<std::optional<std::string_view>> next();

  /// The stream has ended. Fails with `truncated` inside a packet.
  frame_result<void> finish() const;

  /// Bytes of memory that the packets not taken yet occupy.
  std::size_t memory_bytes() const noexcept { return buf_.capacity(); }

private:
  std::size_t limit_;
  std::string buf_;
  std::size_t offset_ = 0;
};

/// Appends to each content an HMAC over a counter and the content.
class frame_sealer {
public:
  explicit frame_sealer(const base::sha256_digest& key);

  /// Whole packet for `content`, ready to be written.
  std::string seal(std::string_view content);

private:
  std::string key_;
  std::uint64_t counter_ = 0;
};

/// Verifies what a frame_sealer with the same key produced, each packet once and in order.
class frame_opener {
public:
  explicit frame_opener(const base::sha256_digest& key);

  /// The content without its HMAC. After an error the connection is of no further use.
  frame_result<std::string_view> open(std::string_view packet_content);

private:
  std::string key_;
  std::uint64_t counter_ = 0;
};

} // namespace kingcupshunt::peer
