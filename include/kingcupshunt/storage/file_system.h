#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kingcupshunt/storage/error.h"

namespace kingcupshunt::storage {

/// A file that is appended to.
class file {
public:
  file() = default;
  file(const file&) = delete;
  file& operator=(const file&) = delete;
  virtual ~file() = default;

  /// Appends all of `data`.
  virtual result<void> write(std::string_view data) = 0;
  /// Makes everything written so far durable.
  virtual result<void> sync() = 0;
};

/// Operations on the data folder. Tests put slow, full, failing and crashing disks in its place.
class file_system {
public:
  file_system() = default;
  file_system(const file_system&) = delete;
  file_system& operator=(const file_system&) = delete;
  virtual ~file_system() = default;

  virtual result<void> make_folder(const std::string& path) = 0;
  /// Names of the files in `path`, in order.
  virtual result<std::vector<std::string>> list(const std::string& path) = 0;
  virtual result<std::string> read(const std::string& path) = 0;
  /// Opens for appending; creates the file when absent.
  virtual result<std::unique_ptr<file>> open(const std::string& path) = 0;
  virtual result<void> truncate(const std::string& path, std::uint64_t size) = 0;
  virtual result<void> rename(const std::string& from, const std::string& to) = 0;
  virtual result<void> remove(const std::string& path) = 0;
  /// Makes creations, renames and removals in the folder durable.
  virtual result<void> sync_folder(const std::string& path) = 0;
  /// Holds an exclusive lock until the returned object is destroyed. Error in_use: held elsewhere.
  virtual result<std::shared_ptr<void>> lock(const std::string& path) = 0;
};

/// Puts `content` durably in place of the file `name` in `folder`. After an error or a crash the
/// file has either its former content or the new one.
result<void> write_whole(file_system& files, const std::string& folder, const std::string& name,
                         const std::string& content);

/// The operating system's files.
std::shared_ptr<file_system> make_system_files();

} // namespace kingcupshunt::storage
