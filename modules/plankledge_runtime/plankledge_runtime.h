/*  BEGIN MODULE
    name:          plankledge_runtime
    description:   Carries out a node's decisions: HTTP with callers, target and platform, links
                   and datagrams with peers, the admin pages, and the trace of events.
    dependencies:  plankledge_core, plankledge_policy, plankledge_wire, plankledge_formats,
                   plankledge_operator
    END MODULE */

#pragma once

#include "plankledge_runtime/Node.h"
