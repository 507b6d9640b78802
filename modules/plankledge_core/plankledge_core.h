/*  BEGIN MODULE
    name:          plankledge_core
    description:   Types shared by all modules: identities, time, outcomes, declarations and peer messages;
                   the JSON-lines logger.
    dependencies:  none
    END MODULE */

#pragma once

#include "plankledge_core/ContentDigest.h"
#include "plankledge_core/Declarations.h"
#include "plankledge_core/Hash.h"
#include "plankledge_core/HttpSyntax.h"
#include "plankledge_core/Identity.h"
#include "plankledge_core/Logger.h"
#include "plankledge_core/Outcome.h"
#include "plankledge_core/PeerMessages.h"
#include "plankledge_core/Random.h"
#include "plankledge_core/ResponseError.h"
#include "plankledge_core/SharedBytes.h"
#include "plankledge_core/Time.h"
