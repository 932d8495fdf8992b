// Result<T>: a value or an Error. Functions of this project report failures by it and don't throw
// across their interfaces.
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

// A failure: its result code and a detail that tells a person what to act on.
struct Error
{
    ResultCode code = ResultCode::InternalError;
    std::string detail;
};

// Calling value() on an error terminates the process, so check the result first.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace sequoiapier
