// The edited copy is validated by a round trip through toJson() and parseConfiguration(), which
// enforce the rules of a configuration.
#include "controller/configurationeditor.h"

#include <algorithm>
#include <set>

namespace sequoiapier {

namespace {

constexpr std::size_t DigestLength = 64;

template<typename Object>
void put(std::vector<Object> &objects, const Object &object)
{
    const auto found = std::find_if(objects.begin(), objects.end(), [&](const Object &candidate) {
        return candidate.name == object.name;
    });
    if (found != objects.end())
        *found = object;
    else
        objects.push_back(object);
}

template<typename Object>
Result<void> remove(std::vector<Object> &objects, const std::string &name, const char *kind)
{
    const auto isNamed = [&](const Object &object) { return object.name == name; };
    if (std::erase_if(objects, isNamed) == 0)
        return Error{ResultCode::NotFound, std::string("no ") + kind + " '" + name + "'"};
    return boost::outcome_v2::success();
}

bool isDigest(const std::string &text)
{
    return text.size() == DigestLength
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

struct Editor
{
    Configuration &next;

    Result<void> operator()(const edit::PutTeam &change)
    {
        put(next.teams, change.team);
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::RemoveTeam &change)
    {
        return remove(next.teams, change.name, "team");
    }
    Result<void> operator()(const edit::GrantKey &change)
    {
        if (!isDigest(change.key.digest))
            return Error{ResultCode::ChangeInvalid, "the digest is no hexadecimal SHA-256"};
        const KeyConfig *known = next.findKey(change.key.digest);
        if (known != nullptr && known->team != change.key.team)
            return Error{ResultCode::ChangeInvalid, "the key is of team '" + known->team + "'"};
        if (known == nullptr)
            next.keys.push_back(change.key);
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::WithdrawKey &change)
    {
        const auto isKey = [&](const KeyConfig &key) { return key.digest == change.digest; };
        if (std::erase_if(next.keys, isKey) == 0)
            return Error{ResultCode::NotFound, "no key with this digest"};
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::PutQueue &change)
    {
        put(next.queues, change.queue);
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::RemoveQueue &change)
    {
        return remove(next.queues, change.name, "queue");
    }
    Result<void> operator()(const edit::PutPool &change)
    {
        put(next.pools, change.pool);
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::RemovePool &change)
    {
        return remove(next.pools, change.name, "pool");
    }
    Result<void> operator()(const edit::PutService &change)
    {
        put(next.services, change.service);
        return boost::outcome_v2::success();
    }
    Result<void> operator()(const edit::RemoveService &change)
    {
        return remove(next.services, change.name, "service");
    }
    Result<void> operator()(const edit::SetMaxGateways &change)
    {
        next.maxGateways = change.maxGateways;
        return boost::outcome_v2::success();
    }
};

} // namespace

Result<Configuration> applyEdit(const Configuration &base, const ConfigurationEdit &change)
{
    Configuration next = base;
    const Result<void> edited = std::visit(Editor{next}, change);
    if (!edited)
        return edited.error();
    Result<Configuration> checked = parseConfiguration(toJson(next), base.version);
    if (!checked)
        return Error{ResultCode::ChangeInvalid, checked.error().detail};
    return checked;
}

std::vector<std::string> withdrawnDigests(const Configuration &base, const Configuration &next)
{
    std::set<std::string_view> kept;
    for (const KeyConfig &key : next.keys)
        kept.insert(key.digest);
    std::vector<std::string> withdrawn;
    for (const KeyConfig &key : base.keys) {
        if (!kept.contains(key.digest))
            withdrawn.push_back(key.digest);
    }
    return withdrawn;
}

} // namespace sequoiapier
