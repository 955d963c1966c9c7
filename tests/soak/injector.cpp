#include "injector.h"

#include <algorithm>
#include <csignal>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "http.h"

namespace kingcupshunt::soak {

namespace asio = boost::asio;

namespace {

constexpr const char* control_trouble = "control"; ///< name of all control instances in the ledger
/// From the start of a control instance until it counts again.
constexpr base::milliseconds catch_up{4000};
constexpr base::milliseconds grace{6000}; ///< from SIGTERM to the end
constexpr base::milliseconds poll{20};
constexpr base::milliseconds all_down{700};
constexpr base::milliseconds wait_for_others{100};
/// Callers meet connections that went silent for longer than the fault lasts: one after the other,
/// each until its patience ends.
constexpr base::seconds silent_use{12};

} // namespace

injector::injector(asio::io_context& io, deployment& all, server_list& servers, ledger& facts)
    : io_(io), all_(all), servers_(servers), facts_(facts) {}

asio::awaitable<void> injector::run(std::vector<fault> plan) {
  const auto start = base::clock::now();
  for (const auto& f : plan) {
    const auto now = base::clock::now();
    if (start + f.at > now) {
      co_await sleep_for(start + f.at - now);
    }
    ++running_;
    asio::co_spawn(
        io_,
        [this, f]() -> asio::awaitable<void> {
          try {
            co_await apply(f);
          } catch (const std::exception& e) {
            // The run goes on without this fault, but it is not the run that the seed names.
            facts_.note_harness_failure(std::string(to_string(f.kind)) + ": " + e.what());
          }
          --running_;
        },
        asio::detached);
  }
  while (running_ > 0) {
    co_await sleep_for(wait_for_others);
  }
}

asio::awaitable<void> injector::apply(fault f) {
  std::cout << "fault kind=" << to_string(f.kind) << " at_ms=" << f.at.count()
            << " lasts_ms=" << f.lasts.count() << " target=" << f.target << std::endl;
  if (takes_control_away(f.kind)) {
    if (is_control_away_) {
      co_return; // one loss at a time is what the deployment bears
    }
    is_control_away_ = true;
    facts_.begin_trouble(control_trouble, base::clock::now());
    const auto controls = all_.controls();
    if (f.kind == fault_kind::control_all) {
      co_await kill_all_controls(f);
    } else {
      co_await on_control(f, *controls[f.target % controls.size()]);
    }
    co_await sleep_for(catch_up);
    facts_.end_trouble(control_trouble, base::clock::now());
    is_control_away_ = false;
    co_return;
  }
  switch (f.kind) {
  case fault_kind::entry_kill:
  case fault_kind::entry_stop:
  case fault_kind::entry_pause:
  case fault_kind::settings_change: {
    const auto entries = all_.entries();
    auto& it = *entries[f.target % entries.size()];
    if (!it.is_busy) {
      it.is_busy = true;
      co_await on_entry(f, it);
      it.is_busy = false;
    }
    break;
  }
  case fault_kind::server_crash:
  case fault_kind::server_leave:
  case fault_kind::server_gray:
  case fault_kind::server_cut:
    co_await on_server(f, *servers_[f.target % servers_.size()]);
    break;
  default:
    co_await on_link(f);
  }
}

asio::awaitable<void> injector::stop_and_wait(instance& it) {
  all_.send(it, SIGTERM);
  const auto until = base::clock::now() + grace;
  while (!all_.has_ended(it)) {
    if (base::clock::now() >= until) {
      facts_.note_slow_stop(it.name);
      all_.kill(it);
      co_return;
    }
    co_await sleep_for(poll);
  }
}

asio::awaitable<void> injector::on_entry(const fault& f, instance& it) {
  if (f.kind == fault_kind::settings_change) {
    all_.send(it, SIGHUP);
    co_return;
  }
  if (f.kind == fault_kind::entry_stop) {
    facts_.begin_stop(it.name, base::clock::now());
    co_await stop_and_wait(it);
    facts_.begin_trouble(it.name, base::clock::now());
  } else {
    facts_.begin_trouble(it.name, base::clock::now());
    if (f.kind == fault_kind::entry_kill) {
      all_.kill(it);
    } else {
      all_.send(it, SIGSTOP);
    }
    co_await sleep_for(f.lasts);
  }
  if (f.kind == fault_kind::entry_pause) {
    all_.send(it, SIGCONT);
  } else {
    all_.start(it);
  }
  facts_.end_trouble(it.name, base::clock::now());
}

asio::awaitable<void> injector::on_control(const fault& f, instance& it) {
  switch (f.kind) {
  case fault_kind::control_pause:
    all_.send(it, SIGSTOP);
    co_await sleep_for(f.lasts);
    all_.send(it, SIGCONT);
    co_return;
  case fault_kind::disk_refuses:
    all_.set_disk_refusing(it, true);
    co_await sleep_for(f.lasts);
    all_.set_disk_refusing(it, false);
    co_return;
  case fault_kind::control_stop:
    co_await stop_and_wait(it);
    break;
  default:
    all_.kill(it);
    co_await sleep_for(f.lasts);
  }
  if (f.kind == fault_kind::control_wipe) {
    all_.wipe(it);
  }
  all_.start(it);
}

asio::awaitable<void> injector::kill_all_controls(const fault&) {
  for (auto* it : all_.controls()) {
    all_.kill(*it);
  }
  co_await sleep_for(all_down);
  for (auto* it : all_.controls()) {
    all_.start(*it);
  }
}

void injector::harm_link(const fault& f, loopback_proxy& link) {
  link_state state;
  switch (f.kind) {
  case fault_kind::link_delay:
    state.delay = base::milliseconds(5 + f.variant % 60);
    break;
  case fault_kind::link_reset:
    link.reset_all();
    break;
  case fault_kind::link_silence:
    link.silence_all();
    break;
  default: { // a cut: both ways, forward or backward
    const auto way = f.variant % 3;
    state.is_cut_forward = way != 2;
    state.is_cut_backward = way != 1;
  }
  }
  link.set_state(state);
}

/// Harms the link of an instance to its peers, or to callers.
asio::awaitable<void> injector::on_link(const fault& f) {
  const bool is_control = f.variant % 4 == 0;
  const auto some = is_control ? all_.controls() : all_.entries();
  auto& it = *some[f.target % some.size()];
  const bool is_of_callers = !is_control && f.variant % 2 == 1;
  auto& link = is_of_callers ? *it.entry_link : *it.peer_link;
  // A control instance that is cut off is a loss like any other.
  if (it.is_busy || (is_control && is_control_away_)) {
    co_return;
  }
  it.is_busy = true;
  is_control_away_ = is_control_away_ || is_control;
  const auto name = is_control ? std::string(control_trouble) : it.name;
  facts_.begin_trouble(name, base::clock::now());
  harm_link(f, link);
  co_await sleep_for(f.lasts);
  link.set_state({});
  if (f.kind == fault_kind::link_silence || f.kind == fault_kind::link_cut) {
    co_await sleep_for(silent_use);
  }
  if (is_control) {
    co_await sleep_for(catch_up);
    is_control_away_ = false;
  }
  facts_.end_trouble(name, base::clock::now());
  it.is_busy = false;
}

asio::awaitable<void> injector::on_server(const fault& f, backend_server& server) {
  switch (f.kind) {
  case fault_kind::server_crash:
    server.crash();
    break;
  case fault_kind::server_leave:
    server.leave();
    co_await sleep_for(grace);
    break;
  case fault_kind::server_gray: {
    server_faults faults;
    faults.reset_share = f.variant % 4 == 0 ? 0.8 : 0;
    faults.error_share = f.variant % 4 == 1 ? 0.6 : 0;
    faults.slow_factor = f.variant % 4 == 2 ? 15 : 1;
    faults.extra_share = f.variant % 4 == 3 ? 0.5 : 0;
    server.set_faults(faults);
    break;
  }
  default: {
    link_state state;
    state.is_cut_forward = f.variant % 3 != 2;
    state.is_cut_backward = f.variant % 3 != 1;
    server.link().set_state(state);
  }
  }
  co_await sleep_for(f.lasts);
  server.set_faults({});
  server.link().set_state({});
  server.restart();
}

} // namespace kingcupshunt::soak
