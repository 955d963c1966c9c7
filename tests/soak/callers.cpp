#include "callers.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kingcupshunt::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr base::milliseconds resolve_timeout{1000};
constexpr base::milliseconds resolve_pause{100};
/// Beyond a caller's patience, so that late answers are seen.
constexpr base::milliseconds late_answers{1500};

} // namespace

caller::caller(asio::io_context& io, const caller_world& world, ledger& facts, std::string name,
               std::uint64_t seed)
    : io_(io), world_(world), facts_(facts), name_(std::move(name)), rng_(seed) {}

void caller::start(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  asio::co_spawn(
      io_, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

asio::awaitable<void> caller::run() {
  while (!world_.is_stopped) {
    if (base::clock::now() >= resolve_at_ || addresses_.empty()) {
      co_await resolve();
    }
    if (addresses_.empty()) {
      co_await sleep_for(resolve_pause);
      continue;
    }
    co_await send_one();
    co_await sleep_for(base::from_seconds(base::to_seconds(world_.pause) * 2 * rng_.unit()));
  }
  on_end_();
}

asio::awaitable<void> caller::resolve() {
  const auto& directory = world_.directories[rng_.below(world_.directories.size())];
  const auto answer =
      co_await call(io_, directory, http::verb::get, wire::resolve_target(), "", resolve_timeout);
  if (!answer || answer->result() != http::status::ok) {
    co_return;
  }
  const auto all = nlohmann::json::parse(answer->body(), nullptr, false);
  if (!all.is_object() || !all.contains("addresses")) {
    co_return;
  }
  addresses_ = all["addresses"].get<std::vector<std::string>>();
  resolve_at_ = base::clock::now() + base::from_seconds(all.value("ttl_s", 1.0));
  std::erase_if(connections_, [&](const auto& item) {
    return std::ranges::find(addresses_, item.first) == addresses_.end();
  });
}

key_in_use caller::choose_key() {
  const bool may_be_withdrawn = rng_.unit() < world_.withdrawn_share;
  for (;;) { // the first key of each workspace is never withdrawn
    const auto& it = world_.keys[rng_.below(world_.keys.size())];
    if (may_be_withdrawn || !it.is_withdrawn) {
      return it;
    }
  }
}

asio::awaitable<void> caller::send_one() {
  const auto entry = addresses_[rng_.below(addresses_.size())];
  const auto link = world_.links.find(entry);
  if (link == world_.links.end() || world_.keys.empty()) {
    co_return;
  }
  auto& connection = connections_[entry];
  if (!connection) {
    connection = std::make_unique<http_connection>(io_);
  }
  const auto route = world_.routes[rng_.below(world_.routes.size())];
  const auto key = choose_key();
  const auto id = name_ + "-" + std::to_string(++requests_);
  http_request request(route.is_repeatable ? http::verb::get : http::verb::post,
                       route.prefix + "item", 11);
  request.set(http::field::host, wire::host);
  request.set(http::field::authorization, wire::key_header(key.key));
  request.set(wire::request_id, id);
  request.set(wire::patience_ms, std::to_string(world_.patience.count()));
  if (!route.is_repeatable) {
    request.body() = "order " + id + std::string(rng_.below(2000), 'x');
  }
  request.prepare_payload();
  sent_request fact{id,
                    key.key,
                    key.workspace,
                    route.service,
                    world_.names.at(entry),
                    route.is_repeatable,
                    base::clock::now()};
  facts_.note_sent(fact);
  // The caller keeps its own hold of the connection: an answer of the directory may drop it.
  auto* held = connection.get();
  const auto answer =
      co_await exchange(*held, link->second, request, world_.patience + late_answers);
  facts_.note_answer(id, judge(id, answer));
}

seen_answer caller::judge(const std::string& id, const std::optional<http_response>& answer) const {
  seen_answer out;
  out.at = base::clock::now();
  if (!answer) {
    return out;
  }
  out.status = answer->result_int();
  const auto& body = answer->body();
  out.is_own = (*answer)[wire::signature] == "signed-" + id &&
               body.starts_with("answer to " + id) && body.ends_with("end");
  return out;
}

} // namespace kingcupshunt::soak
