#pragma once

#include <string>

#include "kingcupshunt/config/snapshot.h"

namespace kingcupshunt::state {

/// The whole configuration as one JSON document. Reading it with config::snapshot::apply gives the
/// same entities, so an instance that keeps only typed entries can serve its state to others.
std::string write_config(const config::snapshot& s);

} // namespace kingcupshunt::state
