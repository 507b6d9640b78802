/*  BEGIN MODULE
    name:          plankledge_runtime
    description:   The I/O of a node: HTTP with callers, target and platform, TCP links and UDP
                   datagrams with peers, the admin endpoints, and the trace of events.
    dependencies:  plankledge_core, plankledge_policy, plankledge_wire, plankledge_formats,
                   plankledge_operator
    END MODULE */

#pragma once

#include "plankledge_runtime/Node.h"
