#include "operator.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "http.h"

namespace kingcupshunt::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr base::milliseconds call_timeout{1000};
constexpr base::milliseconds retry_pause{150};
constexpr int max_redirects = 2;
constexpr int max_sends = 80; ///< of one order, more than any series of faults lasts
/// Callers go on with a withdrawn key for longer than it may work.
constexpr base::seconds old_key_use{8};

} // namespace

config_operator::config_operator(asio::io_context& io, std::vector<std::string> controls,
                                 wire::configuration first, caller_world& world, ledger& facts,
                                 std::uint64_t seed)
    : io_(io), controls_(std::move(controls)), current_(std::move(first)), world_(world),
      facts_(facts), rng_(seed) {}

/// Posts to a control instance, following redirects. Status 0: no answer.
asio::awaitable<unsigned> config_operator::post(const std::string& target, const std::string& body,
                                                std::string& answer) {
  auto to = controls_[rng_.below(controls_.size())];
  for (int i = 0; i <= max_redirects; ++i) {
    const auto got = co_await call(io_, to, http::verb::post, target, body, call_timeout);
    if (!got) {
      co_return 0;
    }
    if (got->result() != http::status::temporary_redirect) {
      answer = got->body();
      co_return got->result_int();
    }
    const auto location = std::string((*got)[http::field::location]);
    const auto from = location.find("//");
    const auto end = location.find('/', from + 2);
    if (from == std::string::npos || end == std::string::npos) {
      co_return 0;
    }
    to = location.substr(from + 2, end - from - 2);
  }
  co_return 0;
}

/// Sends an order until it has a clear answer. True when it was acknowledged.
asio::awaitable<bool> config_operator::send(wire::configuration c) {
  const auto text = wire::to_text(c);
  std::string answer;
  for (int i = 0; i < max_sends; ++i) {
    const auto status = co_await post(wire::replace_target(), text, answer);
    if (status == 200) {
      facts_.note_accepted(c.version);
      co_return true;
    }
    if (status >= 400 && status < 500 && status != 408 && status != 429) {
      co_return false;
    }
    co_await sleep_for(retry_pause);
  }
  co_return false;
}

asio::awaitable<bool> config_operator::start() {
  const bool is_accepted = co_await send(current_);
  co_return is_accepted;
}

asio::awaitable<void> config_operator::act() {
  const auto choice = rng_.below(10);
  if (choice < 5) {
    co_await exchange_key();
  } else if (choice < 7) {
    co_await race();
  } else if (choice < 8) {
    co_await send_invalid();
  } else {
    (void)co_await read_back();
  }
}

/// A new key for a workspace; its oldest exchanged one is withdrawn.
asio::awaitable<void> config_operator::exchange_key() {
  auto next = current_;
  next.version += 1 + rng_.below(3);
  auto& tenant = next.tenants[rng_.below(next.tenants.size())];
  const auto added = tenant.name + "-key-" + std::to_string(++keys_made_);
  tenant.keys.push_back(added);
  std::string removed;
  if (tenant.keys.size() > 2) {
    removed = tenant.keys[1]; // the first one stays all day
    tenant.keys.erase(tenant.keys.begin() + 1);
  }
  const auto workspace = tenant.name;
  current_ = next;
  if (!removed.empty()) {
    facts_.note_withdrawing(removed);
    for (auto& it : world_.keys) {
      it.is_withdrawn = it.is_withdrawn || it.key == removed;
    }
  }
  const bool is_accepted = co_await send(next);
  if (!is_accepted) {
    co_return;
  }
  facts_.note_issued(added, base::clock::now());
  world_.keys.push_back({added, workspace, false});
  if (!removed.empty()) {
    facts_.note_withdrawn(removed, base::clock::now());
    asio::co_spawn(
        io_,
        [self = shared_from_this(), removed]() -> asio::awaitable<void> {
          co_await sleep_for(old_key_use);
          std::erase_if(self->world_.keys, [&](const auto& it) { return it.key == removed; });
        },
        asio::detached);
  }
}

/// Two versions to different instances at the same time; the higher one must win.
asio::awaitable<void> config_operator::race() {
  auto lower = current_;
  lower.version += 1;
  auto higher = current_;
  higher.version += 2;
  current_ = higher;
  const auto is_done = std::make_shared<bool>(false);
  asio::co_spawn(
      io_,
      [self = shared_from_this(), lower, is_done]() -> asio::awaitable<void> {
        (void)co_await self->send(lower); // refused or overtaken: both are right
        *is_done = true;
      },
      asio::detached);
  (void)co_await send(higher);
  while (!*is_done) {
    co_await sleep_for(retry_pause);
  }
}

asio::awaitable<void> config_operator::send_invalid() {
  auto wrong = current_;
  wrong.version += 1;
  const auto kind = rng_.below(3);
  if (kind == 0) {
    wrong.routes.front().service = "nobody";
  } else if (kind == 1) {
    wrong.time_limit_s = 0;
  }
  auto text = wire::to_text(wrong);
  if (kind == 2) {
    text.resize(text.size() / 2);
  }
  std::string answer;
  const auto status = co_await post(wire::replace_target(), text, answer);
  if (status >= 200 && status < 300) {
    facts_.note_invalid_accepted("an invalid configuration of kind " + std::to_string(kind) +
                                 " was acknowledged");
  }
}

asio::awaitable<bool> config_operator::read_back() {
  for (int i = 0; i < max_sends; ++i) {
    const auto accepted = facts_.accepted();
    std::string answer;
    const auto status = co_await post(wire::read_target(), "{}", answer);
    if (status == 200) {
      facts_.note_read(wire::version_of(answer), accepted);
      co_return true;
    }
    co_await sleep_for(retry_pause);
  }
  co_return false;
}

} // namespace kingcupshunt::soak
