#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "kingcupshunt/control/http_client.h"
#include "kingcupshunt/control/http_server.h"

namespace kingcupshunt::testing {

/// A stand-in backend server on its own thread. It answers 200 with the request's path and counts
/// the runs of each Idempotency-Key.
class backend {
public:
  backend(std::string address, std::uint16_t port)
      : address_(std::move(address)), port_(port),
        server_(io_, {address_, port_},
                [this](const auto& request, auto done) { serve(request, std::move(done)); }),
        thread_([this] { io_.run(); }) {}

  ~backend() {
    boost::asio::post(io_, [this] { server_.stop(); });
    io_.stop();
    thread_.join();
  }

  backend(const backend&) = delete;
  backend& operator=(const backend&) = delete;

  std::string id() const { return address_ + ":" + std::to_string(port_); }

  /// Sends one announcement; returns the status, 0 without an answer.
  unsigned announce(const std::string& service, const std::string& to, const std::string& secret,
                    bool is_draining = false, std::uint64_t incarnation = 1) const {
    const nlohmann::json body = {{"service", service},         {"address", id()},
                                 {"data_centre", "dc1"},       {"slots", 3},
                                 {"is_draining", is_draining}, {"incarnation", incarnation}};
    const auto answer =
        control::call(to, "POST", "/announce", body.dump(), base::milliseconds(2000),
                      {{"Authorization", "Bearer " + secret}});
    return answer ? answer.value().status : 0;
  }

  std::string last_header(const std::string& name) const {
    const std::lock_guard lock(mutex_);
    return last_.header(name);
  }

  /// Everything received so far: paths, headers and bodies.
  std::string all_bytes() const {
    const std::lock_guard lock(mutex_);
    return all_bytes_;
  }

  std::size_t runs_of(const std::string& idempotency_key) const {
    const std::lock_guard lock(mutex_);
    const auto it = runs_.find(idempotency_key);
    return it == runs_.end() ? 0 : it->second;
  }

  std::size_t runs() const {
    const std::lock_guard lock(mutex_);
    return total_;
  }

private:
  void serve(const control::http_request& request,
             const std::function<void(control::http_response)>& done) {
    {
      const std::lock_guard lock(mutex_);
      last_ = request;
      all_bytes_ += request.path + "\n" + request.body + "\n";
      for (const auto& [name, value] : request.query) {
        all_bytes_.append(name).append("=").append(value).append("\n");
      }
      for (const auto& [name, value] : request.headers) {
        all_bytes_.append(name).append(": ").append(value).append("\n");
      }
      ++runs_[request.header("idempotency-key")];
      ++total_;
    }
    done({200, "text/plain", "ran " + request.path + " " + request.body});
  }

  std::string address_;
  std::uint16_t port_;
  mutable std::mutex mutex_;
  control::http_request last_;
  std::string all_bytes_;
  std::map<std::string, std::size_t> runs_;
  std::size_t total_ = 0;
  boost::asio::io_context io_;
  control::http_server server_;
  std::thread thread_;
};

} // namespace kingcupshunt::testing
