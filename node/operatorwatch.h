// OperatorWatch: follows what operators write into the platform's store: the configuration and the
// maintenance waves.
//
//   OperatorWatch watch(loop, store, log, revocation, {.onConfiguration = ..., .onWaves = ...});
//   watch.start();
//   if (!watch.isConfirmed(now)) // refuse: a key may have been withdrawn meanwhile
//
// A watch of the table is always open; each answer confirms that nothing newer existed shortly
// before it was requested. After a suspension nothing is confirmed until a newer answer arrives.
#pragma once

#include "fleet/waveorder.h"
#include "net/timer.h"
#include "node/decisionlog.h"
#include "platform/storeclient.h"
#include "sequoiapier/configuration.h"
#include "sequoiapier/confirmation.h"

#include <functional>
#include <map>

namespace sequoiapier {

class OperatorWatch
{
public:
    struct Hooks
    {
        std::function<void()> onConfiguration; // A newer configuration is in force.
        std::function<void()> onWaves;
    };

    OperatorWatch(Loop &loop, StoreClient &store, DecisionLog &log, Duration revocation,
                  Hooks hooks);

    void start() { readAll(); }

    bool hasConfiguration() const { return m_configuration.version > 0; }
    const Configuration &configuration() const { return m_configuration; }
    const std::map<std::uint64_t, WaveOrder> &waves() const { return m_waves; }
    // Returns whether keys may be checked against configuration().
    bool isConfirmed(TimePoint now) const
    {
        return hasConfiguration() && m_confirmation.isConfirmed(now, m_configuration.version);
    }

private:
    void readAll();
    void watch();
    void onPage(const Result<StorePage> &page, TimePoint instant);
    void onFailed(const Error &error);
    void applyRow(const StoreRow &row);
    void applyConfiguration(const StoreRow &row);
    void confirm(TimePoint instant);

    StoreClient &m_store;
    DecisionLog &m_log;
    Hooks m_hooks;
    Configuration m_configuration;
    std::map<std::uint64_t, WaveOrder> m_waves;
    Confirmation m_confirmation;
    std::uint64_t m_knownVersion = 0; // version of the store up to which the table is known
    std::uint32_t m_failures = 0; // consecutive failures
    bool m_mustReadAll = true;
    Timer m_retryTimer;
};

} // namespace sequoiapier
