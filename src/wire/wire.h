#pragma once

/**
 * Module wire: message types exchanged by entries and agents, and their CBOR
 * codec. Has no state. Depends on core; the JSON library is used in the codec's
 * source file only.
 */

#include "wire/codec.h"
#include "wire/messages.h"
