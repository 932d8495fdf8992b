// Maps the Edit of api/operator.thrift to a ConfigurationEdit.
#pragma once

#include "controller/configurationeditor.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// ChangeInvalid if the union is empty or a number is negative or too large.
Result<ConfigurationEdit> toConfigurationEdit(const api::Edit &edit);

} // namespace sequoiapier
