#include "kingcupshunt/node/config_folder.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace kingcupshunt::node {

namespace {

namespace fs = std::filesystem;

bool is_configuration_file(const fs::directory_entry& entry) {
  const auto name = entry.path().filename().string();
  std::error_code ec;
  return entry.is_regular_file(ec) && entry.path().extension() == ".json" && name.front() != '.';
}

bool read_file(const fs::path& path, std::string& out) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  out = text.str();
  return in.good() || in.eof();
}

} // namespace

const char* message_of(folder_error_code code) noexcept {
  switch (code) {
  case folder_error_code::missing:
    return "the configuration folder does not exist";
  case folder_error_code::unreadable:
    return "the file can't be read";
  case folder_error_code::too_large:
    return "the configuration folder is larger than 512 MiB";
  }
  return "unknown error";
}

base::result<config::files, folder_error> read_folder(const std::string& folder) {
  std::error_code ec;
  fs::directory_iterator it(folder, ec);
  if (ec) {
    return folder_error{folder_error_code::missing, folder};
  }
  config::files out;
  std::size_t total = 0;
  for (; it != fs::directory_iterator(); it.increment(ec)) {
    if (!is_configuration_file(*it)) {
      continue;
    }
    std::string text;
    if (!read_file(it->path(), text)) {
      return folder_error{folder_error_code::unreadable, it->path().string()};
    }
    total += text.size();
    if (total > max_folder_bytes) {
      return folder_error{folder_error_code::too_large, folder};
    }
    out.emplace(it->path().filename().string(), std::move(text));
  }
  if (ec) {
    return folder_error{folder_error_code::unreadable, folder};
  }
  return out;
}

base::result<std::optional<config::files>, folder_error> folder_watch::scan() {
  auto read = read_folder(folder_);
  if (!read) {
    last_.reset();
    return read.error();
  }
  const bool is_unchanged = last_ && *last_ == read.value();
  last_ = std::move(read.value());
  if (!is_unchanged) {
    return std::optional<config::files>{};
  }
  return last_;
}

} // namespace kingcupshunt::node
