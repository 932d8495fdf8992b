#include "node/admissionreport.h"

#include "sequoiapier/resultcode.h"

#include <utility>

namespace sequoiapier {

api::JobReply AdmissionReport::refusal(Duration retryAfter, bool isOwner)
{
    api::JobReply reply;
    reply.code = std::int32_t(isOwner ? ResultCode::Overloaded : ResultCode::NotOwner);
    if (isOwner) {
        reply.retryAfterMilliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    }
    return reply;
}

void AdmissionReport::update(const jobs::Admission::Counts &counts)
{
    using Counts = jobs::Admission::Counts;
    constexpr std::pair<const char *, std::uint64_t Counts::*> Outcomes[]{
        {"accepted", &Counts::accepted},
        {"refused", &Counts::refused},
        {"accepted_late", &Counts::acceptedLate},
        {"refused_room_came", &Counts::refusedRoomCame}};
    for (const auto &[outcome, member] : Outcomes)
        m_metrics.countAdmissions(m_pool, outcome, counts.*member - m_reported.*member);
    m_reported = counts;
}

} // namespace sequoiapier
