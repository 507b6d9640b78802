/*  BEGIN MODULE
    name:          plankledge_operator
    description:   Operator tools: publication of declarations through the log, and analysis of
                   the nodes' logs.
    dependencies:  plankledge_core, plankledge_policy, plankledge_formats
    END MODULE */

#pragma once

#include "plankledge_operator/Publisher.h"
