#include "kingcupshunt/admission/start_gate.h"

#include <utility>

namespace kingcupshunt::admission {

void start_gate::enter(std::function<void()> done, base::time_point now) {
  const bool may_wait = age(now) < settings_.max_wait && waiting_.size() < settings_.queue_limit;
  if (is_open_ || !may_wait) {
    done();
  } else {
    waiting_.push_back(std::move(done));
  }
}

void start_gate::open() {
  is_open_ = true;
  release();
}

void start_gate::tick(base::time_point now) {
  if (age(now) >= settings_.max_wait) {
    release();
  }
}

void start_gate::release() {
  for (const auto& done : std::exchange(waiting_, {})) {
    done();
  }
}

} // namespace kingcupshunt::admission
