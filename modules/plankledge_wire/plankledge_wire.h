/*  BEGIN MODULE
    name:          plankledge_wire
    description:   Bounds-checked cereal codec for the frames and datagrams between nodes.
    dependencies:  plankledge_core
    END MODULE */

#pragma once

#include "plankledge_wire/BoundedArchive.h"
#include "plankledge_wire/FrameCodec.h"
#include "plankledge_wire/WireError.h"
