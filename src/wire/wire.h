#pragma once

/**
 * Module wire: messages between entry and agent, and their CBOR codec.
 *
 * Purpose: typed messages in place of maps. Owns no state. Depends on core;
 * the JSON library stays inside the codec's source file.
 */

#include "wire/codec.h"
#include "wire/messages.h"
