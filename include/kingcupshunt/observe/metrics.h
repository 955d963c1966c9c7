#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupshunt::observe {

/// Counters, gauges and histograms of one instance, in the Prometheus text format.
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// Adds 1 to kingcupshunt_refusals_total{reason}.
  void count_refusal(std::string_view reason);

  /// Adds 1 to kingcupshunt_retries_total{reason}.
  void count_retry(std::string_view reason);

  /// Adds `n` to the counter kingcupshunt_<name>, with an optional label `kind`.
  void count(std::string_view name, std::string_view kind = {}, double n = 1);

  /// Sets the gauge kingcupshunt_<name>, with an optional label `kind`.
  void set(std::string_view name, double value, std::string_view kind = {});

  /// Records a duration in seconds in the histogram kingcupshunt_<name>_seconds.
  void observe_seconds(std::string_view name, double seconds);

  /// The whole registry in the Prometheus text format.
  std::string serialize() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace kingcupshunt::observe
