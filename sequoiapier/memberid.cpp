#include "sequoiapier/memberid.h"

namespace sequoiapier {

std::string toString(const MemberId &member)
{
    return member.name + "@" + std::to_string(member.incarnation);
}

} // namespace sequoiapier
