/*  BEGIN MODULE
    name:          plankledge_policy
    description:   The decisions of a node: one reducer over all events, effects as data.
                   No input or output, no clock: time and random seeds come from outside.
    dependencies:  plankledge_core
    END MODULE */

#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include "plankledge_policy/Reducer.h"
