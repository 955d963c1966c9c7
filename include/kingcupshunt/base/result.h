#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace kingcupshunt::base {

/// Holds a value or the error struct of one layer. Reading the wrong side is undefined.
template <class T, class E>
using result = boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace kingcupshunt::base
