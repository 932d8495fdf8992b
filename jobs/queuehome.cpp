#include "jobs/queuehome.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sequoiapier::jobs {

using nlohmann::json;

std::optional<QueueHome> claimed(const QueueHome &home, const std::string &pool,
                                 std::uint64_t configuration)
{
    if (home.pool == pool)
        return home;
    if (home.pool.empty())
        return QueueHome{.pool = pool, .configuration = configuration};
    if (home.configuration >= configuration)
        return std::nullopt;
    QueueHome next{.pool = pool, .configuration = configuration, .formerPools = home.formerPools};
    std::erase(next.formerPools, pool);
    next.formerPools.push_back(home.pool);
    return next;
}

std::string encodeQueueHome(const QueueHome &home)
{
    return json::array({home.pool, home.configuration, home.formerPools}).dump();
}

Result<QueueHome> parseQueueHome(std::string_view bytes)
{
    const json document = parseJson(bytes);
    try {
        return QueueHome{.pool = document.at(0).get<std::string>(),
                         .configuration = document.at(1).get<std::uint64_t>(),
                         .formerPools = document.at(2).get<std::vector<std::string>>()};
    } catch (const json::exception &exception) {
        return Error{ResultCode::RowMalformed, exception.what()};
    }
}

} // namespace sequoiapier::jobs
