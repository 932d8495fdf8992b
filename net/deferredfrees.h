// DeferredFrees: defers libwebsockets' deallocations to the end of a scope, for library calls that
// may read memory that they have already freed.
//
//   DeferredFrees::install(); // before the first context
//   {
//       const DeferredFrees frees;
//       connection = lws_client_connect_via_info(&info);
//   }
//
// Scopes may nest; the outermost scope frees the blocks. Each thread has its own scopes. The cost
// is one vector entry for each block freed in a scope.
#pragma once

namespace sequoiapier {

class DeferredFrees
{
public:
    DeferredFrees();
    ~DeferredFrees();
    DeferredFrees(const DeferredFrees &) = delete;
    DeferredFrees &operator=(const DeferredFrees &) = delete;

    // Installs the libwebsockets allocator that DeferredFrees depends on.
    static void install();
};

} // namespace sequoiapier
