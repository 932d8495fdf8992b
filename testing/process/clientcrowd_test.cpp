// Clients that exceed the limits of a node. Each test guards against a node that ends, or that
// takes more memory or descriptors than its settings allow, under one kind of such a load, and
// against a node that accepts no job after it. VmHWM doesn't include the kernel's socket buffers.
#include "testing/process/platformtest.h"
#include "testing/support/callercrowd.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace sequoiapier {
namespace {

using std::chrono::milliseconds;

// With 1,024 descriptors, a node without a bound on the total size of bodies accepts 256 callers
// with 512 KiB each, which is 128 MiB.
constexpr std::size_t MaxDescriptors = 1'024;
constexpr std::size_t MaxMemoryMegabytes = 64;
constexpr std::size_t BodyBytes = std::size_t(512) * 1024; // largest legal body
// Below the bound on connections, so that a job can be submitted beside an idle crowd.
constexpr std::size_t Clients = 240;

// The load counts as applied once nothing was sent, received or read for this time.
constexpr milliseconds QuietTime{1'000};
constexpr milliseconds LoadTimeout{60'000};
constexpr milliseconds JobTimeout{45'000};

const std::string Job = "00000000000000cc";
const std::string QueuePath = "/quotes/00000000000000dd";
const std::string UnroutedPath = "/elsewhere/00000000000000dd";

std::string headOf(const std::string &method, const std::string &path, const std::string &headers)
{
    return method + " " + path + " HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        + "authorization: Token good-key\r\ndeadline-ms: 6000\r\n" + headers;
}

std::string headWithLength(const std::string &path, std::size_t length)
{
    return headOf("POST", path, "content-length: " + std::to_string(length) + "\r\n\r\n");
}

class ClientCrowd : public PlatformTest
{
protected:
    void SetUp() override
    {
        const nlohmann::json limits{{"max_fds", MaxDescriptors}, {"memory_mb", MaxMemoryMegabytes}};
        system().setLimits(limits.dump());
        ASSERT_TRUE(system().startPlatform("vanload:3,sundries:1", 4, 8, Nodes));
        configure(1, {"good-key"});
        for (const std::string &node : Nodes)
            ASSERT_TRUE(system().startNode(node));
        for (const std::string &node : Nodes)
            ASSERT_TRUE(system().waitReady(node)) << node;
        ASSERT_TRUE(LocalSystem::waitUntil([&] { return get("/quotes/").response.status == 200; }));
        recordPeakMemory("idle");
    }

    std::uint16_t callerPort() { return system().member("node-1").workPort; }
    std::uint16_t readyPort() { return system().member("node-1").readyPort; }

    // Bodies of legal size that lack their last byte.
    static CallerCrowd::Options incompleteBodies(std::uint16_t port, const std::string &path)
    {
        return {.port = port,
                .clients = Clients,
                .head = [path](std::size_t) { return headWithLength(path, BodyBytes); },
                .body = std::string(BodyBytes, ' '),
                .bodyBytes = BodyBytes - 1,
                .pieceBytes = BodyBytes};
    }

    // Lets the crowd send until nothing moves any more, with `pause` between two pieces.
    void apply(CallerCrowd &crowd, std::uint16_t port, milliseconds pause = milliseconds(0))
    {
        std::uint64_t unread = 0;
        auto lastProgress = std::chrono::steady_clock::now();
        const auto hasSettled = [&] {
            const bool hasProgress = crowd.step();
            const auto now = std::chrono::steady_clock::now();
            std::this_thread::sleep_for(hasProgress ? pause : milliseconds(10));
            if (hasProgress) {
                lastProgress = now;
            } else if (const std::uint64_t rest = unreadBytes(port); rest != unread) {
                unread = rest;
                lastProgress = now;
            }
            sampleDescriptors();
            return now - lastProgress >= QuietTime;
        };
        const auto deadline = std::chrono::steady_clock::now() + LoadTimeout;
        while (!hasSettled() && std::chrono::steady_clock::now() < deadline) { }
        ASSERT_GT(crowd.sentBytes(), 0U) << "no client could send";
        RecordProperty("clients_open", std::to_string(crowd.openCount()));
        RecordProperty("bytes_sent", std::to_string(crowd.sentBytes()));
    }

    // A client may have to repeat a call that was refused because of the load before.
    void expectServing()
    {
        ASSERT_NO_FATAL_FAILURE(expectAlive());
        EXPECT_TRUE(
            LocalSystem::waitUntil([&] { return submit("node-1", Job) == 200; }, JobTimeout))
            << "no job was accepted";
        EXPECT_TRUE(waitState("node-1", Job, "completed"));
        sampleDescriptors();
        ASSERT_NO_FATAL_FAILURE(expectAlive());
        recordPeakMemory("peak");
        for (const std::string &node : Nodes) {
            EXPECT_LE(peakMemory(node), MaxMemoryMegabytes * 1024) << node << ", in KiB";
            EXPECT_LE(m_mostDescriptors[node], MaxDescriptors) << node;
        }
    }

    void applyThenServe(const CallerCrowd::Options &options)
    {
        {
            CallerCrowd crowd(options);
            apply(crowd, options.port);
        }
        expectServing();
    }

    // The crowd's connections stay open while the job runs.
    void applyAndServe(const CallerCrowd::Options &options, milliseconds pause = milliseconds(0))
    {
        CallerCrowd crowd(options);
        apply(crowd, options.port, pause);
        expectServing();
    }

private:
    inline static const std::vector<std::string> Nodes{"node-1", "node-2"};

    pid_t pidOf(const std::string &node) { return system().member(node).process.pid(); }

    void expectAlive()
    {
        for (const std::string &node : Nodes) {
            const auto status = system().member(node).process.waitExit(milliseconds(0));
            ASSERT_FALSE(status.has_value()) << node << " ended with status " << *status;
        }
    }

    // Largest resident memory so far, in KiB.
    std::size_t peakMemory(const std::string &node)
    {
        std::ifstream file("/proc/" + std::to_string(pidOf(node)) + "/status");
        std::string word;
        while (file >> word && word != "VmHWM:") { }
        std::size_t kibibytes = 0;
        EXPECT_TRUE(file >> kibibytes) << "no VmHWM of " << node;
        return kibibytes;
    }

    void recordPeakMemory(const std::string &label)
    {
        for (const std::string &node : Nodes)
            RecordProperty(label + "_kib_" + node, std::to_string(peakMemory(node)));
    }

    void sampleDescriptors()
    {
        for (const std::string &node : Nodes) {
            std::error_code error;
            std::filesystem::directory_iterator entries(
                "/proc/" + std::to_string(pidOf(node)) + "/fd", error);
            const auto count = std::size_t(std::distance(begin(entries), end(entries)));
            m_mostDescriptors[node] = std::max(m_mostDescriptors[node], count);
            RecordProperty("descriptors_" + node, std::to_string(m_mostDescriptors[node]));
        }
    }

    std::map<std::string, std::size_t> m_mostDescriptors;
};

TEST_F(ClientCrowd, IncompleteBodiesAtAQueue)
{
    applyAndServe(incompleteBodies(callerPort(), QueuePath));
}

TEST_F(ClientCrowd, IncompleteBodiesAtAPathWithoutARoute)
{
    applyAndServe(incompleteBodies(callerPort(), UnroutedPath));
}

TEST_F(ClientCrowd, IncompleteBodiesAtTheReadinessPathOfTheCallers)
{
    applyAndServe(incompleteBodies(callerPort(), "/readyz"));
}

TEST_F(ClientCrowd, IncompleteBodiesAtTheReadinessAddress)
{
    applyAndServe(incompleteBodies(readyPort(), "/readyz"));
}

TEST_F(ClientCrowd, IncompleteBodiesInSmallPieces)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    options.pieceBytes = 1'000;
    applyAndServe(options);
}

TEST_F(ClientCrowd, IncompleteChunkedBodies)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    options.head = [](std::size_t) {
        return headOf("POST", QueuePath, "transfer-encoding: chunked\r\n\r\n");
    };
    options.body = "1000\r\n" + std::string(0x1000, ' ') + "\r\n";
    applyAndServe(options);
}

// Many clients at once, more than the bound on connections, send 4 MiB each of an announced GiB.
TEST_F(ClientCrowd, BodiesOverTheLimitThatGoOnAfterTheRefusal)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    options.head = [](std::size_t) { return headWithLength(QueuePath, std::size_t(1) << 30U); };
    options.bodyBytes = std::size_t(4) * 1024 * 1024;
    applyThenServe(options);
}

// A parsed value takes many times the three bytes that it has in the body.
TEST_F(ClientCrowd, CompleteBodiesOfManyShortFields)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    const std::string start = R"({"spec":"","a":[{})";
    const std::string end = "]}";
    std::string body = start;
    while (body.size() + end.size() + 3 <= BodyBytes)
        body += ",{}";
    body += std::string(BodyBytes - body.size() - end.size(), ' ') + end;
    options.body = body;
    options.bodyBytes = body.size();
    applyThenServe(options);
}

TEST_F(ClientCrowd, CompleteBodiesOfManyShortNamedFields)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    std::string body = R"({"spec":"")";
    for (int i = 0; body.size() + 20 <= BodyBytes; ++i)
        body += ",\"" + std::to_string(i) + "\":0";
    body += "}";
    options.head
        = [length = body.size()](std::size_t) { return headWithLength(QueuePath, length); };
    options.body = body;
    options.bodyBytes = body.size();
    applyThenServe(options);
}

TEST_F(ClientCrowd, RequestsOfManyShortHeaderFields)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    options.head = [](std::size_t) { return headOf("GET", "/quotes/", ""); };
    options.body = "a:b\r\n";
    options.bodyBytes = BodyBytes - BodyBytes % options.body.size();
    applyAndServe(options);
}

TEST_F(ClientCrowd, PipelinedRequestsWithUnreadAnswers)
{
    CallerCrowd::Options options{.port = callerPort()};
    options.head = [](std::size_t) { return std::string(); };
    options.body = headOf("GET", "/", "\r\n");
    for (int i = 0; i < 8; ++i)
        options.body += options.body;
    options.bodyBytes = std::size_t(32) * 1024 * 1024;
    options.readBytes = 0;
    applyAndServe(options);
}

// Each connection holds answers that its client doesn't read and requests that wait behind them.
TEST_F(ClientCrowd, ManyClientsThatDoNotReadTheirAnswers)
{
    CallerCrowd::Options options{.port = callerPort(), .clients = Clients};
    options.head = [](std::size_t) { return std::string(); };
    options.body = headOf("GET", "/", "\r\n");
    for (int i = 0; i < 8; ++i)
        options.body += options.body;
    options.bodyBytes = BodyBytes;
    options.readBytes = 0;
    applyAndServe(options);
}

// More clients than the node has descriptors.
TEST_F(ClientCrowd, HeadersThatStopHalfWay)
{
    CallerCrowd::Options options{.port = callerPort(), .clients = MaxDescriptors + 100};
    options.head = [](std::size_t) {
        return headOf("POST", QueuePath, "x-filler: " + std::string(2'000, 'f'));
    };
    applyThenServe(options);
}

TEST_F(ClientCrowd, HeadersThatStopHalfWayAtTheReadinessAddress)
{
    CallerCrowd::Options options{.port = readyPort(), .clients = MaxDescriptors + 100};
    options.head = [](std::size_t) {
        return headOf("GET", "/readyz", "x-filler: " + std::string(2'000, 'f'));
    };
    applyThenServe(options);
}

TEST_F(ClientCrowd, AnswersThatAreReadSlowly)
{
    CallerCrowd::Options options{.port = callerPort(), .clients = Clients};
    options.head = [](std::size_t) { return std::string(); };
    options.body = headOf("GET", "/", "\r\n");
    options.bodyBytes = options.body.size() * 100;
    options.readBytes = 16;
    applyAndServe(options, milliseconds(2));
}

TEST_F(ClientCrowd, BodiesThatArriveByteByByte)
{
    CallerCrowd::Options options = incompleteBodies(callerPort(), QueuePath);
    options.pieceBytes = 1;
    options.bodyBytes = 500;
    applyAndServe(options, milliseconds(5));
}

} // namespace
} // namespace sequoiapier
