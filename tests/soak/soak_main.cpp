// Plays one seeded run of faults on the real programs and reports the promises that were broken.
// Exit code 0: none; 1: some; 2: the run could not be made.

#include <filesystem>
#include <iostream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "callers.h"
#include "deployment.h"
#include "faults.h"
#include "injector.h"
#include "ledger.h"
#include "operator.h"
#include "servers.h"
#include "support/network_claim.h"

namespace kingcupshunt::soak {
namespace {

namespace asio = boost::asio;

constexpr base::milliseconds settle{2500};    ///< until the servers are known and tables are full
constexpr base::milliseconds recovery{15000}; ///< from the last fault until callers are served
constexpr base::milliseconds recovery_view{3000};
constexpr base::milliseconds operator_pause{700};
constexpr base::milliseconds first_order_pause{200};

struct run_settings {
  std::uint64_t seed = 1;
  base::milliseconds length{20000};
  std::size_t controls = 3;
  std::size_t entries = 4;
  std::size_t servers = 8;
  std::size_t callers = 24;
  std::filesystem::path folder;
};

wire::configuration first_configuration() {
  wire::configuration c;
  c.version = 1;
  c.routes = {{"look", "/look/", "fit", true, 2},
              {"hold", "/hold/", "fit", false, 1},
              {"pay", "/pay/", "pay", false, 0}};
  c.services = {"fit", "pay"};
  c.tenants = {{"large", {"large-key"}, 400, 400}, {"small", {"small-key"}, 40, 40}};
  return c;
}

class soak_run {
public:
  soak_run(asio::io_context& io, const run_settings& s)
      : io_(io), settings_(s),
        all_(io, {KINGCUPSHUNT_PROGRAM, s.folder, network_.number(), s.controls, s.entries}),
        injector_(io, all_, servers_, facts_) {}

  /// Returns whether the run could be made.
  asio::awaitable<bool> run() {
    all_.start_all();
    make_servers();
    const auto first = first_configuration();
    make_world(first);
    operator_ = std::make_shared<config_operator>(io_, all_.control_addresses(), first, world_,
                                                  facts_, settings_.seed + 1);
    co_await sleep_for(first_order_pause);
    const bool is_started = co_await operator_->start();
    if (!is_started) {
      std::cout << "the first configuration was not accepted" << std::endl;
      co_return false;
    }
    for (const auto& it : world_.keys) {
      facts_.note_issued(it.key, base::clock::now());
    }
    co_await sleep_for(settle);
    start_callers();
    start_operator();
    fault_plan_settings plan;
    plan.seed = settings_.seed;
    plan.length = settings_.length;
    co_await injector_.run(make_plan(plan));
    co_await check_recovery();
    co_await end();
    co_return true;
  }

  const ledger& facts() const noexcept { return facts_; }

private:
  void make_servers() {
    for (std::size_t i = 0; i < settings_.servers; ++i) {
      const auto network = "127." + std::to_string(network_.number()) + ".";
      const auto last = "." + std::to_string(i + 1) + ":9000";
      server_settings s;
      s.service = i % 3 == 0 ? "pay" : "fit";
      s.data_centre = std::string(1, static_cast<char>('a' + i % 3));
      s.listen = network + "4" + last;
      s.announced = network + "3" + last;
      s.controls = all_.control_addresses();
      servers_.push_back(
          std::make_shared<backend_server>(io_, s, facts_, settings_.seed + 100 + i));
      servers_.back()->start();
    }
  }

  void make_world(const wire::configuration& first) {
    world_.directories = all_.directory_addresses();
    world_.routes = first.routes;
    for (const auto& t : first.tenants) {
      world_.keys.push_back({t.keys.front(), t.name, false});
      facts_.set_rate(t.name, t.rate, t.burst);
    }
    for (const auto* it : all_.entries()) {
      const auto& own = it->settings.entry;
      world_.links[own] = it->settings.id + own.substr(own.rfind(':'));
      world_.names[own] = it->name;
    }
  }

  void start_callers() {
    for (std::size_t i = 0; i < settings_.callers; ++i) {
      auto made = std::make_shared<caller>(io_, world_, facts_, "c" + std::to_string(i),
                                           settings_.seed + 1000 + i);
      ++running_callers_;
      made->start([this] { --running_callers_; });
    }
  }

  void start_operator() {
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
          while (!world_.is_stopped) {
            co_await operator_->act();
            co_await sleep_for(operator_pause);
          }
          is_operator_done_ = true;
        },
        asio::detached);
  }

  asio::awaitable<void> check_recovery() {
    co_await sleep_for(recovery);
    const auto sent = facts_.sent();
    const auto served = facts_.served();
    // Workspaces are over their rate at times and some keys are withdrawn ones.
    const auto rightly_refused = [&] { return facts_.answers(429) + facts_.answers(401); };
    const auto refused = rightly_refused();
    co_await sleep_for(recovery_view);
    facts_.note_recovery(facts_.served() - served,
                         facts_.sent() - sent - (rightly_refused() - refused));
  }

  asio::awaitable<void> end() {
    world_.is_stopped = true;
    while (running_callers_ > 0 || !is_operator_done_) {
      co_await sleep_for(first_order_pause);
    }
    const bool is_read = co_await operator_->read_back();
    if (!is_read) {
      facts_.note_read(0, facts_.accepted());
    }
    facts_.finish();
  }

  asio::io_context& io_;
  run_settings settings_;
  testing::network_claim network_;
  ledger facts_;
  deployment all_;
  server_list servers_;
  injector injector_;
  caller_world world_;
  std::shared_ptr<config_operator> operator_;
  std::size_t running_callers_ = 0;
  bool is_operator_done_ = false;
};

int play(const run_settings& settings) {
  asio::io_context io;
  soak_run run(io, settings);
  bool is_made = false;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        is_made = co_await run.run();
        io.stop();
      },
      asio::detached);
  io.run();
  if (!is_made) {
    return 2;
  }
  for (const auto& it : run.facts().violations()) {
    std::cout << "broken promise=" << to_string(it.what) << " detail=\"" << it.detail << "\"\n";
  }
  std::cout << "soak seed=" << settings.seed << " broken=" << run.facts().violations().size() << " "
            << run.facts().summary() << std::endl;
  return run.facts().violations().empty() ? 0 : 1;
}

} // namespace
} // namespace kingcupshunt::soak

int main(int argc, char** argv) {
  cxxopts::Options options("kingcupshunt_soak", "seeded faults on the real programs");
  options.add_options()("seed", "of faults, callers and servers",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "with faults", cxxopts::value<unsigned>()->default_value("20"))(
      "controls", "control instances, 3 or more",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "entries", "entry instances", cxxopts::value<std::size_t>()->default_value("4"))(
      "servers", "backend servers", cxxopts::value<std::size_t>()->default_value("8"))(
      "callers", "callers", cxxopts::value<std::size_t>()->default_value("24"))(
      "keep", "keep settings, logs and data")("help", "print this");
  kingcupshunt::soak::run_settings settings;
  bool is_kept = false;
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    settings.seed = given["seed"].as<std::uint64_t>();
    settings.length = std::chrono::seconds(given["seconds"].as<unsigned>());
    settings.controls = given["controls"].as<std::size_t>();
    settings.entries = given["entries"].as<std::size_t>();
    settings.servers = given["servers"].as<std::size_t>();
    settings.callers = given["callers"].as<std::size_t>();
    is_kept = given.count("keep") > 0;
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  settings.folder =
      std::filesystem::temp_directory_path() / ("kingcupshunt-soak-" + std::to_string(getpid()));
  const int code = kingcupshunt::soak::play(settings);
  if (code == 0 && !is_kept) {
    std::filesystem::remove_all(settings.folder);
  } else {
    std::cout << "logs: " << settings.folder.string() << std::endl;
  }
  return code;
}
