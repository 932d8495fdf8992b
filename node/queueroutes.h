// QueueRoutes: finds the queue of a caller's request by its host and the longest matching path
// prefix.
//
//   QueueRoutes routes(configuration);
//   if (const QueueConfig *queue = routes.find("pule25.example", "/puxa400/5c0e7a21d94b36f8")) ...
#pragma once

#include "sequoiapier/configuration.h"

#include <map>
#include <string>
#include <string_view>

namespace sequoiapier {

class QueueRoutes
{
public:
    QueueRoutes() = default;
    // `configuration` must outlive this object.
    explicit QueueRoutes(const Configuration &configuration)
    {
        for (const QueueConfig &queue : configuration.queues)
            m_queues[queue.host][queue.pathPrefix] = &queue;
    }

    // Returns nullptr if no route matches. Cost O(p log r) for a path of p bytes and r routes of
    // the host.
    const QueueConfig *find(std::string_view host, std::string_view path) const
    {
        const auto prefixes = m_queues.find(host);
        if (prefixes == m_queues.end())
            return nullptr;
        for (std::size_t length = path.size(); length > 0; --length) {
            const auto found = prefixes->second.find(path.substr(0, length));
            if (found != prefixes->second.end())
                return found->second;
        }
        return nullptr;
    }

private:
    using Prefixes = std::map<std::string, const QueueConfig *, std::less<>>;
    std::map<std::string, Prefixes, std::less<>> m_queues; // queues by host and path prefix
};

} // namespace sequoiapier
