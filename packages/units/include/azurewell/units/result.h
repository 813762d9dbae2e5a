#pragma once

#include "azurewell/units/result_code.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>

#include <string>

namespace azurewell {

/// An error for operators: a numbered code and where it occurred.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string detail; ///< File, line or key, the reason and what is allowed.
};

/// A value or an Error, without exceptions. Check with `if (!result)` before `.value()`.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace azurewell
