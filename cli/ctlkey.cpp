// Commands on keys. A key is the SHA-256 digest of 32 random bytes in hexadecimal. It is generated
// here and kept in a file of the operator; only the digest of the key is sent.
#include "cli/ctlclient.h"

#include <fcntl.h>
#include <openssl/rand.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iostream>
#include <optional>

namespace sequoiapier {

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr mode_t OwnerOnly = 0600;

std::optional<std::string> readKey(const std::string &file)
{
    std::ifstream stream(file);
    std::string key;
    if (!std::getline(stream, key) || key.empty())
        return std::nullopt;
    return key;
}

std::optional<std::string> makeKey(const std::string &file)
{
    std::array<unsigned char, KeyBytes> bytes{};
    if (RAND_bytes(bytes.data(), int(bytes.size())) != 1)
        return std::nullopt;
    const std::string key = keyDigest({reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    const int descriptor = open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
    if (descriptor < 0)
        return std::nullopt;
    const std::string line = key + "\n";
    const bool isWritten = write(descriptor, line.data(), line.size()) == ssize_t(line.size());
    const bool isClosed = close(descriptor) == 0;
    return isWritten && isClosed ? std::optional(key) : std::nullopt;
}

int printUnusableKeyFile(const std::string &file)
{
    std::cerr << file << " holds no key and none can be written to it\n";
    return int(ResultCode::Usage);
}

// Generates a key into the file if it does not exist. A repeated call uses the same key.
int grantKey(const CtlSettings &settings, const std::string &team, const std::string &file)
{
    std::optional<std::string> key = readKey(file);
    if (!key)
        key = makeKey(file);
    if (!key)
        return printUnusableKeyFile(file);
    return sendEdit(settings, [&](const Configuration &, api::Edit &edit) {
        api::KeyEdit grant;
        grant.digest = keyDigest(*key);
        grant.team = team;
        edit.__set_grantKey(grant);
    });
}

int sendWithdrawal(const CtlSettings &settings, const std::string &digest)
{
    return sendEdit(
        settings, [&](const Configuration &, api::Edit &edit) { edit.__set_withdrawKey(digest); });
}

int withdrawKey(const CtlSettings &settings, const std::string &file)
{
    const std::optional<std::string> key = readKey(file);
    if (!key)
        return printUnusableKeyFile(file);
    return sendWithdrawal(settings, keyDigest(*key));
}

int printDigest(const std::string &file)
{
    const std::optional<std::string> key = readKey(file);
    if (!key)
        return printUnusableKeyFile(file);
    std::cout << keyDigest(*key) << "\n";
    return int(ResultCode::Ok);
}

} // namespace

std::vector<CtlCommand> ctlKeyCommands()
{
    return {
        {{"key", "grant"},
         "TEAM FILE",
         [](const auto &settings, auto operands) {
             return grantKey(settings, operands[0], operands[1]);
         }},
        {{"key", "withdraw"},
         "FILE",
         [](const auto &settings, auto operands) { return withdrawKey(settings, operands[0]); }},
        {{"key", "withdraw-digest"},
         "DIGEST",
         [](const auto &settings, auto operands) { return sendWithdrawal(settings, operands[0]); }},
        {{"key", "digest"},
         "FILE",
         [](const auto &, auto operands) { return printDigest(operands[0]); }},
    };
}

} // namespace sequoiapier
