// Result<T>: a value or an Error. No function of this project throws across its interface.
//
//   Result<int> port = parsePort(text);
//   if (!port)
//       return port.error();
//   use(port.value());
#pragma once

#include "sequoiapier/resultcode.h"

#include <boost/outcome/result.hpp>

#include <string>

namespace sequoiapier {

// A numbered failure with the detail a person needs to act on it.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string detail;
};

// value() on an error terminates: check first.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace sequoiapier
