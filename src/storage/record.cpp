#include "record.h"

#include "kingcupshunt/base/hash.h"

namespace kingcupshunt::storage {

namespace {

constexpr std::string_view magic = "kcr1";

void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>(value >> static_cast<unsigned>(8 * i)));
  }
}

std::uint64_t get(std::string_view in, std::size_t offset, int bytes) noexcept {
  std::uint64_t out = 0;
  for (int i = 0; i < bytes; ++i) {
    out |= static_cast<std::uint64_t>(
               static_cast<unsigned char>(in[offset + static_cast<std::size_t>(i)]))
           << static_cast<unsigned>(8 * i);
  }
  return out;
}

} // namespace

void append_record(std::string& out, std::string_view payload) {
  out.append(magic);
  put(out, payload.size(), 4);
  put(out, base::hash64(payload, payload.size()), 8);
  out.append(payload);
}

record_view read_record(std::string_view content, std::uint64_t offset) noexcept {
  if (offset == content.size()) {
    return {record_state::end, {}, offset};
  }
  const record_view damaged{record_state::damaged, {}, offset};
  if (content.size() - offset < record_header_bytes ||
      content.substr(offset, magic.size()) != magic) {
    return damaged;
  }
  const auto size = get(content, offset + 4, 4);
  if (size > content.size() - offset - record_header_bytes) {
    return damaged;
  }
  const auto payload = content.substr(offset + record_header_bytes, size);
  if (base::hash64(payload, size) != get(content, offset + 8, 8)) {
    return damaged;
  }
  return {record_state::whole, payload, offset + record_header_bytes + size};
}

bool has_record_after(std::string_view content, std::uint64_t offset) noexcept {
  for (auto at = content.find(magic, offset + 1); at != std::string_view::npos;
       at = content.find(magic, at + 1)) {
    if (read_record(content, at).state == record_state::whole) {
      return true;
    }
  }
  return false;
}

} // namespace kingcupshunt::storage
