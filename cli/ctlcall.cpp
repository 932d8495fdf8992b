#include "cli/ctlcall.h"

#include "sequoiapier/resultcode.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <random>
#include <sstream>

namespace sequoiapier::detail {

namespace {

int exitStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Committed:
        return int(ResultCode::Ok);
    case ResultCode::NotCommitted:
    case ResultCode::CommitUnknown:
        return int(ResultCode::Unreachable);
    default:
        return int(ResultCode::Usage);
    }
}

} // namespace

OperationId operationId(const CtlSettings &settings)
{
    if (!settings.operationId.empty())
        return {settings.operationId, false};
    std::random_device random;
    std::ostringstream text;
    text << "ctl-" << std::hex << random() << random() << random();
    std::cerr << "operation " << text.str() << "\n";
    return {text.str(), true};
}

int printFailure(HttpOutcome outcome, std::string_view detail)
{
    std::cerr << "no answer from the controller: " << detail
              << (outcome == HttpOutcome::Lost ? " (the call may have taken effect)" : "") << "\n";
    return int(ResultCode::Unreachable);
}

int printChange(const CtlSettings &settings, const api::ChangeAnswer &change)
{
    const ResultInfo &info = resultInfo(ResultCode(change.code));
    if (settings.isJson) {
        std::cout << nlohmann::json{{"code", change.code},
                                    {"name", info.name},
                                    {"version", change.version},
                                    {"detail", change.detail}}
                  << "\n";
    } else {
        std::cout << change.code << " " << info.name;
        if (change.version != 0)
            std::cout << " version " << change.version;
        std::cout << " " << change.detail << "\n";
    }
    return exitStatus(info.code);
}

} // namespace sequoiapier::detail
