#include "gateway/callerrequest.h"

#include <charconv>
#include <chrono>

namespace sequoiapier {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

Error malformed(std::string detail)
{
    return {ResultCode::RequestMalformed, std::move(detail)};
}

Result<bool> parseBoolean(const HttpRequest &request, std::string_view name)
{
    const std::string_view text = headerValue(request.headers, name);
    if (text.empty() || text == "false")
        return false;
    if (text == "true")
        return true;
    return malformed(std::string(name) + " must be true or false");
}

// Returns the header's value, or `defaultValue` if the request does not have the header.
Result<std::int64_t> parseMilliseconds(const HttpRequest &request, std::string_view name,
                                       std::int64_t min, std::int64_t defaultValue)
{
    const std::string_view text = headerValue(request.headers, name);
    if (text.empty())
        return defaultValue;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < min
        || value > MaxDeadlineMilliseconds) {
        return malformed(std::string(name) + " must be an integer from " + std::to_string(min)
                         + " to " + std::to_string(MaxDeadlineMilliseconds));
    }
    return value;
}

} // namespace

std::vector<std::string> callerHeaderNames()
{
    return {"authorization",    "x-deadline-ms", "x-request-id",
            "x-request-age-ms", "x-idempotent",  "x-urgent"};
}

Result<CallerRequest> parseCallerRequest(const HttpRequest &request, TimePoint now)
{
    if (request.method != "POST")
        return malformed("the method must be POST");
    if (!request.path.starts_with(QueuePathPrefix))
        return Error{ResultCode::QueueUnknown, "no such path"};
    CallerRequest parsed{.queue = request.path.substr(QueuePathPrefix.size())};
    const std::string_view authorization = headerValue(request.headers, "authorization");
    if (!authorization.empty()) {
        if (!authorization.starts_with(BearerPrefix))
            return malformed("authorization must be a bearer key");
        parsed.key = authorization.substr(BearerPrefix.size());
    }
    const Result<std::int64_t> deadline
        = parseMilliseconds(request, "x-deadline-ms", 1, DefaultDeadlineMilliseconds);
    if (!deadline)
        return deadline.error();
    parsed.deadline = now + std::chrono::milliseconds(deadline.value());
    const Result<std::int64_t> age = parseMilliseconds(request, "x-request-age-ms", 0, 0);
    if (!age)
        return age.error();
    parsed.firstSent = now - std::chrono::milliseconds(age.value());
    const Result<bool> isIdempotent = parseBoolean(request, "x-idempotent");
    if (!isIdempotent)
        return isIdempotent.error();
    parsed.isIdempotent = isIdempotent.value();
    const Result<bool> isUrgent = parseBoolean(request, "x-urgent");
    if (!isUrgent)
        return isUrgent.error();
    parsed.isUrgent = isUrgent.value();
    parsed.requestId = headerValue(request.headers, "x-request-id");
    if (parsed.requestId.size() > MaxRequestIdBytes)
        return malformed("x-request-id is longer than " + std::to_string(MaxRequestIdBytes));
    return parsed;
}

} // namespace sequoiapier
