#include "gateway/duplicateguard.h"

#include <utility>

namespace sequoiapier {

namespace {

constexpr Duration RecordDeadline = std::chrono::milliseconds(300);
// The refusal is sent to the caller only after this, also at the request's deadline.
constexpr Duration ForgetDeadline = std::chrono::milliseconds(50);

RequestDigest toDigest(std::int64_t low, std::int64_t high)
{
    return {std::uint64_t(low), std::uint64_t(high)};
}

} // namespace

DuplicateGuard::DuplicateGuard(Daemon &daemon, PeerNode &node)
    : m_node(node)
{
    addMethods();
    daemon.loop().onPause([this](const Pause &) {
        if (m_filter)
            m_filter->markIncompleteUntil(BootClock::now() + JoinPropagationTime);
    });
}

void DuplicateGuard::start()
{
    m_filter.emplace(DuplicateFilter::Options{}, BootClock::now() + JoinPropagationTime);
}

std::vector<std::string> DuplicateGuard::homes(const RequestDigest &digest)
{
    std::vector<std::string> names{m_node.self().name};
    for (const MemberRow &gateway : m_node.membership().alive("gateway", BootClock::now()))
        names.push_back(gateway.name);
    const std::vector<std::string_view> views(names.begin(), names.end());
    const DuplicateHomes chosen = duplicateHomes(digest, views);
    std::vector<std::string> result{std::string(chosen.first)};
    if (!chosen.second.empty())
        result.emplace_back(chosen.second);
    return result;
}

void DuplicateGuard::check(const RequestDigest &digest, TimePoint firstSent,
                           const Callback &callback)
{
    const std::vector<std::string> names = homes(digest);
    const auto inquiry = std::make_shared<Inquiry>(
        Inquiry{.verdicts = {}, .waiting = names.size(), .callback = callback});
    for (const std::string &home : names) {
        if (home == m_node.self().name)
            onVerdict(*inquiry, m_filter->checkAndRecord(digest, firstSent, BootClock::now()));
        else
            askPeer(home, digest, firstSent, inquiry);
    }
}

void DuplicateGuard::askPeer(const std::string &home, const RequestDigest &digest,
                             TimePoint firstSent, const std::shared_ptr<Inquiry> &inquiry)
{
    const std::optional<Endpoint> endpoint = m_node.endpointOf(home);
    if (!endpoint) {
        onVerdict(*inquiry, std::nullopt);
        return;
    }
    const TimePoint now = BootClock::now();
    api::PeerService_record_args args;
    args.low = std::int64_t(digest.low);
    args.high = std::int64_t(digest.high);
    args.ageMicroseconds = (now - firstSent).count();
    m_node.call<api::PeerService_record_args, api::PeerService_record_result>(
        *endpoint, "record", args, now + RecordDeadline,
        [inquiry](const RpcAnswer<api::PeerService_record_result> &answer) {
            std::optional<DuplicateVerdict> verdict;
            if (answer.reply)
                verdict = DuplicateVerdict(answer.reply->success);
            onVerdict(*inquiry, verdict);
        });
}

void DuplicateGuard::onVerdict(Inquiry &inquiry, std::optional<DuplicateVerdict> verdict)
{
    if (verdict)
        inquiry.verdicts.push_back(*verdict);
    if (--inquiry.waiting == 0)
        inquiry.callback(combinedVerdict(inquiry.verdicts));
}

void DuplicateGuard::forget(const RequestDigest &digest, std::function<void()> done)
{
    const std::vector<std::string> names = homes(digest);
    const auto onEnded
        = [waiting = std::make_shared<std::size_t>(names.size()), done = std::move(done)] {
              if (--*waiting == 0)
                  done();
          };
    for (const std::string &home : names) {
        if (home == m_node.self().name) {
            m_filter->forget(digest);
            onEnded();
        } else {
            forgetAtPeer(home, digest, onEnded);
        }
    }
}

void DuplicateGuard::forgetAtPeer(const std::string &home, const RequestDigest &digest,
                                  const std::function<void()> &onEnded)
{
    const std::optional<Endpoint> endpoint = m_node.endpointOf(home);
    if (!endpoint) {
        onEnded();
        return;
    }
    api::PeerService_forget_args args;
    args.low = std::int64_t(digest.low);
    args.high = std::int64_t(digest.high);
    m_node.call<api::PeerService_forget_args, api::PeerService_forget_result>(
        *endpoint, "forget", args, BootClock::now() + ForgetDeadline,
        [onEnded](const RpcAnswer<api::PeerService_forget_result> &) { onEnded(); });
}

void DuplicateGuard::addMethods()
{
    m_node.rpcServer().add<api::PeerService_record_args, api::PeerService_record_result>(
        "record", [this](const auto &args, const auto &answer) {
            m_node.observe(args.sender);
            const TimePoint now = BootClock::now();
            api::PeerService_record_result result;
            result.success = std::int32_t(m_filter->checkAndRecord(
                toDigest(args.low, args.high), now - Duration(args.ageMicroseconds), now));
            result.__isset.success = true;
            answer(result);
        });
    m_node.rpcServer().add<api::PeerService_forget_args, api::PeerService_forget_result>(
        "forget", [this](const auto &args, const auto &answer) {
            m_node.observe(args.sender);
            m_filter->forget(toDigest(args.low, args.high));
            api::PeerService_forget_result result;
            result.success = true;
            result.__isset.success = true;
            answer(result);
        });
}

} // namespace sequoiapier
