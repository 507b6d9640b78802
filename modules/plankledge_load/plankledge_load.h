/*  BEGIN MODULE
    name:          plankledge_load
    description:   Open-loop load generator: sends a scenario's requests to running nodes and
                   compares the results with an ideal allocation.
    dependencies:  plankledge_core, plankledge_runtime
    END MODULE */

#pragma once

#include "plankledge_load/IdealAllocation.h"
#include "plankledge_load/LoadRunner.h"
#include "plankledge_load/Scenario.h"
#include "plankledge_load/ScenarioReport.h"
