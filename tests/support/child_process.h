#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

extern char** environ;

namespace kingcupshunt::testing {

/// A program started by a test, killed when the test ends.
class child_process {
public:
  /// Starts `command`; both outputs are appended to `log_file`. `environment` holds "NAME=value"
  /// beside the variables of this process.
  child_process(std::vector<std::string> command, const std::string& log_file,
                std::vector<std::string> environment = {}) {
    std::vector<char*> variables;
    for (auto& it : environment) {
      variables.push_back(it.data());
    }
    for (char** it = environ; *it != nullptr; ++it) {
      variables.push_back(*it);
    }
    variables.push_back(nullptr);
    std::vector<char*> argv;
    for (auto& it : command) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the test stay open as long as any process has them.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), variables.data()) != 0) {
      pid_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  child_process(child_process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  child_process& operator=(child_process&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  ~child_process() {
    if (is_running()) {
      kill(pid_, SIGKILL);
      wait();
    }
  }

  bool is_running() const noexcept { return pid_ > 0; }
  void send(int signal) const { kill(pid_, signal); }
  pid_t id() const noexcept { return pid_; }

  /// True when the process has ended by itself; it is reaped then.
  bool has_ended() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ <= 0;
  }

  /// Waits for the end; returns the exit code, or 128 plus the signal.
  int wait() {
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

private:
  pid_t pid_ = -1;
};

} // namespace kingcupshunt::testing
