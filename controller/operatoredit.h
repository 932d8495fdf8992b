// Converts the Edit of api/operator.thrift to a ConfigurationEdit.
#pragma once

#include "controller/configurationeditor.h"
#include "gen/operator_types.h"

namespace sequoiapier {

// Fails with ChangeInvalid if the union is empty. A negative number or a port that is too large
// becomes a value that applyEdit() refuses with ChangeInvalid.
Result<ConfigurationEdit> toConfigurationEdit(const api::Edit &edit);

} // namespace sequoiapier
