// Any request either is refused as RequestMalformed or QueueUnknown, or is parsed within the
// limits. The input holds the method, the path and the values of the headers that the server keeps,
// one per line, as a caller would send them. The rest is the body.
#include "gateway/callerrequest.h"
#include "testing/fuzz/fuzzing.h"

using namespace sequoiapier;

namespace {

std::string_view takeLine(std::string_view &text)
{
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    return line;
}

HttpRequest readRequest(std::string_view text)
{
    HttpRequest request;
    request.method = takeLine(text);
    request.path = takeLine(text);
    for (const std::string &name : callerHeaderNames())
        request.headers.push_back({name, std::string(takeLine(text))});
    request.body = text;
    return request;
}

} // namespace

void sequoiapier::fuzzOne(std::string_view input)
{
    const TimePoint now{std::chrono::hours(1)};
    const HttpRequest request = readRequest(input);
    const Result<CallerRequest> parsed = parseCallerRequest(request, now);
    if (!parsed) {
        const ResultCode code = parsed.error().code;
        require(code == ResultCode::RequestMalformed || code == ResultCode::QueueUnknown,
                "a refused request has the code RequestMalformed or QueueUnknown");
        return;
    }
    const CallerRequest &accepted = parsed.value();
    require(request.method == "POST", "only POST is accepted");
    require(request.path == std::string(QueuePathPrefix) + accepted.queue,
            "the path names the queue");
    require(accepted.deadline > now, "the deadline is in the future");
    require(accepted.deadline - now <= std::chrono::milliseconds(MaxDeadlineMilliseconds),
            "the deadline is within the limit");
    require(accepted.requestId.size() <= MaxRequestIdBytes, "the identifier is within the limit");
}
