// ScriptedUpstream: an upstream that answers each request with bytes from a test, for responses
// that no HTTP server would send.
//
//   ScriptedUpstream upstream([](const UpstreamRequest &request) {
//       return UpstreamScript{.parts = {{milliseconds(0), "HTTP/1.1 200 OK\r\n"}}, .closes = true};
//   });
//
// One thread accepts connections, and a separate thread serves each of them.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace sequoiapier {

struct UpstreamRequest
{
    std::string id; // value of the header x-request-id
    std::string attemptId; // value of the header x-attempt-id
    std::string body;
};

struct UpstreamPart
{
    std::chrono::milliseconds delay{}; // wait before the part is sent
    std::string bytes;
};

struct UpstreamScript
{
    std::vector<UpstreamPart> parts;
    bool closes = false; // whether it closes the connection after the last part
    bool resets = false; // whether it resets the connection instead of closing it
};

// A complete response with `body`, which echoes `attemptId` unless that is empty.
std::string wholeAnswer(const std::string &body, const std::string &attemptId = {});

class ScriptedUpstream
{
public:
    // The script function is called on the connections' threads.
    using Script = std::function<UpstreamScript(const UpstreamRequest &request)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    std::uint16_t port() const { return m_port; }
    // Number of scripts whose parts have all been sent.
    int answeredCount() const { return m_answeredCount; }

private:
    void accept();
    void serve(int descriptor);
    bool answer(int descriptor, const UpstreamScript &script);

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_answeredCount = 0;
    std::vector<std::thread> m_connections;
    std::thread m_acceptor;
};

} // namespace sequoiapier
