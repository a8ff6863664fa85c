#pragma once

/**
 * Module stream: order, completeness and replay of the chunks of one response.
 *
 * Purpose: `stream_assembler` (entry) puts chunks in order and checks the final
 * marker; `replay_buffer` (agent) retains sent chunks so that a response
 * can continue on another link. Each owns the chunks it holds. Depends on core
 * and wire.
 */

#include "stream/replay_buffer.h"
#include "stream/stream_assembler.h"
