#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "kingcupshunt/storage/file_system.h"

namespace kingcupshunt::storage {

namespace {

error error_from(int number, const std::string& path, const char* operation) {
  error out;
  out.code = number == ENOSPC || number == EDQUOT ? error_code::no_space : error_code::io;
  out.file = path;
  out.detail = std::string(operation) + ": " + std::strerror(number);
  return out;
}

/// Owns a file descriptor.
class descriptor {
public:
  explicit descriptor(int number) : number_(number) {}
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  ~descriptor() {
    if (number_ >= 0) {
      ::close(number_);
    }
  }
  int number() const noexcept { return number_; }

private:
  int number_;
};

class system_file : public file {
public:
  system_file(int number, std::string path) : fd_(number), path_(std::move(path)) {}

  result<void> write(std::string_view data) override {
    while (!data.empty()) {
      const auto n = ::write(fd_.number(), data.data(), data.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return error_from(errno, path_, "write");
      }
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return base::success();
  }

  // fdatasync also writes the size of the file.
  result<void> sync() override {
    if (::fdatasync(fd_.number()) != 0) {
      return error_from(errno, path_, "fdatasync");
    }
    return base::success();
  }

private:
  descriptor fd_;
  std::string path_;
};

class system_files : public file_system {
public:
  result<void> make_folder(const std::string& path) override {
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec) {
      return error_from(ec.value(), path, "create folder");
    }
    return base::success();
  }

  result<std::vector<std::string>> list(const std::string& path) override {
    std::error_code ec;
    std::vector<std::string> out;
    std::filesystem::directory_iterator it(path, ec);
    for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec)) {
      out.push_back(it->path().filename().string());
    }
    if (ec) {
      return error_from(ec.value(), path, "list");
    }
    std::ranges::sort(out);
    return out;
  }

  result<std::string> read(const std::string& path) override {
    const descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.number() < 0) {
      return error_from(errno, path, "open");
    }
    std::string out;
    struct stat info {};
    if (::fstat(fd.number(), &info) == 0) {
      out.resize(static_cast<std::size_t>(info.st_size));
    }
    std::size_t have = 0;
    while (have < out.size()) {
      const auto n = ::read(fd.number(), out.data() + have, out.size() - have);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return error_from(errno, path, "read");
      }
      if (n == 0) {
        break;
      }
      have += static_cast<std::size_t>(n);
    }
    out.resize(have);
    return out;
  }

  result<std::unique_ptr<file>> open(const std::string& path) override {
    constexpr mode_t owner_only = 0600; // the log holds answers to callers
    const int fd = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, owner_only);
    if (fd < 0) {
      return error_from(errno, path, "open");
    }
    return std::unique_ptr<file>(std::make_unique<system_file>(fd, path));
  }

  result<void> truncate(const std::string& path, std::uint64_t size) override {
    const descriptor fd(::open(path.c_str(), O_WRONLY | O_CLOEXEC));
    if (fd.number() < 0 || ::ftruncate(fd.number(), static_cast<off_t>(size)) != 0 ||
        ::fsync(fd.number()) != 0) {
      return error_from(errno, path, "truncate");
    }
    return base::success();
  }

  result<void> rename(const std::string& from, const std::string& to) override {
    if (::rename(from.c_str(), to.c_str()) != 0) {
      return error_from(errno, from, "rename");
    }
    return base::success();
  }

  result<void> remove(const std::string& path) override {
    if (::unlink(path.c_str()) != 0) {
      return error_from(errno, path, "remove");
    }
    return base::success();
  }

  result<void> sync_folder(const std::string& path) override {
    const descriptor fd(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.number() < 0 || ::fsync(fd.number()) != 0) {
      return error_from(errno, path, "sync folder");
    }
    return base::success();
  }

  result<std::shared_ptr<void>> lock(const std::string& path) override {
    auto fd =
        std::make_shared<descriptor>(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (fd->number() < 0) {
      return error_from(errno, path, "open");
    }
    if (::flock(fd->number(), LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK) {
        return error{error_code::in_use, path, 0, ""};
      }
      return error_from(errno, path, "lock");
    }
    return std::shared_ptr<void>(std::move(fd));
  }
};

} // namespace

std::shared_ptr<file_system> make_system_files() {
  return std::make_shared<system_files>();
}

} // namespace kingcupshunt::storage
