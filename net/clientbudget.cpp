#include "net/clientbudget.h"

#include <algorithm>
#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration NoticeInterval = std::chrono::seconds(1);
// Checks are made several times a second. A longer gap between two of them is a pause.
constexpr Duration PauseThreshold = std::chrono::seconds(1);

constexpr std::array<std::string_view, ClientLimitCount> LimitNames{
    "memory",    "connections", "address_connections", "header_time",
    "body_rate", "reader_rate", "json_values"};

} // namespace

std::string_view clientLimitName(ClientLimit limit)
{
    return LimitNames[std::size_t(limit)];
}

ClientBudget::ClientBudget(Options options)
    : m_options(options)
{ }

int ClientBudget::addServer(ServerOptions options)
{
    m_servers.push_back({.options = options});
    return int(m_servers.size()) - 1;
}

ClientBudget::Admission ClientBudget::admit(int server, std::string_view address)
{
    if (m_options.maxConnectionsPerAddress > 0) {
        const auto found = m_addresses.find(std::string(address));
        if (found != m_addresses.end() && found->second >= m_options.maxConnectionsPerAddress) {
            count(ClientLimit::AddressConnections);
            return {.isAdmitted = false};
        }
    }
    const Server &target = m_servers[std::size_t(server)];
    if (target.connectionCount < target.options.maxConnections)
        return {};
    count(ClientLimit::Connections);
    // The replaced connection is closed later, so that for a short time there is one too many.
    // Twice as many would mean that closing can't keep up.
    if (!target.options.isOldestReplaced
        || target.connectionCount >= 2 * target.options.maxConnections) {
        return {.isAdmitted = false};
    }
    Admission admission{.isAdmitted = false};
    TimePoint oldest = TimePoint::max();
    for (const auto &[id, connection] : m_connections) {
        const bool isReplaceable = connection.server == server && connection.deadline != TimePoint()
            && connection.phase != Phase::Handling && connection.phase != Phase::Refusal;
        if (isReplaceable && connection.openedAt < oldest) {
            oldest = connection.openedAt;
            admission = {.isAdmitted = true, .replaced = id};
        }
    }
    if (admission.replaced)
        m_connections[*admission.replaced].deadline = TimePoint(); // not to be chosen again
    return admission;
}

std::vector<ClientBudget::Id> ClientBudget::addConnection(int server, Id id, std::string address,
                                                          TimePoint now)
{
    removeConnection(id);
    ++m_servers[std::size_t(server)].connectionCount;
    ++m_addresses[address];
    m_heldBytes += ConnectionBytes;
    m_connections[id] = {.server = server,
                         .address = std::move(address),
                         .openedAt = now,
                         .startedAt = now,
                         .deadline = now + m_options.headerTime};
    return makeRoom(now);
}

void ClientBudget::removeConnection(Id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    setHeld(found->second, 0);
    m_heldBytes -= ConnectionBytes;
    --m_servers[std::size_t(found->second.server)].connectionCount;
    const auto address = m_addresses.find(found->second.address);
    if (--address->second == 0)
        m_addresses.erase(address);
    m_connections.erase(found);
}

void ClientBudget::beginBody(Id id, TimePoint now)
{
    Connection *connection = find(id);
    if (connection == nullptr)
        return;
    connection->phase = Phase::Body;
    connection->startedAt = now;
    connection->deadline = now + m_options.rateGrace;
}

ClientBudget::Decision ClientBudget::growBody(Id id, std::size_t received, std::size_t held,
                                              TimePoint now)
{
    Connection *connection = find(id);
    if (connection == nullptr || connection->phase != Phase::Body)
        return {};
    setHeld(*connection, held);
    connection->deadline = connection->startedAt + m_options.rateGrace + transferTime(received);
    return decide(id, now);
}

ClientBudget::Decision ClientBudget::beginHandling(Id id, std::size_t held, TimePoint now)
{
    Connection *connection = find(id);
    if (connection == nullptr)
        return {};
    setHeld(*connection, held * HandlingCopies);
    // Stays an incomplete request until it is decided that it is handled.
    connection->phase = Phase::Body;
    Decision decision = decide(id, now);
    if (decision.isAccepted) {
        connection->phase = Phase::Handling;
        connection->deadline = TimePoint::max();
    }
    return decision;
}

void ClientBudget::beginRefusal(Id id, TimePoint now)
{
    Connection *connection = find(id);
    if (connection == nullptr)
        return;
    connection->phase = Phase::Refusal;
    setHeld(*connection, 0);
    connection->deadline = now + RefusalTime;
}

std::vector<ClientBudget::Id> ClientBudget::beginAnswer(Id id, std::size_t bytes, TimePoint now)
{
    Connection *connection = find(id);
    if (connection == nullptr)
        return {};
    if (connection->phase == Phase::Refusal)
        return {}; // keeps its shorter deadline
    connection->phase = Phase::Answer;
    setHeld(*connection, bytes);
    connection->deadline = now + m_options.rateGrace + transferTime(bytes);
    return makeRoom(now);
}

void ClientBudget::endRequest(Id id)
{
    Connection *connection = find(id);
    if (connection == nullptr)
        return;
    connection->phase = Phase::Idle;
    setHeld(*connection, 0);
    connection->deadline = TimePoint::max();
}

std::vector<ClientBudget::Overdue> ClientBudget::takeOverdue(TimePoint now)
{
    const Duration gap = m_checkedAt ? now - *m_checkedAt : Duration{};
    m_checkedAt = now;
    std::vector<Overdue> overdue;
    for (auto &[id, connection] : m_connections) {
        if (connection.deadline == TimePoint::max() || connection.deadline == TimePoint())
            continue;
        if (gap > PauseThreshold)
            connection.deadline += gap;
        if (now < connection.deadline)
            continue;
        connection.deadline = TimePoint::max();
        ClientLimit limit = ClientLimit::HeaderTime;
        if (connection.phase == Phase::Body)
            limit = ClientLimit::BodyRate;
        else if (connection.phase == Phase::Answer || connection.phase == Phase::Refusal)
            limit = ClientLimit::ReaderRate;
        // A refused request was counted when it was refused.
        if (connection.phase != Phase::Refusal)
            count(limit);
        overdue.push_back({id, limit});
    }
    return overdue;
}

std::vector<ClientBudget::Notice> ClientBudget::takeNotices(TimePoint now)
{
    std::vector<Notice> notices;
    for (std::size_t i = 0; i < ClientLimitCount; ++i) {
        const bool isDue = m_noticedAt[i] == TimePoint() || now >= m_noticedAt[i] + NoticeInterval;
        if (m_totals[i] == m_noticed[i] || !isDue)
            continue;
        notices.push_back({ClientLimit(i), m_totals[i] - m_noticed[i]});
        m_noticed[i] = m_totals[i];
        m_noticedAt[i] = now;
    }
    return notices;
}

ClientBudget::Connection *ClientBudget::find(Id id)
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() ? &found->second : nullptr;
}

void ClientBudget::setHeld(Connection &connection, std::size_t bytes)
{
    m_heldBytes += bytes;
    m_heldBytes -= connection.heldBytes;
    connection.heldBytes = bytes;
}

// Time in which `bytes` are transferred at the minimum rate.
Duration ClientBudget::transferTime(std::size_t bytes) const
{
    const std::size_t rate = std::max<std::size_t>(m_options.minBytesPerSecond, 1);
    return std::chrono::duration_cast<Duration>(
        std::chrono::milliseconds(std::int64_t(bytes * 1'000 / rate)));
}

// Chooses incomplete requests to refuse until the rest fits. First comes the one that has occupied
// most memory for longest: its bytes times its age. Equal products of new requests are decided by
// the number of bytes.
std::vector<ClientBudget::Id> ClientBudget::makeRoom(TimePoint now)
{
    std::vector<Id> refused;
    while (m_heldBytes > m_options.maxBytes) {
        Id chosen = 0;
        Connection *largest = nullptr;
        double largestScore = 0;
        for (auto &[id, connection] : m_connections) {
            if (connection.phase != Phase::Body || connection.heldBytes == 0)
                continue;
            const std::chrono::duration<double> age = now - connection.startedAt;
            const double score
                = double(connection.heldBytes) * (0.001 + std::max(0.0, age.count()));
            if (largest == nullptr || score > largestScore) {
                chosen = id;
                largest = &connection;
                largestScore = score;
            }
        }
        if (largest == nullptr)
            return refused;
        count(ClientLimit::Memory);
        beginRefusal(chosen, now);
        refused.push_back(chosen);
    }
    return refused;
}

ClientBudget::Decision ClientBudget::decide(Id id, TimePoint now)
{
    Decision decision{.refused = makeRoom(now)};
    const auto own = std::find(decision.refused.begin(), decision.refused.end(), id);
    if (own != decision.refused.end()) {
        decision.isAccepted = false;
        decision.refused.erase(own);
    }
    return decision;
}

} // namespace sequoiapier
