#pragma once

/**
 * Module membership: availability of endpoints for new work.
 *
 * Purpose: combines configuration, VM list, heartbeats and leaving notices into
 * one view, which is local to the process. Does no I/O and reads no clock.
 * Depends on core, the document types of config and the message types of wire.
 */

#include "membership/endpoint_directory.h"
