/*  BEGIN MODULE
    name:          plankledge_operator
    description:   What operators do: publish declarations and read verdicts from the log.
    dependencies:  plankledge_core, plankledge_policy, plankledge_formats
    END MODULE */

#pragma once

#include "plankledge_operator/Publisher.h"
