#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_runtime/HttpServer.h"

namespace plankledge
{

//==============================================================================
/** Makes the responses to requests that a server cannot read, and in place of responses that it drops:
   problem documents. A refusal for lack of memory says when to return. */
class HttpErrorResponses
{
public:
    //==============================================================================
    HttpErrorResponses();

    HttpResponse operator() (HttpServerError error);

private:
    //==============================================================================
    Random m_random;
};

} // namespace plankledge
