/*  BEGIN MODULE
    name:          plankledge_wire
    description:   Bytes between nodes: bounded cereal codec for frames and datagrams, and the
                   caller's headers.
    dependencies:  plankledge_core
    END MODULE */

#pragma once

#include "plankledge_wire/BoundedArchive.h"
#include "plankledge_wire/FrameCodec.h"
#include "plankledge_wire/WireError.h"
