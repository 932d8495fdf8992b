#include "sequoiapier/table.h"

namespace sequoiapier {

std::string writeRecordKey(std::string_view writeId)
{
    return "writes/" + std::string(writeId);
}

} // namespace sequoiapier
