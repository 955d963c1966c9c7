#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "kingcupshunt/config/change_set.h"
#include "kingcupshunt/config/error.h"
#include "kingcupshunt/config/records.h"

namespace kingcupshunt::config {

/// Form in which records go from one instance to another: blocks of records of one kind. Issued
/// keys take 16 bytes each and the name of their workspace once a block. Equal records give equal
/// bytes.
std::string pack_blocks(std::span<const record> records);

/// Reads packed blocks one at a time, so that the caller decides how much work it does at once.
class block_reader {
public:
  block_reader() = default;
  explicit block_reader(std::string content) : content_(std::move(content)) {}

  bool is_done() const noexcept { return offset_ >= content_.size(); }

  /// Adds the records of the next block to `out`. After an error the rest is of no use.
  result<void> next(change_set& out);

private:
  std::string content_;
  std::size_t offset_ = 0;
};

} // namespace kingcupshunt::config
