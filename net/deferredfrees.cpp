#include "net/deferredfrees.h"

#include <libwebsockets.h>

#include <cstdlib>
#include <vector>

namespace sequoiapier {

namespace {

thread_local int scopeDepth = 0;
thread_local std::vector<void *> deferredBlocks;

// Allocator callback of libwebsockets. A `size` of 0 frees `block`.
void *reallocate(void *block, size_t size, const char * /*reason*/)
{
    if (size > 0)
        return std::realloc(block, size);
    if (block != nullptr && scopeDepth > 0)
        deferredBlocks.push_back(block);
    else
        std::free(block);
    return nullptr;
}

} // namespace

DeferredFrees::DeferredFrees()
{
    ++scopeDepth;
}

DeferredFrees::~DeferredFrees()
{
    if (--scopeDepth > 0)
        return;
    for (void *block : deferredBlocks)
        std::free(block);
    deferredBlocks.clear();
}

void DeferredFrees::install()
{
    lws_set_allocator(reallocate);
}

} // namespace sequoiapier
