// Parsing is strict: the whole document is rejected if it has an unknown member, a duplicate name
// or a reference to a missing object.
#include "sequoiapier/configuration.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace sequoiapier {

namespace {

using Json = nlohmann::json;

template<typename Object>
const Object *findByName(const std::vector<Object> &objects, std::string_view name)
{
    const auto found = std::find_if(objects.begin(), objects.end(),
                                    [&](const Object &object) { return object.name == name; });
    return found != objects.end() ? &*found : nullptr;
}

// Reads the members of one JSON object and keeps the first error.
class ObjectReader
{
public:
    ObjectReader(const Json &object, std::string place, std::string &error)
        : m_object(object)
        , m_place(std::move(place))
        , m_error(error)
    {
        if (!object.is_object())
            fail("is not an object");
    }

    void text(const char *name, std::string &target, bool required = true)
    {
        const Json *member = find(name, required);
        if (member == nullptr)
            return;
        if (!member->is_string() || (required && member->get_ref<const std::string &>().empty()))
            fail(std::string(name) + " must be a non-empty string");
        else
            target = member->get<std::string>();
    }

    template<typename Integer>
    void integer(const char *name, Integer &target, std::int64_t min, std::int64_t max)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return;
        if (!member->is_number_integer() || member->get<std::int64_t>() < min
            || member->get<std::int64_t>() > max) {
            fail(std::string(name) + " must be an integer from " + std::to_string(min) + " to "
                 + std::to_string(max));
        } else {
            target = Integer(member->get<std::int64_t>());
        }
    }

    void boolean(const char *name, bool &target)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return;
        if (!member->is_boolean())
            fail(std::string(name) + " must be true or false");
        else
            target = member->get<bool>();
    }

    template<typename Element, typename ReadElement>
    void list(const char *name, std::vector<Element> &target, ReadElement readElement)
    {
        const Json *member = find(name, false);
        if (member == nullptr)
            return;
        if (!member->is_array()) {
            fail(std::string(name) + " must be an array");
            return;
        }
        for (std::size_t i = 0; i < member->size(); ++i) {
            ObjectReader reader((*member)[i], m_place + name + "[" + std::to_string(i) + "].",
                                m_error);
            Element element;
            if (m_error.empty())
                readElement(reader, element);
            reader.rejectUnknown();
            target.push_back(std::move(element));
        }
    }

    void rejectUnknown()
    {
        if (!m_error.empty())
            return;
        for (const auto &[name, value] : m_object.items()) {
            if (!m_known.contains(name))
                fail(name + " is not a known member");
        }
    }

private:
    const Json *find(const char *name, bool required)
    {
        m_known.insert(name);
        if (!m_error.empty())
            return nullptr;
        const auto found = m_object.find(name);
        if (found != m_object.end())
            return &*found;
        if (required)
            fail(std::string(name) + " is missing");
        return nullptr;
    }

    void fail(const std::string &what)
    {
        if (m_error.empty())
            m_error = m_place + what;
    }

    const Json &m_object;
    std::string m_place;
    std::string &m_error;
    std::set<std::string> m_known;
};

constexpr std::int64_t MaxShare = 1'000'000;
constexpr std::int64_t MaxCount = 1'000'000;
constexpr std::int64_t MaxPort = 65'535;

void readTeam(ObjectReader &reader, TeamConfig &team)
{
    reader.text("name", team.name);
    reader.integer("share", team.share, 1, MaxShare);
    reader.integer("ceiling", team.ceiling, 0, MaxCount);
}

void readKey(ObjectReader &reader, KeyConfig &key)
{
    reader.text("digest", key.digest);
    reader.text("team", key.team);
}

void readRunner(ObjectReader &reader, RunnerConfig &runner)
{
    reader.text("address", runner.address);
    reader.integer("port", runner.port, 1, MaxPort);
}

void readService(ObjectReader &reader, ServiceConfig &service)
{
    reader.text("name", service.name);
    reader.text("pool", service.pool, false);
    reader.integer("slotsPerRunner", service.slotsPerRunner, 1, MaxCount);
    reader.integer("connectionsPerRunner", service.connectionsPerRunner, 1, MaxCount);
    reader.list("runners", service.runners, readRunner);
}

void readQueue(ObjectReader &reader, QueueConfig &queue)
{
    reader.text("name", queue.name);
    reader.text("service", queue.service);
    reader.boolean("open", queue.isOpen);
    reader.integer("maxQueued", queue.maxQueued, 1, MaxCount);
}

void readPool(ObjectReader &reader, PoolConfig &pool)
{
    reader.text("name", pool.name);
    reader.integer("maxUnavailable", pool.maxUnavailable, 0, MaxCount);
}

template<typename Object>
std::string findDuplicate(const std::vector<Object> &objects, std::string_view kind)
{
    std::set<std::string_view> names;
    for (const Object &object : objects) {
        if (!names.insert(object.name).second)
            return std::string(kind) + " '" + object.name + "' is defined twice";
    }
    return {};
}

// Description of the first duplicate name or dangling reference; empty if there is none.
std::string findInconsistency(const Configuration &configuration)
{
    for (const std::string &duplicate : {findDuplicate(configuration.teams, "team"),
                                         findDuplicate(configuration.services, "service"),
                                         findDuplicate(configuration.queues, "queue"),
                                         findDuplicate(configuration.pools, "pool")}) {
        if (!duplicate.empty())
            return duplicate;
    }
    for (const KeyConfig &key : configuration.keys) {
        if (configuration.findTeam(key.team) == nullptr)
            return "key of unknown team '" + key.team + "'";
    }
    for (const QueueConfig &queue : configuration.queues) {
        if (configuration.findService(queue.service) == nullptr)
            return "queue '" + queue.name + "' names unknown service '" + queue.service + "'";
    }
    return {};
}

} // namespace

const QueueConfig *Configuration::findQueue(std::string_view name) const
{
    return findByName(queues, name);
}

const ServiceConfig *Configuration::findService(std::string_view name) const
{
    return findByName(services, name);
}

const TeamConfig *Configuration::findTeam(std::string_view name) const
{
    return findByName(teams, name);
}

const KeyConfig *Configuration::findKey(std::string_view digest) const
{
    const auto found = std::find_if(keys.begin(), keys.end(),
                                    [&](const KeyConfig &key) { return key.digest == digest; });
    return found != keys.end() ? &*found : nullptr;
}

Result<Configuration> parseConfiguration(std::string_view document, std::uint64_t version)
{
    const Json json = parseJson(document);
    if (json.is_discarded())
        return Error{ResultCode::RowMalformed, "not a JSON document"};
    std::string error;
    Configuration configuration{.version = version};
    ObjectReader reader(json, "", error);
    if (error.empty()) {
        reader.list("teams", configuration.teams, readTeam);
        reader.list("keys", configuration.keys, readKey);
        reader.list("services", configuration.services, readService);
        reader.list("queues", configuration.queues, readQueue);
        reader.list("pools", configuration.pools, readPool);
        reader.integer("maxGateways", configuration.maxGateways, 0, MaxCount);
        reader.rejectUnknown();
    }
    if (error.empty())
        error = findInconsistency(configuration);
    if (!error.empty())
        return Error{ResultCode::RowMalformed, error};
    return configuration;
}

std::string toJson(const Configuration &configuration)
{
    nlohmann::ordered_json json{{"maxGateways", configuration.maxGateways},
                                {"teams", Json::array()},
                                {"keys", Json::array()},
                                {"services", Json::array()},
                                {"queues", Json::array()},
                                {"pools", Json::array()}};
    for (const TeamConfig &team : configuration.teams) {
        json["teams"].push_back(
            {{"name", team.name}, {"share", team.share}, {"ceiling", team.ceiling}});
    }
    for (const KeyConfig &key : configuration.keys) {
        json["keys"].push_back({{"digest", key.digest}, {"team", key.team}});
    }
    for (const ServiceConfig &service : configuration.services) {
        nlohmann::ordered_json runners = Json::array();
        for (const RunnerConfig &runner : service.runners)
            runners.push_back({{"address", runner.address}, {"port", runner.port}});
        json["services"].push_back({{"name", service.name},
                                    {"pool", service.pool},
                                    {"slotsPerRunner", service.slotsPerRunner},
                                    {"connectionsPerRunner", service.connectionsPerRunner},
                                    {"runners", runners}});
    }
    for (const QueueConfig &queue : configuration.queues) {
        json["queues"].push_back({{"name", queue.name},
                                  {"service", queue.service},
                                  {"open", queue.isOpen},
                                  {"maxQueued", queue.maxQueued}});
    }
    for (const PoolConfig &pool : configuration.pools) {
        json["pools"].push_back({{"name", pool.name}, {"maxUnavailable", pool.maxUnavailable}});
    }
    return json.dump();
}

std::string keyDigest(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += Digits[digest[i] >> 4];
        text += Digits[digest[i] & 0xf];
    }
    return text;
}

} // namespace sequoiapier
