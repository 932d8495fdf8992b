// ScriptedUpstream: an upstream that answers each request with bytes given by a test, for answers
// that no HTTP server would send.
//
//   ScriptedUpstream upstream([](const UpstreamRequest &request) {
//       return UpstreamScript{.parts = {{milliseconds(0), "HTTP/1.1 200 OK\r\n"}}, .closes = true};
//   });
//
// One thread accepts, and each connection has a thread of its own.
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
    std::string id; // x-request-id
    std::string attemptId; // x-attempt-id
    std::string body;
};

struct UpstreamPart
{
    std::chrono::milliseconds delay{}; // before it
    std::string bytes;
};

struct UpstreamScript
{
    std::vector<UpstreamPart> parts;
    bool closes = false; // the connection, after the last part
    bool resets = false; // it instead of an orderly end
};

// A whole answer with `body`; it echoes `attemptId` unless that is empty.
std::string wholeAnswer(const std::string &body, const std::string &attemptId = {});

class ScriptedUpstream
{
public:
    // Called on the connections' threads.
    using Script = std::function<UpstreamScript(const UpstreamRequest &request)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    std::uint16_t port() const { return m_port; }
    // Scripts whose parts have all been sent.
    int answeredCount() const { return m_answered; }

private:
    void accept();
    void serve(int connected);
    bool answer(int connected, const UpstreamScript &script);

    Script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_answered = 0;
    std::vector<std::thread> m_connections;
    std::thread m_acceptor;
};

} // namespace sequoiapier
