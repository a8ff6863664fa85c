#pragma once

/**
 * Module membership: which endpoints may get new work.
 *
 * Purpose: joins configuration, VM list, heartbeats and leaving notices into
 * one view. Owns the view of one process; does no I/O and reads no clock.
 * Depends on core, on the document types of config and the message types of
 * wire.
 */

#include "membership/endpoint_directory.h"
