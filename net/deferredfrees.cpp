#include "net/deferredfrees.h"

#include <libwebsockets.h>

#include <cstdlib>
#include <vector>

namespace sequoiapier {

namespace {

thread_local int scopeCount = 0;
thread_local std::vector<void *> freedBlocks;

// The library's allocator: `size` 0 frees.
void *reallocate(void *block, size_t size, const char * /*reason*/)
{
    if (size > 0)
        return std::realloc(block, size);
    if (block != nullptr && scopeCount > 0)
        freedBlocks.push_back(block);
    else
        std::free(block);
    return nullptr;
}

} // namespace

DeferredFrees::DeferredFrees()
{
    ++scopeCount;
}

DeferredFrees::~DeferredFrees()
{
    if (--scopeCount > 0)
        return;
    for (void *block : freedBlocks)
        std::free(block);
    freedBlocks.clear();
}

void DeferredFrees::install()
{
    lws_set_allocator(reallocate);
}

} // namespace sequoiapier
