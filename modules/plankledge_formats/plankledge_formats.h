/*  BEGIN MODULE
    name:          plankledge_formats
    description:   JSON of the platform's log and list, and of operators' declarations.
    dependencies:  plankledge_core, plankledge_policy
    END MODULE */

#pragma once

#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_formats/PlatformJson.h"
