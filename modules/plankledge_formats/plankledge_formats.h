/*  BEGIN MODULE
    name:          plankledge_formats
    description:   JSON formats of the platform's log and instance list, and of the declarations.
    dependencies:  plankledge_core, plankledge_policy
    END MODULE */

#pragma once

#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_formats/PlatformJson.h"
