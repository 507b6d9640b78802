/*  BEGIN MODULE
    name:          plankledge_policy
    description:   The decision logic of a node: a reducer that maps events to effects.
                   Performs no I/O and reads no clock; time and random seeds are passed in.
    dependencies:  plankledge_core
    END MODULE */

#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include "plankledge_policy/Reducer.h"
