/*  BEGIN MODULE
    name:          plankledge_load
    description:   Sends the callers of a scenario to running nodes, open loop, and reports
                   what came of them beside the most that the slots could have done.
    dependencies:  plankledge_core, plankledge_runtime
    END MODULE */

#pragma once

#include "plankledge_load/IdealAllocation.h"
#include "plankledge_load/LoadRunner.h"
#include "plankledge_load/Scenario.h"
#include "plankledge_load/ScenarioReport.h"
