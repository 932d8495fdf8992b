// DeferredFrees: keeps what libwebsockets frees until the end of a scope, for calls of the library
// that may read what they have freed.
//
//   DeferredFrees::install(); // before the first context
//   {
//       const DeferredFrees frees;
//       connection = lws_client_connect_via_info(&info);
//   }
//
// Scopes may nest; the outermost one frees. Each thread has its own. Costs one entry of a vector
// for each block freed in a scope.
#pragma once

namespace sequoiapier {

class DeferredFrees
{
public:
    DeferredFrees();
    ~DeferredFrees();
    DeferredFrees(const DeferredFrees &) = delete;
    DeferredFrees &operator=(const DeferredFrees &) = delete;

    // Makes libwebsockets allocate through this class.
    static void install();
};

} // namespace sequoiapier
