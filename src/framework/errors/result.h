#ifndef REDWING_FRAMEWORK_ERRORS_RESULT_H_
#define REDWING_FRAMEWORK_ERRORS_RESULT_H_

#include <boost/outcome/result.hpp>

#include "framework/errors/failure.h"

namespace redwing {

// A value or the failure that prevented it. Reading the absent side aborts.
template <typename T>
using Result =
    boost::outcome_v2::result<T, Failure, boost::outcome_v2::policy::terminate>;

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_ERRORS_RESULT_H_
