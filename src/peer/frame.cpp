#include "kingcupshunt/peer/frame.h"

#include <algorithm>

namespace kingcupshunt::peer {

namespace {

// A reader keeps this much memory for the next packets.
constexpr std::size_t retained_bytes = 64U << 10U;

constexpr std::size_t frame_elements = 3;

std::string big_endian(std::uint64_t value, std::size_t bytes) {
  std::string out(bytes, '\0');
  for (std::size_t i = bytes; i > 0; --i) {
    out[i - 1] = static_cast<char>(value & 0xffU);
    value >>= 8U;
  }
  return out;
}

base::sha256_digest mac_of(std::string_view key, std::uint64_t counter, std::string_view content) {
  auto input = big_endian(counter, 8);
  input += content;
  return base::hmac_sha256(key, input);
}

std::string key_string(const base::sha256_digest& key) {
  return std::string(base::bytes_of(key));
}

} // namespace

const char* message_of(frame_error error) noexcept {
  switch (error) {
  case frame_error::too_large:
    return "frame is larger than the limit";
  case frame_error::truncated:
    return "connection ended within a frame";
  case frame_error::malformed:
    return "frame is not [version, kind, body]";
  case frame_error::unknown_version:
    return "frame version is not supported";
  case frame_error::unauthenticated:
    return "frame HMAC does not match";
  }
  return "unknown frame error";
}

std::string encode_frame(std::uint8_t version, message_kind kind, std::string_view body) {
  msgpack::sbuffer buf(body.size() + 16);
  msgpack::packer packer(buf);
  packer.pack_array(frame_elements);
  packer.pack(version);
  packer.pack(static_cast<std::uint16_t>(kind));
  packer.pack_bin(static_cast<std::uint32_t>(body.size()));
  packer.pack_bin_body(body.data(), static_cast<std::uint32_t>(body.size()));
  return {buf.data(), buf.size()};
}

frame_result<frame> decode_frame(std::string_view content, version_range supported) {
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(content.data(), content.size(), offset, nullptr, nullptr,
                                        parse_limits(content.size()));
    const auto& object = handle.get();
    if (offset != content.size() || object.type != msgpack::type::ARRAY ||
        object.via.array.size < frame_elements ||
        object.via.array.ptr[2].type != msgpack::type::BIN) {
      return frame_error::malformed;
    }
    frame out;
    out.version = object.via.array.ptr[0].as<std::uint8_t>();
    if (out.version < supported.least || out.version > supported.greatest) {
      return frame_error::unknown_version;
    }
    out.kind = static_cast<message_kind>(object.via.array.ptr[1].as<std::uint16_t>());
    const auto& body = object.via.array.ptr[2].via.bin;
    out.body.assign(body.ptr, body.size);
    return out;
  } catch (const msgpack::unpack_error&) {
    return frame_error::malformed;
  } catch (const msgpack::type_error&) {
    return frame_error::malformed;
  }
}

std::string make_packet(std::string_view content) {
  auto out = big_endian(content.size(), length_bytes);
  out += content;
  return out;
}

void packet_reader::feed(std::string_view bytes) {
  buf_.erase(0, offset_);
  offset_ = 0;
  if (buf_.empty() && buf_.capacity() > retained_bytes) {
    std::string().swap(buf_); // a large packet has enlarged it
  }
  buf_ += bytes;
}

frame_result<std::optional<std::string_view>> packet_reader::next() {
  const std::string_view rest = std::string_view(buf_).substr(offset_);
  if (rest.size() < length_bytes) {
    return std::optional<std::string_view>();
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < length_bytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(rest[i]);
  }
  if (length > limit_) {
    return frame_error::too_large;
  }
  if (rest.size() < length_bytes + length) {
    return std::optional<std::string_view>();
  }
  offset_ += length_bytes + length;
  return std::optional(rest.substr(length_bytes, length));
}

frame_result<void> packet_reader::finish() const {
  if (offset_ != buf_.size()) {
    return frame_error::truncated;
  }
  return base::success();
}

frame_sealer::frame_sealer(const base::sha256_digest& key) : key_(key_string(key)) {}

std::string frame_sealer::seal(std::string_view content) {
  const auto mac = mac_of(key_, counter_++, content);
  auto out = big_endian(content.size() + frame_mac_bytes, length_bytes);
  out += content;
  out.append(mac.begin(), mac.begin() + frame_mac_bytes);
  return out;
}

frame_opener::frame_opener(const base::sha256_digest& key) : key_(key_string(key)) {}

frame_result<std::string_view> frame_opener::open(std::string_view packet_content) {
  if (packet_content.size() < frame_mac_bytes) {
    return frame_error::malformed;
  }
  const auto content = packet_content.substr(0, packet_content.size() - frame_mac_bytes);
  const auto mac = packet_content.substr(content.size());
  const auto expected = mac_of(key_, counter_++, content);
  const auto* received = reinterpret_cast<const std::uint8_t*>(mac.data());
  if (!base::is_equal_constant_time({expected.data(), frame_mac_bytes},
                                    {received, frame_mac_bytes})) {
    return frame_error::unauthenticated;
  }
  return content;
}

} // namespace kingcupshunt::peer
