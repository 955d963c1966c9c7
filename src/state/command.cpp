#include "kingcupshunt/state/command.h"

namespace kingcupshunt::state {

const char* message_of(outcome o) noexcept {
  switch (o) {
  case outcome::none:
    return "no outcome";
  case outcome::malformed:
    return "the command cannot be read";
  case outcome::accepted:
    return "accepted";
  case outcome::conflict:
    return "another change came first";
  case outcome::invalid:
    return "the configuration is not valid";
  case outcome::removes_all:
    return "the change would remove all files";
  case outcome::too_large:
    return "the folder or the view would exceed its bound";
  case outcome::request_id_reused:
    return "the request id was used for another change";
  case outcome::full:
    return "the table is full";
  case outcome::view_not_settled:
    return "the former change of the view is not held by both majorities";
  case outcome::granted:
    return "granted";
  case outcome::may_have_run:
    return "the request may have run";
  case outcome::done:
    return "the request ran";
  case outcome::differs:
    return "the key was used for another request";
  case outcome::released:
    return "released";
  case outcome::not_reserved:
    return "this attempt does not hold the key";
  }
  return "unknown outcome";
}

} // namespace kingcupshunt::state
