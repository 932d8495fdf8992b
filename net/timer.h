// Timer: a one-shot timer on the loop.
//
//   Timer timer(loop, [&] { expire(); });
//   timer.startAt(deadline);
//
// Starting a running timer changes its deadline. The destructor cancels the timer.
#pragma once

#include "net/loop.h"

#include <functional>
#include <memory>

namespace sequoiapier {

class Timer
{
public:
    Timer(Loop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startAt(TimePoint deadline);
    void cancel();

private:
    struct Entry;
    Loop &m_loop;
    std::unique_ptr<Entry> m_entry;
};

} // namespace sequoiapier
