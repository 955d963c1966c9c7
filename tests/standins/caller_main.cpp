// A caller for tests: a bounded load at a given rate, each answer checked against its request.
#include <utility>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using clock_type = std::chrono::steady_clock;
using json = nlohmann::json;

struct caller_settings {
  std::vector<std::string> entries; ///< "ip:port"
  double rate = 100;
  double seconds = 5;
  std::string key;
  std::string method = "GET";
  std::vector<std::string> paths;
  std::string body;
  bool is_asking_addresses = false;
  bool has_idempotency_keys = false;
  std::size_t max_in_flight = 500;
};

/// Upper bound of one request, so that a lost answer is counted and not waited for.
constexpr auto request_timeout = std::chrono::seconds(20);
constexpr auto address_interval = std::chrono::seconds(1);

tcp::endpoint endpoint_of(const std::string& entry) {
  const auto colon = entry.rfind(':');
  return {asio::ip::make_address(entry.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(entry.substr(colon + 1)))};
}

class caller {
public:
  caller(asio::io_context& io, caller_settings settings)
      : io_(io), settings_(std::move(settings)) {}

  asio::awaitable<void> run() {
    const auto start = clock_type::now();
    const auto total = static_cast<std::uint64_t>(settings_.rate * settings_.seconds);
    asio::steady_timer timer(io_);
    error_code ec;
    if (settings_.is_asking_addresses) {
      asio::co_spawn(io_, follow_addresses(), asio::detached);
    }
    for (std::uint64_t i = 0; i < total; ++i) {
      timer.expires_at(start +
                       std::chrono::duration_cast<clock_type::duration>(
                           std::chrono::duration<double>(static_cast<double>(i) / settings_.rate)));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      if (in_flight_ >= settings_.max_in_flight) {
        ++not_sent_;
        continue;
      }
      asio::co_spawn(io_, one_request(i), asio::detached);
    }
    while (in_flight_ > 0) {
      timer.expires_after(std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    is_done_ = true;
  }

  json summary() {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    const auto at = [&](double q) {
      if (latencies_ms_.empty()) {
        return 0.0;
      }
      const auto index =
          static_cast<std::size_t>(q * static_cast<double>(latencies_ms_.size() - 1));
      return latencies_ms_[index];
    };
    return {{"answers", latencies_ms_.size()},
            {"not_sent", not_sent_},
            {"by_status", by_status_},
            {"by_reason", by_reason_},
            {"by_ran", by_ran_},
            {"by_error", by_error_},
            {"wrong_answers", wrong_},
            {"doubled_answers", doubled_},
            {"latency_ms",
             {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"p999", at(0.999)}}}};
  }

private:
  struct connection {
    explicit connection(asio::io_context& io) : stream(io) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string entry;
    bool was_used = false;
  };

  std::shared_ptr<connection> take() {
    if (!idle_.empty()) {
      auto c = idle_.back();
      idle_.pop_back();
      return c;
    }
    auto c = std::make_shared<connection>(io_);
    c->entry = settings_.entries[next_entry_++ % settings_.entries.size()];
    return c;
  }

  asio::awaitable<void> one_request(std::uint64_t number) {
    ++in_flight_;
    const auto started = clock_type::now();
    const std::string nonce = run_id_ + "-" + std::to_string(number);
    http::request<http::string_body> req(http::string_to_verb(settings_.method),
                                         settings_.paths[number % settings_.paths.size()], 11);
    req.set(http::field::host, "standin");
    req.set("X-Nonce", nonce);
    if (!settings_.key.empty()) {
      req.set(http::field::authorization, "Bearer " + settings_.key);
    }
    if (settings_.has_idempotency_keys) {
      req.set("Idempotency-Key", nonce);
    }
    req.body() = settings_.body;
    req.prepare_payload();

    auto c = take();
    http::response<http::string_body> res;
    error_code ec;
    c->stream.expires_after(request_timeout);
    if (!c->was_used) {
      co_await c->stream.async_connect(endpoint_of(c->entry),
                                       asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
      co_await http::async_write(c->stream, req, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (!ec) {
      co_await http::async_read(c->stream, c->buffer, res,
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
      ++by_error_[ec.message()];
    } else {
      note(res, nonce, std::chrono::duration<double, std::milli>(clock_type::now() - started));
      // Bytes behind an answer are a second answer that nobody asked for.
      doubled_ += c->buffer.size() > 0 ? 1 : 0;
      c->was_used = true;
      if (res.keep_alive() && c->buffer.size() == 0) {
        idle_.push_back(c);
      }
    }
    --in_flight_;
  }

  void note(const http::response<http::string_body>& res, const std::string& nonce,
            std::chrono::duration<double, std::milli> took) {
    latencies_ms_.push_back(took.count());
    ++by_status_[std::to_string(res.result_int())];
    if (const auto reason = res["X-Kingcupshunt-Reason"]; !reason.empty()) {
      ++by_reason_[std::string(reason)];
      ++by_ran_[std::string(res["X-Kingcupshunt-Ran"])];
    } else if (res.result_int() == 200) {
      const bool is_own =
          res["X-Nonce"] == nonce && res.body().starts_with("nonce=" + nonce + "\n");
      wrong_ += is_own ? 0 : 1;
    }
  }

  /// Asks an entry for the addresses to use, as callers do, once a second.
  asio::awaitable<void> follow_addresses() {
    asio::steady_timer timer(io_);
    error_code ec;
    while (!is_done_) {
      auto c = std::make_shared<connection>(io_);
      const auto entry = settings_.entries[next_entry_++ % settings_.entries.size()];
      http::request<http::string_body> req(http::verb::get, "/.kingcupshunt/addresses", 11);
      req.set(http::field::host, "standin");
      http::response<http::string_body> res;
      c->stream.expires_after(std::chrono::seconds(1));
      co_await c->stream.async_connect(endpoint_of(entry),
                                       asio::redirect_error(asio::use_awaitable, ec));
      if (!ec) {
        co_await http::async_write(c->stream, req, asio::redirect_error(asio::use_awaitable, ec));
      }
      if (!ec) {
        co_await http::async_read(c->stream, c->buffer, res,
                                  asio::redirect_error(asio::use_awaitable, ec));
      }
      const auto answer = json::parse(ec ? std::string() : res.body(), nullptr, false);
      if (answer.is_object() && answer.contains("addresses") && answer["addresses"].is_array()) {
        use_addresses(answer["addresses"]);
      }
      timer.expires_after(address_interval);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  void use_addresses(const json& addresses) {
    std::vector<std::string> entries;
    for (const auto& a : addresses) {
      if (a.is_string()) {
        entries.push_back(a.get<std::string>());
      }
    }
    if (entries.empty()) {
      return;
    }
    settings_.entries = entries;
    std::erase_if(idle_, [&](const auto& c) {
      return std::find(entries.begin(), entries.end(), c->entry) == entries.end();
    });
  }

  asio::io_context& io_;
  caller_settings settings_;
  std::string run_id_ = std::to_string(std::random_device{}());
  std::deque<std::shared_ptr<connection>> idle_;
  std::size_t next_entry_ = 0;
  std::size_t in_flight_ = 0;
  std::uint64_t not_sent_ = 0;
  std::uint64_t wrong_ = 0;
  std::uint64_t doubled_ = 0;
  bool is_done_ = false;
  std::vector<double> latencies_ms_;
  std::map<std::string, std::uint64_t> by_status_;
  std::map<std::string, std::uint64_t> by_reason_;
  std::map<std::string, std::uint64_t> by_ran_;
  std::map<std::string, std::uint64_t> by_error_;
};

caller_settings parse(int argc, char** argv) {
  cxxopts::Options options("standin_caller", "A bounded load of checked requests");
  options.add_options()("entry", "entry address ip:port, may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "rate", "requests per second", cxxopts::value<double>()->default_value("100"))(
      "seconds", "duration", cxxopts::value<double>()->default_value("5"))(
      "key", "key of a workspace", cxxopts::value<std::string>()->default_value(""))(
      "method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"))(
      "path", "path, may be repeated", cxxopts::value<std::vector<std::string>>())(
      "body", "request body", cxxopts::value<std::string>()->default_value(""))(
      "ask-addresses", "follow /.kingcupshunt/addresses")(
      "idempotency-keys", "send an own Idempotency-Key with each request")(
      "max-in-flight", "requests at one time", cxxopts::value<std::size_t>()->default_value("500"));
  const auto args = options.parse(argc, argv);
  caller_settings s;
  s.entries = args["entry"].as<std::vector<std::string>>();
  s.rate = args["rate"].as<double>();
  s.seconds = std::min(args["seconds"].as<double>(), 600.0);
  s.key = args["key"].as<std::string>();
  s.method = args["method"].as<std::string>();
  s.paths = args.count("path") > 0 ? args["path"].as<std::vector<std::string>>()
                                   : std::vector<std::string>{"/"};
  s.body = args["body"].as<std::string>();
  s.is_asking_addresses = args.count("ask-addresses") > 0;
  s.has_idempotency_keys = args.count("idempotency-keys") > 0;
  s.max_in_flight = args["max-in-flight"].as<std::size_t>();
  return s;
}

} // namespace

int main(int argc, char** argv) {
  try {
    asio::io_context io;
    caller c(io, parse(argc, argv));
    asio::co_spawn(io, c.run(), asio::detached);
    io.run();
    std::cout << c.summary().dump(2) << std::endl;
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "standin_caller: " << e.what() << "\n";
    return 2;
  }
}
