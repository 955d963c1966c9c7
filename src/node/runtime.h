#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "kingcupshunt/base/time.h"
#include "kingcupshunt/observe/decision_ring.h"
#include "kingcupshunt/observe/metrics.h"
#include "kingcupshunt/peer/message.h"
#include "kingcupshunt/settings/process_settings.h"

namespace kingcupshunt::node {

/// What the parts of one instance share. Everything runs on the thread of `io`.
struct runtime {
  boost::asio::io_context& io;
  const settings::process_settings& settings;
  observe::metrics& metrics;
  observe::decision_ring& decisions;
  peer::send_function send;      ///< messages to the own id are delivered through `io`
  std::uint64_t incarnation = 0; ///< of this process; rises with each start
  std::uint64_t seed = 0;        ///< from the operating system's cryptographic generator

  void record(observe::decision d) const { decisions.add(std::move(d)); }
};

} // namespace kingcupshunt::node
