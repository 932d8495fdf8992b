#include "gateway/refusal.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

HttpResponse refusalResponse(const Error &error, std::uint32_t retryAfterSeconds)
{
    const ResultInfo &info = resultInfo(error.code);
    const std::string runState(toString(info.runState));
    HttpResponse response{.status = info.httpStatus};
    response.headers = {{"content-type", "application/json"},
                        {"x-sequoiapier-code", std::to_string(int(info.code))},
                        {"x-run-state", runState}};
    if (retryAfterSeconds > 0)
        response.headers.push_back({"retry-after", std::to_string(retryAfterSeconds)});
    const nlohmann::ordered_json body{
        {"code", int(info.code)}, {"name", info.name}, {"run", runState}, {"detail", error.detail}};
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace sequoiapier
