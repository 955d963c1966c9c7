#include "kingcupshunt/observe/metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace kingcupshunt::observe {

namespace {

const prometheus::Histogram::BucketBoundaries latency_bounds_seconds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

std::string full_name(std::string_view name) {
  return "kingcupshunt_" + std::string(name);
}

prometheus::Labels labels_of(std::string_view label, std::string_view value) {
  return value.empty() ? prometheus::Labels{}
                       : prometheus::Labels{{std::string(label), std::string(value)}};
}

} // namespace

struct metrics::impl {
  prometheus::Registry registry;
  std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>> gauges;
  std::map<std::string, prometheus::Histogram*, std::less<>> histograms;

  void add(const std::string& name, const prometheus::Labels& labels, double n) {
    auto it = counters.find(name);
    if (it == counters.end()) {
      it = counters.emplace(name, &prometheus::BuildCounter().Name(name).Register(registry)).first;
    }
    it->second->Add(labels).Increment(n);
  }
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::count_refusal(std::string_view reason) {
  impl_->add("kingcupshunt_refusals_total", labels_of("reason", reason), 1);
}

void metrics::count_retry(std::string_view reason) {
  impl_->add("kingcupshunt_retries_total", labels_of("reason", reason), 1);
}

void metrics::count(std::string_view name, std::string_view kind, double n) {
  impl_->add(full_name(name), labels_of("kind", kind), n);
}

void metrics::set(std::string_view name, double value, std::string_view kind) {
  const auto full = full_name(name);
  auto it = impl_->gauges.find(full);
  if (it == impl_->gauges.end()) {
    auto& family = prometheus::BuildGauge().Name(full).Register(impl_->registry);
    it = impl_->gauges.emplace(full, &family).first;
  }
  it->second->Add(labels_of("kind", kind)).Set(value);
}

void metrics::observe_seconds(std::string_view name, double seconds) {
  const auto full = full_name(name) + "_seconds";
  auto it = impl_->histograms.find(full);
  if (it == impl_->histograms.end()) {
    auto& family = prometheus::BuildHistogram().Name(full).Register(impl_->registry);
    it = impl_->histograms.emplace(full, &family.Add({}, latency_bounds_seconds)).first;
  }
  it->second->Observe(seconds);
}

std::string metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace kingcupshunt::observe
