#include "jobs/advice.h"

namespace sequoiapier::jobs {

std::string_view toString(AdviceNeed need)
{
    switch (need) {
    case AdviceNeed::Room:
        return "room";
    case AdviceNeed::Ahead:
        return "ahead";
    case AdviceNeed::NoRoom:
        return "no-room";
    }
    return "";
}

std::string_view toString(AdviceOutcome outcome)
{
    switch (outcome) {
    case AdviceOutcome::Answered:
        return "answered";
    case AdviceOutcome::Rejected:
        return "rejected";
    case AdviceOutcome::Busy:
        return "busy";
    case AdviceOutcome::Unanswered:
        return "unanswered";
    case AdviceOutcome::NotSent:
        return "not-sent";
    }
    return "";
}

} // namespace sequoiapier::jobs
